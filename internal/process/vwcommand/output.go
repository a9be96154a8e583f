package vwcommand

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// Output is where a command writes its result.
type Output struct {
	Writer io.Writer
	// JSON asks for one JSON document instead of text for people.
	JSON bool
}

// Report is the result of a command. Its JSON form has Pascal case names.
type Report interface {
	// Lines returns the text for people.
	Lines() []string
}

// Write writes a result in the form that was asked for.
func (o Output) Write(report Report) error {
	if o.JSON {
		encoder := json.NewEncoder(o.Writer)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(report))
	}
	for _, line := range report.Lines() {
		if _, err := fmt.Fprintln(o.Writer, line); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
