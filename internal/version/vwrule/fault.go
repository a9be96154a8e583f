package vwrule

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Fault is one reason why a rules file is refused.
type Fault struct {
	File string
	// Line and Column count from one; Column counts characters, not bytes.
	Line   int
	Column int
	// Message says what is wrong, and Suggestion what to write instead.
	Message    string
	Suggestion string
}

// String returns the fault on one line, in the form that editors recognise as a position.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.File, f.Line, f.Column, f.Message, f.Suggestion)
}

// ErrRules is returned for a text that is refused. It holds every fault, in the order of the text.
type ErrRules struct {
	Faults []Fault
}

// Error implements error.
func (e ErrRules) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrRules reports whether err says that a rules text was refused.
func IsErrRules(err error) bool {
	var refused ErrRules
	return errors.As(err, &refused)
}

// FaultsOf returns the faults that err carries, and none for another error.
func FaultsOf(err error) []Fault {
	var refused ErrRules
	errors.As(err, &refused)
	return refused.Faults
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
