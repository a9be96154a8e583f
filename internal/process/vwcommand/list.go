package vwcommand

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"vanillawind.example/vanillawind/pkg/vwapi"
)

// DataCentreList lists data centres.
type DataCentreList []vwapi.DataCentre

// Lines implements Report.
func (l DataCentreList) Lines() []string {
	return makeTable("DATA CENTRE\tSERVICE", l, func(d vwapi.DataCentre) string {
		if d.Out {
			return fmt.Sprintf("%s\tout", d.Name)
		}
		return fmt.Sprintf("%s\tin", d.Name)
	})
}

// WorkerList lists registered workers.
type WorkerList []vwapi.Worker

// Lines implements Report.
func (l WorkerList) Lines() []string {
	return makeTable("WORKER\tDATA CENTRE\tRACK\tSERVICE\tSLOTS", l, func(w vwapi.Worker) string {
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d", w.Process, w.DataCentre, w.Rack, w.Service, w.Slots)
	})
}

// EntryStatus is the status of one entry, or why it is not known.
type EntryStatus struct {
	Address string
	Status  *vwapi.Status `json:",omitempty"`
	Error   string        `json:",omitempty"`
}

// StatusList lists the statuses of entries.
type StatusList []EntryStatus

// Lines implements Report.
func (l StatusList) Lines() []string {
	var known []*vwapi.Status
	var unknown []string
	for _, entry := range l {
		if entry.Status == nil {
			unknown = append(unknown, entry.Address+": "+entry.Error)
			continue
		}
		known = append(known, entry.Status)
	}
	lines := makeTable("ENTRY\tDATA CENTRE\tVERSION\tLEASE\tWORKERS\tENTRIES\tWAITING\tJOBS\tSTATE", known, statusLine)
	return append(lines, unknown...)
}

func statusLine(s *vwapi.Status) string {
	lease, state := "missing", "serving"
	if s.LeaseFresh {
		lease = "fresh"
	}
	if s.Stopping {
		state = "stopping"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%s", s.Process, s.DataCentre, s.Version, lease,
		s.Workers, s.Entries, s.Waiting, s.Jobs, state)
}

// makeTable returns the lines of a table with aligned columns.
func makeTable[T any](header string, rows []T, format func(T) string) []string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, header)
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, format(row))
	}
	_ = table.Flush()
	return splitLines(text.String())
}

func splitLines(text string) []string {
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
