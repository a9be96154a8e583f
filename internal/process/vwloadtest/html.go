package vwloadtest

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/gravitational/trace"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Parse(pageText))

// WriteHTML writes the report as one page that needs no other file.
func (r Report) WriteHTML(out io.Writer) error {
	err := page.Execute(out, map[string]any{"Report": r, "Plots": r.plots, "Broken": len(r.Broken())})
	return trace.Wrap(err)
}
