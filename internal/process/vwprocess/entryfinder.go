package vwprocess

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// entryFinder asks control members for the live entries, for an agent that is configured with control members only.
// It keeps no link to the members, because later lease replies of entries name the other entries.
type entryFinder struct {
	config AgentConfig

	mu    sync.Mutex
	seeds []string
	// lastMembers are the control members that the last successful query returned.
	lastMembers []string
}

func (f *entryFinder) setSeeds(seeds []string) {
	f.mu.Lock()
	f.seeds = seeds
	f.mu.Unlock()
	f.config.Log.Info("control member seeds changed", "seeds", seeds)
}

// find queries a control member for the live entries.
func (f *entryFinder) find(ctx context.Context) ([]vwmessage.EntryAddress, error) {
	settings := &f.config.Settings
	endpoint, err := f.config.Links.makeEndpoint(f.config.LinkAddress, f.config.Keys, vwmessage.Hello{
		Cluster: settings.Cluster, Process: settings.Process, Incarnation: vwid.MakeIncarnation(),
		Role: string(vwstate.RoleAgent), DataCentre: settings.DataCentre, Rack: settings.Rack,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := vwlink.MakePool(ctx, endpoint, vwlink.HandlerFunc(refuseMessage))
	f.mu.Lock()
	d := makeMemberDirectory(pool, f.seeds, f.config.Log)
	d.setMembers(f.lastMembers)
	f.mu.Unlock()
	entries, err := d.liveEntries(ctx)
	f.mu.Lock()
	f.lastMembers = d.lastMembers
	f.mu.Unlock()
	return entries, trace.NewAggregate(err, pool.Close(), endpoint.Close())
}

// refuseMessage rejects every request. Control members send none to an agent.
func refuseMessage(_ *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	reply(nil, vwverdict.Errorf(vwverdict.NotRun, "message kind %d is not served here", body.MessageKind()))
}
