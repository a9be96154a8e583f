package vwlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// DefaultMargin is how long before the first and after the last line about a request changes of the processes
// are shown. It covers the detection of a silent link and a lapsed lease.
const DefaultMargin = 2 * time.Second

// requestKeys are the fields of lines that tell of one request.
var requestKeys = []string{"job", "Job", "submission", "Submission", "SubmissionID"}

// Follow shows what the logs of many processes tell about one request: the lines that name its id, and what the
// processes that took part in it have noted about themselves meanwhile.
type Follow struct {
	Paths []string
	// ID is the id of the request.
	ID     string
	Margin time.Duration
	Out    io.Writer
	// Warnings receives what could not be read.
	Warnings io.Writer
}

// line is one line of a log.
type line struct {
	at      time.Time
	process string
	message string
	// text holds the other fields, and request tells whether the line is about one request.
	text    string
	request bool
	named   bool
}

// ErrNotLogged is returned when no line names the request.
type ErrNotLogged struct {
	ID    string
	Lines int
}

// Error implements error.
func (e ErrNotLogged) Error() string {
	return fmt.Sprintf("none of %d lines names %s", e.Lines, e.ID)
}

// IsNotLogged reports whether err says that no line names a request.
func IsNotLogged(err error) bool {
	var missing ErrNotLogged
	return errors.As(err, &missing)
}

// Run reads the logs and writes the lines in the order of their times.
func (f *Follow) Run() error {
	var lines []line
	for _, path := range f.Paths {
		read, err := f.readFile(path)
		if err != nil {
			return trace.Wrap(err, "%s", path)
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	chosen, err := f.choose(lines)
	if err != nil {
		return trace.Wrap(err)
	}
	for i := range chosen {
		mark := " "
		if chosen[i].named {
			mark = ">"
		}
		if _, err := fmt.Fprintf(f.Out, "%s %s %s: %s%s\n", mark, chosen[i].at.UTC().Format("15:04:05.000000"), chosen[i].process, chosen[i].message, chosen[i].text); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

func (f *Follow) readFile(path string) ([]line, error) {
	var lines []line
	err := scanFile(path, f.Warnings, func(text []byte) error {
		parsed, err := f.parse(text)
		if err == nil {
			lines = append(lines, parsed)
		}
		return err
	})
	return lines, err
}

// parse reads one line of JSON.
func (f *Follow) parse(text []byte) (line, error) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return line{}, trace.BadParameter("not an object: %v", err)
	}
	written, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	if err != nil {
		return line{}, trace.BadParameter("no time: %v", err)
	}
	parsed := line{at: at}
	parsed.process, _ = fields["process"].(string)
	if parsed.process == "" {
		parsed.process, _ = fields["Process"].(string)
	}
	parsed.message, _ = fields["msg"].(string)
	for _, key := range []string{"time", "level", "msg", "role", "process", "Process"} {
		delete(fields, key)
	}
	for _, key := range requestKeys {
		parsed.request = parsed.request || fields[key] != nil
	}
	var out strings.Builder
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(&out, " %s=%v", strings.ReplaceAll(key, " ", "-"), fields[key])
	}
	parsed.text = out.String()
	parsed.named = strings.Contains(parsed.text, f.ID)
	return parsed, nil
}

// choose returns the lines that name the request, and from the time around them the lines that tell of no other
// request and were written by processes that these name.
func (f *Follow) choose(lines []line) ([]line, error) {
	first := slices.IndexFunc(lines, func(l line) bool { return l.named })
	if first < 0 {
		return nil, ErrNotLogged{ID: f.ID, Lines: len(lines)}
	}
	last := first
	involved := map[string]bool{}
	for i := range lines {
		if lines[i].named {
			last = i
			involved[lines[i].process] = true
		}
	}
	for i := range lines {
		process := lines[i].process
		if _, known := involved[process]; !known && process != "" {
			involved[process] = slices.ContainsFunc(lines[first:last+1], func(l line) bool { return l.named && strings.Contains(l.text, process) })
		}
	}
	from, to := lines[first].at.Add(-f.Margin), lines[last].at.Add(f.Margin)
	return slices.DeleteFunc(slices.Clone(lines), func(l line) bool {
		within := !l.at.Before(from) && !l.at.After(to)
		return !l.named && (l.request || !involved[l.process] || !within)
	}), nil
}
