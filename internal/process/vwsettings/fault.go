package vwsettings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Fault is one reason why settings are refused.
type Fault struct {
	File string
	// Line is zero for settings that were not read from a file. For a key that is missing it is the line
	// of the key's table, or the first line.
	Line int
	// Key is the key with its table, such as Limits.Slots. It is empty for a fault of syntax.
	Key        string
	Message    string
	Suggestion string
}

// String returns the fault on one line.
func (f Fault) String() string {
	parts := []string{}
	if f.File != "" {
		parts = append(parts, fmt.Sprintf("%s:%d", f.File, f.Line))
	}
	if f.Key != "" {
		parts = append(parts, f.Key)
	}
	return strings.Join(append(parts, f.Message+"; "+f.Suggestion), ": ")
}

// ErrSettings is returned for settings that are refused. It holds every fault, in the order of the file.
type ErrSettings struct {
	Faults []Fault
}

// Error implements error.
func (e ErrSettings) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// IsErrSettings reports whether err says that settings were refused.
func IsErrSettings(err error) bool {
	var refused ErrSettings
	return errors.As(err, &refused)
}

// FaultsOf returns the faults that err carries, and none for another error.
func FaultsOf(err error) []Fault {
	var refused ErrSettings
	errors.As(err, &refused)
	return refused.Faults
}

// refuse returns an ErrSettings for faults, and nil when there are none.
func refuse(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return ErrSettings{Faults: faults}
}
