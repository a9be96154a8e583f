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

// eventFile is the event log of a process on disk.
type eventFile struct {
	*vwevent.Log
	file  *os.File
	group *vwgroup.Group
}

// openEvents opens the event file of the settings. Without one the Log is nil, which is off.
func openEvents(s vwsettings.Settings) (*eventFile, error) {
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

// close writes what is left.
func (e *eventFile) close() error {
	if e.Log == nil {
		return nil
	}
	_ = e.group.Stop()
	return trace.NewAggregate(e.Err(), e.file.Close())
}
