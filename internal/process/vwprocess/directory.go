package vwprocess

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// directoryInterval is how often a process asks where the control members are. Members are replaced
	// rarely, and the old ones go on to answer meanwhile.
	directoryInterval = 5 * time.Second
	// directoryTimeout bounds one such question.
	directoryTimeout = time.Second
)

// directory is what a process knows of the addresses of control members. It begins with those that the process
// is told of and learns the others from them.
type directory struct {
	caller *vwcontrol.LinkCaller
	client vwcontrol.Client
	log    *slog.Logger

	mu    sync.Mutex
	seeds []string
	known []string
}

func makeDirectory(pool *vwlink.Pool, seeds []string, log *slog.Logger) *directory {
	d := &directory{caller: vwcontrol.MakeLinkCaller(pool, seeds), log: log, seeds: seeds, known: seeds}
	d.client = vwcontrol.MakeClient(vwcontrol.Retry(d.caller))
	return d
}

// setSeeds replaces the addresses that the process was told of.
func (d *directory) setSeeds(seeds []string) {
	d.mu.Lock()
	d.seeds = seeds
	d.mu.Unlock()
	d.log.Info("seeds have changed", "seeds", seeds)
}

// keep learns the addresses until ctx ends.
func (d *directory) keep(ctx context.Context) {
	for {
		if _, err := d.look(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("control members could not be asked for the others", "error", err)
		}
		if vwgroup.Sleep(ctx, directoryInterval) != nil {
			return
		}
	}
}

// look reads what any one member knows and takes its list of members over.
func (d *directory) look(ctx context.Context) (vwstate.View, error) {
	limited, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	view, err := d.client.Read(limited, vwstate.Query{Registrations: true, Local: true})
	if err != nil {
		// All that were known may have been replaced since.
		d.use(nil)
		return view, trace.Wrap(err)
	}
	d.use(view.Members)
	return view, nil
}

// use sets the addresses to call: the members, and the seeds in case that all of those are gone.
func (d *directory) use(members []string) {
	d.mu.Lock()
	addresses := slices.Clone(members)
	for _, seed := range append(slices.Clone(d.seeds), d.known...) {
		if !slices.Contains(addresses, seed) && (len(members) == 0 || slices.Contains(d.seeds, seed)) {
			addresses = append(addresses, seed)
		}
	}
	if len(members) > 0 {
		d.known = members
	}
	d.mu.Unlock()
	d.caller.SetAddresses(addresses)
}

// entries returns the live entries that any one member knows.
func (d *directory) entries(ctx context.Context) ([]vwmessage.EntryAddress, error) {
	view, err := d.look(ctx)
	if err != nil {
		return nil, err
	}
	var entries []vwmessage.EntryAddress
	for i := range view.Registrations {
		r := &view.Registrations[i]
		if r.Role == vwstate.RoleEntry && !r.Ended() {
			entries = append(entries, vwmessage.EntryAddress{Incarnation: r.Incarnation, Process: r.Process, DataCentre: r.DataCentre, Address: r.Address})
		}
	}
	return entries, nil
}
