package vwcommand

import (
	"fmt"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwsettings"
)

// SettingsReport is the result of checking one settings file.
type SettingsReport struct {
	File  string
	Valid bool
	// Settings are complete, defaults included. Nil means that the file is refused.
	Settings *vwsettings.Settings `json:",omitempty"`
	Faults   []vwsettings.Fault   `json:",omitempty"`
}

// Lines implements Report.
func (r SettingsReport) Lines() []string {
	if s := r.Settings; s != nil {
		return []string{fmt.Sprintf("%s: fine: %s %s of cluster %s in data centre %s", r.File, s.Role, s.Process, s.Cluster, s.DataCentre)}
	}
	lines := make([]string, len(r.Faults))
	for i, fault := range r.Faults {
		lines[i] = fault.String()
	}
	return lines
}

// CheckSettings checks a settings file by the code that reads it at the start of a process.
func CheckSettings(output Output, path string) error {
	settings, err := vwsettings.Load(path)
	if err == nil {
		return output.Write(SettingsReport{File: path, Valid: true, Settings: &settings})
	}
	faults := vwsettings.FaultsOf(err)
	if len(faults) == 0 {
		return trace.Wrap(err)
	}
	if err := output.Write(SettingsReport{File: path, Faults: faults}); err != nil {
		return trace.Wrap(err)
	}
	return refuse(path, len(faults))
}
