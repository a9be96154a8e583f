package vwprocess

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// MemberConfig describes the control member of a process.
type MemberConfig struct {
	// Files is the data directory.
	Files vwstore.FileSystem
	// Heartbeat and Election are the times of vwsettings; zero takes the defaults of the log.
	Heartbeat time.Duration
	Election  time.Duration
	// ReadsByQuorum makes elections after a restart of all members faster and reads slower; see vwcontrol.Settings.
	ReadsByQuorum bool
	// Registration is how long a registration outlasts its last renewal; zero takes the default.
	Registration time.Duration
	// Joins forbids the member to make a log; see vwcontrol.Settings.
	Joins bool
	// ReplacesDamage lets the member join anew when its data directory is damaged; see vwcontrol.Settings.
	ReplacesDamage bool
	// MaxMembers bounds the members; zero takes the default.
	MaxMembers int
	// Suspended returns for how long the machine has been suspended. Nil means never.
	Suspended func() time.Duration
}

// member is a control member behind the links of its process.
type member struct {
	*vwcontrol.Member
	pool      *vwlink.Pool
	transport *vwcontrol.LinkTransport
}

// memberObserver receives what a member logs and measures.
type memberObserver struct {
	log     *slog.Logger
	events  *vwevent.Log
	metrics *vwmetrics.Metrics
}

func (o memberObserver) time(files vwstore.FileSystem) vwstore.FileSystem {
	return &timedFiles{FileSystem: files, synced: updater(o.metrics, vwmetrics.ControlSyncTime)}
}

// startMember starts a member among the initial ones. Announce is told of each new configuration version.
func startMember(group *vwgroup.Group, config MemberConfig, initial []string, l *links, r *router, announce func(vwid.ConfigVersion), observer memberObserver) (*member, error) {
	server := vwcontrol.MakeLinkServer()
	m := &member{pool: vwlink.MakePool(group.Context(), l, r)}
	m.transport = vwcontrol.MakeLinkTransport(group.Context(), m.pool)
	server.Connect(m.transport)
	if len(initial) == 0 {
		initial = []string{l.Address()}
	}
	settings := vwcontrol.DefaultSettings(l.Address(), initial)
	settings.Logger, settings.Events = observer.log, observer.events
	config.apply(&settings)
	started, err := vwcontrol.Start(group.Context(), settings, observer.time(config.Files), m.transport)
	if err != nil {
		return nil, trace.NewAggregate(err, m.transport.Close(), m.pool.Close())
	}
	m.Member = started
	observeMember(observer.metrics, started, config.Files)
	r.control.Store(server)
	return m, trace.NewAggregate(server.Attach(group, started), started.Watch(announce))
}

// apply sets what differs from the defaults. Two ticks are one Heartbeat.
func (c MemberConfig) apply(settings *vwcontrol.Settings) {
	settings.Joins, settings.ReplacesDamage, settings.ReadsByQuorum = c.Joins, c.ReplacesDamage, c.ReadsByQuorum
	if c.Registration > 0 {
		settings.Registration = c.Registration
	}
	if c.MaxMembers > 0 {
		settings.MaxMembers = c.MaxMembers
	}
	if c.Suspended != nil {
		settings.Suspended = c.Suspended
	}
	if c.Heartbeat <= 0 || c.Election <= 0 {
		return
	}
	settings.Tick = max(c.Heartbeat/2, time.Millisecond)
	settings.Heartbeat, settings.Election = c.Heartbeat, c.Election
}

// stop hands a leadership over and ends the member.
func (m *member) stop() error {
	return trace.NewAggregate(m.Stop(), m.transport.Close(), m.pool.Close())
}

func (m *member) kill() {
	_ = m.Kill()
	_ = m.transport.Close()
	_ = m.pool.Close()
}

// makeControlClient returns the way of a process to control: its own member first, if it has one, and the
// other members over links.
func makeControlClient(own *member, pool *vwlink.Pool, members []string, self string) vwcontrol.Client {
	var caller vwcontrol.Caller
	others := slices.DeleteFunc(slices.Clone(members), func(address string) bool { return address == self })
	if len(others) > 0 {
		caller = vwcontrol.MakeLinkCaller(pool, others)
	}
	if own != nil {
		caller = &preferred{own: own, others: caller}
	}
	return vwcontrol.MakeClient(vwcontrol.Retry(caller))
}

// preferred calls the process's own member, and others once that has ended, for example because its
// disk failed.
type preferred struct {
	own    vwcontrol.Caller
	others vwcontrol.Caller
}

// Call implements vwcontrol.Caller.
func (p *preferred) Call(ctx context.Context, request vwmessage.Body) (vwmessage.Body, error) {
	reply, err := p.own.Call(ctx, request)
	if p.others == nil || !vwcontrol.IsStopped(err) {
		return reply, err
	}
	return p.others.Call(ctx, request)
}
