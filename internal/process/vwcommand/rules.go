package vwcommand

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// RulesReport is the result of checking one rules file.
type RulesReport struct {
	File        string
	Valid       bool
	Rules       int
	Services    []vwid.Service    `json:",omitempty"`
	Teams       []vwid.Team       `json:",omitempty"`
	DataCentres []vwid.DataCentre `json:",omitempty"`
	Out         []vwid.DataCentre `json:",omitempty"`
	Faults      []vwrule.Fault    `json:",omitempty"`
	// Findings are what a file without faults leaves without effect.
	Findings []vwrule.Finding `json:",omitempty"`
	// Against names the rules that Changes compares the file with.
	Against string   `json:",omitempty"`
	Changes []string `json:",omitempty"`
}

// Lines implements Report.
func (r RulesReport) Lines() []string {
	if r.Valid {
		lines := []string{fmt.Sprintf("%s: fine: %s, %s, %s, %d out, %s", r.File, count(len(r.Services), "service"),
			count(len(r.Teams), "team"), count(len(r.DataCentres), "data centre"), len(r.Out), count(r.Rules, "rule"))}
		lines = append(lines, FindingLines(r.File, r.Findings)...)
		return append(lines, ChangeLines(r.Against, r.Changes)...)
	}
	lines := make([]string, len(r.Faults))
	for i, fault := range r.Faults {
		lines[i] = fault.String()
	}
	return lines
}

// CheckRules checks a rules file and writes what it declares, leaves without effect and changes, or every fault.
func CheckRules(output Output, path string, earlier Baseline, strict Strictness) error {
	rules, err := readRules(path)
	if err != nil {
		return refuseRules(output, path, err)
	}
	report := RulesReport{
		File: path, Valid: true, Rules: rules.Len(), Services: rules.Services(), Teams: rules.Teams(),
		DataCentres: rules.DataCentres(), Out: rules.Out(), Findings: vwrule.Review(rules), Against: earlier.Name,
	}
	if earlier.Name != "" {
		before, err := vwrule.Parse(earlier.Name, earlier.Text)
		if err != nil {
			return refuseRules(output, earlier.Name, err)
		}
		report.Changes = vwrule.Diff(before, rules)
	}
	return WriteCheck(output, path, report, report.Findings, strict)
}

// refuseRules writes the faults that err carries. It returns an error for the exit code.
func refuseRules(output Output, path string, err error) error {
	faults := vwrule.FaultsOf(err)
	if len(faults) == 0 {
		return trace.Wrap(err)
	}
	if err := output.Write(RulesReport{File: path, Faults: faults}); err != nil {
		return trace.Wrap(err)
	}
	return refuse(path, len(faults))
}

// DiffReport is the difference of two rules files.
type DiffReport struct {
	Older   string
	Newer   string
	Equal   bool
	Changes []string
}

// Lines implements Report.
func (r DiffReport) Lines() []string {
	if r.Equal {
		return []string{"both files hold the same rules"}
	}
	return r.Changes
}

// DiffRules writes the rules that differ between two files, or the faults of the first one that is refused.
func DiffRules(output Output, older, newer string) error {
	before, err := readRules(older)
	if err != nil {
		return refuseRules(output, older, err)
	}
	after, err := readRules(newer)
	if err != nil {
		return refuseRules(output, newer, err)
	}
	changes := vwrule.Diff(before, after)
	return output.Write(DiffReport{Older: older, Newer: newer, Equal: len(changes) == 0, Changes: changes})
}

func readRules(path string) (*vwrule.Rules, error) {
	text, err := os.ReadFile(path) // #nosec G304 -- the operator names the file
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	rules, err := vwrule.Parse(path, text)
	return rules, trace.Wrap(err)
}

// refuse returns the error for a file with faults that were already written.
func refuse(path string, faults int) error {
	return trace.Wrap(ErrRefused{Message: fmt.Sprintf("%s is refused: %s", path, count(faults, "fault"))})
}

func count(number int, noun string) string {
	if number == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", number, noun)
}
