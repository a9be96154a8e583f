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

// finder finds entries for an agent that is told of control members only. It keeps no link to them, because
// lease replies of entries name the others from then on.
type finder struct {
	config AgentConfig

	mu    sync.Mutex
	seeds []string
	// members are the control members that were learned last.
	members []string
}

func (f *finder) setSeeds(seeds []string) {
	f.mu.Lock()
	f.seeds = seeds
	f.mu.Unlock()
	f.config.Log.Info("seeds have changed", "seeds", seeds)
}

// find asks control members for the live entries.
func (f *finder) find(ctx context.Context) ([]vwmessage.EntryAddress, error) {
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
	d := makeDirectory(pool, f.seeds, f.config.Log)
	d.use(f.members)
	f.mu.Unlock()
	entries, err := d.entries(ctx)
	f.mu.Lock()
	f.members = d.known
	f.mu.Unlock()
	return entries, trace.NewAggregate(err, pool.Close(), endpoint.Close())
}

// refuseMessage answers what a control member has no reason to ask.
func refuseMessage(_ *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	reply(nil, vwverdict.Errorf(vwverdict.NotRun, "message kind %d is not served here", body.MessageKind()))
}
