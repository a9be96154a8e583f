package vwcommand

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwrule"
)

// FindingLines returns findings as text for people.
func FindingLines(file string, findings []vwrule.Finding) []string {
	lines := make([]string, len(findings))
	for i := range findings {
		lines[i] = findings[i].Text(file)
	}
	return lines
}

// ChangeLines returns the differences from an earlier version as text for people; none if there was none to compare with.
func ChangeLines(against string, changes []string) []string {
	switch {
	case against == "":
		return nil
	case len(changes) == 0:
		return []string{"the same as " + against}
	}
	return append([]string{"differs from " + against + ":"}, changes...)
}

// Strictness says whether warnings refuse a file.
type Strictness bool

// refuse returns the error for a file with findings that were already written; nil if it may be sent.
func (s Strictness) refuse(path string, findings []vwrule.Finding) error {
	bad := 0
	for i := range findings {
		if s || findings[i].Severity == vwrule.SeverityError {
			bad++
		}
	}
	if bad == 0 {
		return nil
	}
	return trace.Wrap(ErrRefused{Message: fmt.Sprintf("%s is refused: %s", path, count(bad, "finding"))})
}

// Baseline is the text of an earlier version that a check compares a file with; one without a name compares with nothing.
type Baseline struct {
	Name string
	Text []byte
}

// ReadBaseline reads an earlier version from a file. An empty path names none.
func ReadBaseline(path string) (Baseline, error) {
	if path == "" {
		return Baseline{}, nil
	}
	text, err := os.ReadFile(path) // #nosec G304 -- the operator names the file
	return Baseline{Name: path, Text: text}, trace.ConvertSystemError(err)
}

// WriteCheck writes the report of a check. It returns an error for the exit code if a finding refuses the file.
func WriteCheck(output Output, path string, report Report, findings []vwrule.Finding, strict Strictness) error {
	if err := output.Write(report); err != nil {
		return trace.Wrap(err)
	}
	return strict.refuse(path, findings)
}
