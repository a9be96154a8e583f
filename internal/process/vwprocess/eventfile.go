package vwprocess

import (
	"context"
	"os"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// eventFile writes the event log of a process to a file.
type eventFile struct {
	*vwevent.Log
	file  *os.File
	group *vwgroup.Group
}

// openEventFile opens the event file named in the settings. Without one the Log is nil, which disables it.
func openEventFile(s vwsettings.Settings) (*eventFile, error) {
	if s.Log.EventFile == "" {
		return &eventFile{}, nil
	}
	file, err := os.OpenFile(s.Log.EventFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "Log.EventFile")
	}
	source := vwevent.Source{Process: s.Process, Incarnation: vwid.MakeIncarnation(), DataCentre: s.DataCentre}
	e := &eventFile{
		Log: vwevent.MakeLog(source, file, vwevent.DefaultCapacity), file: file, group: vwgroup.Make(context.Background()),
	}
	e.group.Run(e.Run)
	e.Record(vwevent.Event{Kind: vwevent.ProcessStarted})
	return e, nil
}

// close writes the buffered events and closes the file. It returns the first write error.
func (e *eventFile) close() error {
	if e.Log == nil {
		return nil
	}
	_ = e.group.Stop()
	return trace.NewAggregate(e.Err(), e.file.Close())
}
