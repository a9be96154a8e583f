package vwevent

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Format is how a time line is written.
type Format string

// The formats of a time line.
const (
	FormatText  Format = "text"
	FormatTrace Format = "trace"
)

// Command is the command timeline.
type Command struct {
	Paths  []string
	Format Format
	// Submission limits the output to one submission; the clocks are still estimated from all events.
	Submission vwid.SubmissionID
	Out        io.Writer
	// Warnings receives the lines that are not events.
	Warnings io.Writer
}

// Run merges the event logs at Paths and writes the time line.
func (c Command) Run() error {
	if c.Format != FormatText && c.Format != FormatTrace {
		return trace.BadParameter("unknown format %q; want %s or %s", c.Format, FormatText, FormatTrace)
	}
	var events []Event
	for _, path := range c.Paths {
		read, err := c.read(path)
		if err != nil {
			return trace.Wrap(err)
		}
		events = append(events, read...)
	}
	timeline := Merge(events)
	if c.Submission != "" {
		timeline = timeline.Select(c.Submission)
	}
	if c.Format == FormatTrace {
		return trace.Wrap(timeline.WriteTrace(c.Out))
	}
	return trace.Wrap(timeline.WriteText(c.Out))
}

func (c Command) read(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	events, faults, err := Read(file)
	if err != nil {
		return nil, trace.Wrap(err, "reading %s", path)
	}
	for _, fault := range faults {
		if _, err := fmt.Fprintf(c.Warnings, "%s: %s\n", path, fault); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return events, nil
}
