package vwevent

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

const timeFormat = "15:04:05.000000"

// WriteText writes the time line for people: first the clocks, then one line for each event.
func (t Timeline) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var failures []error
	add := func(format string, args ...any) {
		_, err := fmt.Fprintf(table, format, args...)
		failures = append(failures, err)
	}
	add("CLOCK\tDATA CENTRE\tINCARNATION\tAHEAD OF REFERENCE\tMESSAGES\n")
	for _, clock := range t.Clocks {
		add("%s\t%s\t%s\t%s\t%d\n", clock.Process, clock.DataCentre, shorten(string(clock.Incarnation)), clock.describe(), clock.Pairs)
	}
	failures = append(failures, table.Flush())
	if t.Contradictions > 0 {
		add("\n%d events contradict the order of causes; a log is damaged or mixes two runs\n", t.Contradictions)
	}
	add("\nTIME\tPROCESS\tEVENT\tSUBMISSION\tTASK\tDETAILS\n")
	for _, entry := range t.Entries {
		add("%s\t%s\t%s\t%s\t%s\t%s\n", entry.At.UTC().Format(timeFormat), entry.Process, entry.Kind,
			entry.SubmissionID, entry.TaskID, entry.details())
	}
	return trace.NewAggregate(append(failures, table.Flush())...)
}

func (c Clock) describe() string {
	switch {
	case c.Pairs == 0:
		return "unknown (no messages)"
	case c.Source == c.Reference:
		return "reference"
	case c.Known:
		return fmt.Sprintf("%s ± %s", formatMillis(c.Offset), formatMillis(c.Uncertainty))
	default:
		return formatMillis(c.Offset) + ", uncertainty unknown (messages in one direction only)"
	}
}

func (e Entry) details() string {
	var parts []string
	add := func(name string, value any, present bool) {
		if present {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("epoch", e.Epoch, e.Epoch != 0)
	add("service", e.Service, e.Service != "")
	add("team", e.Team, e.Team != "")
	add("peer", e.Peer, e.Peer != "")
	add("version", e.Version, e.Version != 0)
	add("term", e.Term, e.Term != 0)
	add("subject", e.Subject, e.Subject != "")
	add("verdict", e.Verdict, e.Verdict != "")
	add("count", e.Count, e.Count != 0)
	if e.Message != "" {
		parts = append(parts, fmt.Sprintf("%q", e.Message))
	}
	return strings.Join(parts, " ")
}

func formatMillis(duration time.Duration) string {
	return fmt.Sprintf("%.3f ms", float64(duration)/float64(time.Millisecond))
}

// shorten returns the first part of a UUID, which tells the runs of one process apart.
func shorten(id string) string {
	head, _, _ := strings.Cut(id, "-")
	return head
}
