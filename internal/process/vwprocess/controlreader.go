package vwprocess

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// controlReader asks control members for what an agent does not learn from entries: the live entries, when it is configured
// with control members only, and the rules, when no entry renews its lease. It keeps no link to the members, because neither
// is asked while entries answer.
type controlReader struct {
	config AgentConfig

	mu    sync.Mutex
	seeds []string
	// lastMembers are the control members that the last successful query returned.
	lastMembers []string
}

func (f *controlReader) setSeeds(seeds []string) {
	f.mu.Lock()
	f.seeds = seeds
	f.mu.Unlock()
	f.config.Log.Info("control member seeds changed", "seeds", seeds)
}

// findEntries queries a control member for the live entries.
func (f *controlReader) findEntries(ctx context.Context) (entries []vwmessage.EntryAddress, err error) {
	err = f.withDirectory(ctx, func(d *memberDirectory) error {
		entries, err = d.liveEntries(ctx)
		return err
	})
	return entries, err
}

// readRules queries control for the rules, after a quorum has confirmed that they are the newest.
func (f *controlReader) readRules(ctx context.Context, held vwid.ConfigVersion) (rules vwstate.Config, err error) {
	err = f.withDirectory(ctx, func(d *memberDirectory) error {
		view, err := d.client.Read(ctx, vwstate.Query{Rules: true, Held: held})
		switch {
		case err != nil:
			return err
		case view.Config == nil:
			return trace.NotFound("the answer of control holds no rules")
		}
		rules = *view.Config
		d.setMembers(view.Members)
		return nil
	})
	return rules, err
}

// withDirectory calls query with a directory of the control members, whose links close afterwards. The seeds are shuffled,
// so that the agents of a fleet that ask at the same time call different members.
func (f *controlReader) withDirectory(ctx context.Context, query func(d *memberDirectory) error) error {
	settings := &f.config.Settings
	endpoint, err := f.config.Links.makeEndpoint(f.config.LinkAddress, f.config.Keys, vwmessage.Hello{
		Cluster: settings.Cluster, Process: settings.Process, Incarnation: vwid.MakeIncarnation(),
		Role: string(vwstate.RoleAgent), DataCentre: settings.DataCentre, Rack: settings.Rack,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	pool := vwlink.MakePool(ctx, endpoint, vwlink.HandlerFunc(refuseMessage))
	f.mu.Lock()
	seeds := slices.Clone(f.seeds)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	d := makeMemberDirectory(pool, seeds, f.config.Log)
	d.setMembers(f.lastMembers)
	f.mu.Unlock()
	err = query(d)
	f.mu.Lock()
	f.lastMembers = d.lastMembers
	f.mu.Unlock()
	return trace.NewAggregate(err, pool.Close(), endpoint.Close())
}

// refuseMessage rejects every request. Control members send none to an agent.
func refuseMessage(_ *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	reply(nil, vwverdict.Errorf(vwverdict.NotRun, "message kind %d is not served here", body.MessageKind()))
}
