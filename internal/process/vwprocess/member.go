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
	// Files is the file system of the data directory.
	Files vwstore.FileSystem
	// Heartbeat and Election are the timeouts of vwsettings; if either is zero, both take the defaults of
	// vwcontrol.
	Heartbeat time.Duration
	Election  time.Duration
	// ReadsByQuorum makes elections after a restart of all members faster and reads slower; see vwcontrol.Settings.
	ReadsByQuorum bool
	// Registration is how long a registration is kept after its last renewal; zero means the default.
	Registration time.Duration
	// JoinOnly forbids the member to create a log; see vwcontrol.Settings.
	JoinOnly bool
	// RejoinOnCorruption lets the member rejoin as a new one when its data directory is damaged; see
	// vwcontrol.Settings.
	RejoinOnCorruption bool
	// MaxMembers limits the number of members; zero means the default.
	MaxMembers int
	// Tolerance is how many members may lose their disks at once; zero means the default of vwcontrol.
	Tolerance int
	// Suspended returns for how long the machine has been suspended. Nil means never.
	Suspended func() time.Duration
}

// member is a control member with the link pool and transport that it uses.
type member struct {
	*vwcontrol.Member
	pool      *vwlink.Pool
	transport *vwcontrol.LinkTransport
}

// memberTelemetry holds the destinations of a member's log lines, events and metrics.
type memberTelemetry struct {
	log     *slog.Logger
	events  *vwevent.Log
	metrics *vwmetrics.Metrics
}

func (t memberTelemetry) timeSyncs(files vwstore.FileSystem) vwstore.FileSystem {
	return &syncTimingFileSystem{FileSystem: files, observeSync: makeHistogramUpdater(t.metrics, vwmetrics.ControlSyncTime)}
}

// startMember starts a control member. initial are the link addresses of the members that form the cluster; empty
// means this member only. announce is called with each new configuration version.
func startMember(group *vwgroup.Group, config MemberConfig, initial []string, l *linkEndpoint, r *router, announce func(vwid.ConfigVersion), telemetry memberTelemetry) (*member, error) {
	server := vwcontrol.MakeLinkServer()
	m := &member{pool: vwlink.MakePool(group.Context(), l, r)}
	m.transport = vwcontrol.MakeLinkTransport(group.Context(), m.pool)
	server.SetTransport(m.transport)
	if len(initial) == 0 {
		initial = []string{l.Address()}
	}
	settings := vwcontrol.DefaultSettings(l.Address(), initial)
	settings.Logger, settings.Events = telemetry.log, telemetry.events
	config.apply(&settings)
	started, err := vwcontrol.Start(group.Context(), settings, telemetry.timeSyncs(config.Files), m.transport)
	if err != nil {
		return nil, trace.NewAggregate(err, m.transport.Close(), m.pool.Close())
	}
	m.Member = started
	exportMemberMetrics(telemetry.metrics, started, config.Files)
	r.control.Store(server)
	return m, trace.NewAggregate(server.Attach(group, started), started.Watch(announce))
}

// apply overrides the defaults in settings. A Heartbeat is two ticks.
func (c MemberConfig) apply(settings *vwcontrol.Settings) {
	settings.JoinOnly, settings.RejoinOnCorruption, settings.ReadsByQuorum = c.JoinOnly, c.RejoinOnCorruption, c.ReadsByQuorum
	if c.Registration > 0 {
		settings.RegistrationPeriod = c.Registration
	}
	if c.MaxMembers > 0 {
		settings.MaxMembers = c.MaxMembers
	}
	if c.Tolerance > 0 {
		settings.Tolerance = c.Tolerance
		// Each of the members that may be lost may be replaced while it still votes.
		settings.MaxMembers = max(settings.MaxMembers, 3*c.Tolerance+1)
	}
	if c.Suspended != nil {
		settings.SuspendedTime = c.Suspended
	}
	if c.Heartbeat <= 0 || c.Election <= 0 {
		return
	}
	settings.Tick = max(c.Heartbeat/2, time.Millisecond)
	settings.HeartbeatInterval, settings.ElectionTimeout = c.Heartbeat, c.Election
}

// stop transfers the leadership, if the member has it, and stops the member.
func (m *member) stop() error {
	return trace.NewAggregate(m.Stop(), m.transport.Close(), m.pool.Close())
}

func (m *member) kill() {
	_ = m.Kill()
	_ = m.transport.Close()
	_ = m.pool.Close()
}

// makeControlClient returns a client that calls the process's own member first, if it has one, and the other
// members over links.
func makeControlClient(ownMember *member, pool *vwlink.Pool, members []string, ownAddress string) vwcontrol.Client {
	var caller vwcontrol.Caller
	others := slices.DeleteFunc(slices.Clone(members), func(address string) bool { return address == ownAddress })
	if len(others) > 0 {
		caller = vwcontrol.MakeLinkCaller(pool, others)
	}
	if ownMember != nil {
		caller = &fallbackCaller{primary: ownMember, fallback: caller}
	}
	return vwcontrol.MakeClient(vwcontrol.Retry(caller))
}

// fallbackCaller calls primary, the process's own member, and fallback once that member has stopped, for example
// because its disk failed. fallback may be nil.
type fallbackCaller struct {
	primary  vwcontrol.Caller
	fallback vwcontrol.Caller
}

// Call implements vwcontrol.Caller.
func (c *fallbackCaller) Call(ctx context.Context, request vwmessage.Body) (vwmessage.Body, error) {
	reply, err := c.primary.Call(ctx, request)
	if c.fallback == nil || !vwcontrol.IsStopped(err) {
		return reply, err
	}
	return c.fallback.Call(ctx, request)
}
