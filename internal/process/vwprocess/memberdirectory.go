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
	// memberRefreshInterval is the period at which a process queries the addresses of control members. It may be long,
	// since members are replaced rarely and the old ones still answer meanwhile.
	memberRefreshInterval = 5 * time.Second
	// memberRefreshTimeout bounds one such query.
	memberRefreshTimeout = time.Second
)

// memberDirectory tracks the addresses of control members. It starts with the configured seeds and discovers the
// current members through them.
type memberDirectory struct {
	caller *vwcontrol.LinkCaller
	client vwcontrol.Client
	log    *slog.Logger

	mu          sync.Mutex
	seeds       []string
	lastMembers []string
}

func makeMemberDirectory(pool *vwlink.Pool, seeds []string, log *slog.Logger) *memberDirectory {
	d := &memberDirectory{caller: vwcontrol.MakeLinkCaller(pool, seeds), log: log, seeds: seeds, lastMembers: seeds}
	d.client = vwcontrol.MakeClient(vwcontrol.Retry(d.caller))
	return d
}

// setSeeds replaces the configured addresses. They take effect with the next refresh.
func (d *memberDirectory) setSeeds(seeds []string) {
	d.mu.Lock()
	d.seeds = seeds
	d.mu.Unlock()
	d.log.Info("control member seeds changed", "seeds", seeds)
}

// refreshPeriodically refreshes the addresses until ctx ends.
func (d *memberDirectory) refreshPeriodically(ctx context.Context) {
	for {
		if _, err := d.refresh(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("cannot refresh the list of control members", "error", err)
		}
		if vwgroup.Sleep(ctx, memberRefreshInterval) != nil {
			return
		}
	}
}

// refresh reads the applied state of any one member, which may be stale, and adopts its list of members.
func (d *memberDirectory) refresh(ctx context.Context) (vwstate.View, error) {
	refreshCtx, cancel := context.WithTimeout(ctx, memberRefreshTimeout)
	defer cancel()
	view, err := d.client.Read(refreshCtx, vwstate.Query{Registrations: true, Local: true})
	if err != nil {
		// All members known so far may have been replaced; the seeds may lead to the new ones.
		d.setMembers(nil)
		return view, trace.Wrap(err)
	}
	d.setMembers(view.Members)
	return view, nil
}

// setMembers sets the addresses to call: the members, and the seeds in case all members have been replaced. Without
// members it keeps those of the last refresh.
func (d *memberDirectory) setMembers(members []string) {
	d.mu.Lock()
	addresses := slices.Clone(members)
	for _, seed := range append(slices.Clone(d.seeds), d.lastMembers...) {
		if !slices.Contains(addresses, seed) && (len(members) == 0 || slices.Contains(d.seeds, seed)) {
			addresses = append(addresses, seed)
		}
	}
	if len(members) > 0 {
		d.lastMembers = members
	}
	d.mu.Unlock()
	d.caller.SetAddresses(addresses)
}

// liveEntries returns the live entries in the applied state of any one member, which may be stale.
func (d *memberDirectory) liveEntries(ctx context.Context) ([]vwmessage.EntryAddress, error) {
	view, err := d.refresh(ctx)
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
