// Package vwagent is the process beside each backend server. It takes the announcements of the
// backend server, owns its slots and the start records, grants credits to entries, calls the backend
// server, and delivers results.
//
// One goroutine, Agent.Run, owns the control state. Others dial and serve links, run the calls of the
// backend server and serve HTTP; they hand events to it.
package vwagent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// tick is how often the agent looks for timeouts that no event announces.
	tick = 100 * time.Millisecond
	// runnerTick is the same for an agent with a worker that grants leases. An unanswered stop is repeated at
	// such times, and orphanGrace is checked.
	runnerTick = 40 * time.Millisecond
	// expireInterval is how often old start records are searched for.
	expireInterval = 10 * time.Second
	// eventQueue holds the events of one pass of the control goroutine. A full queue makes the
	// receivers of links wait, which slows their senders down.
	eventQueue = 256
)

// Backend calls the backend server. vwbackend.Client implements it.
type Backend interface {
	Run(ctx context.Context, task vwbackend.Task) ([]byte, error)
}

// Endpoint dials links under one incarnation.
type Endpoint interface {
	vwlink.Dialer
	Close() error
}

// Options hold what an agent works with.
type Options struct {
	Settings Settings
	Backend  Backend
	// MakeEndpoint opens the agent's end of links. It is called again for each new incarnation.
	MakeEndpoint func(hello vwmessage.Hello) (Endpoint, error)
	// MakeLease returns an empty lease. It is called again for each new incarnation.
	MakeLease func() Lease
	// Worker, if it is set, runs the tasks of best-effort jobs. An agent needs it or Backend.
	Worker vwworker.Worker
	// Runs are the times by which runs at the worker are kept.
	Runs vwrun.Settings
	// Token is the fencing token for the worker. It must be above those of earlier runs of the agent if it can
	// be told.
	Token uint64
	// Timing is that of the agent's links; zero means the default.
	Timing vwlink.Timing
	// Find returns entries, for an agent whose settings name none. It is called until one is linked.
	Find     func(ctx context.Context) ([]vwmessage.EntryAddress, error)
	Logger   *slog.Logger
	Observer Observer
}

// Agent is the agent process.
type Agent struct {
	settings Settings
	options  Options
	logger   *slog.Logger
	counters Counters
	gauges   Gauges
	group    *vwgroup.Group
	events   chan event
	done     chan struct{}
	once     sync.Once
	timing   vwlink.Timing

	// The control goroutine owns the rest.
	runner     *runner
	backend    announced
	current    *registration
	stopping   bool
	stopBefore time.Time
	stopped    bool
	reopenAt   time.Time
	// retry fires when the granter has to decide again although nothing happened.
	retry *time.Timer
}

// event changes the control state.
type event interface {
	apply(a *Agent, now time.Time)
}

// eventFunc is an event made of a function.
type eventFunc func(now time.Time)

func (f eventFunc) apply(_ *Agent, now time.Time) {
	f(now)
}

// Make returns an agent that Run starts.
func Make(options Options) (*Agent, error) {
	settings, err := options.check()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Timing == (vwlink.Timing{}) {
		options.Timing = vwlink.DefaultTiming
	}
	a := &Agent{
		settings: settings,
		options:  options,
		logger:   options.Logger.With("Process", string(settings.Process)),
		events:   make(chan event, eventQueue),
		done:     make(chan struct{}),
		timing:   options.Timing,
	}
	if options.Worker != nil {
		a.runner = makeRunner(a)
	}
	return a, nil
}

// check returns the settings with defaults, or an error when a part is missing.
func (o *Options) check() (Settings, error) {
	settings, err := o.Settings.Check()
	switch {
	case err != nil:
		return settings, err
	case settings.FindsEntries && o.Find == nil:
		return settings, trace.BadParameter("FindsEntries is set, but there is no way to find them")
	case o.MakeEndpoint == nil || o.MakeLease == nil:
		return settings, trace.BadParameter("an agent needs an endpoint and a lease")
	case o.Backend == nil && o.Worker == nil:
		return settings, trace.BadParameter("an agent needs a backend or a worker")
	case o.Worker != nil:
		return settings, o.Runs.Check()
	}
	return settings, nil
}

// Counters returns the counters of the agent.
func (a *Agent) Counters() *Counters {
	return &a.counters
}

// Run serves until Stop has finished or ctx ends. The end of ctx aborts running tasks.
func (a *Agent) Run(ctx context.Context) error {
	a.group = vwgroup.Make(ctx)
	if err := a.open(); err != nil {
		a.once.Do(func() { close(a.done) })
		return err
	}
	if a.options.Find != nil {
		a.group.Run(a.find)
	}
	a.loop(a.group.Context())
	a.once.Do(func() { close(a.done) })
	err := a.group.Stop()
	if a.current != nil {
		a.current.close()
	}
	return trace.Wrap(err)
}

func (a *Agent) loop(ctx context.Context) {
	interval := tick
	if a.runner != nil {
		interval = runnerTick
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	a.retry = time.NewTimer(tick)
	defer a.retry.Stop()
	for !a.stopped {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			e.apply(a, time.Now())
			a.drain()
		case now := <-ticker.C:
			a.onTick(now)
		case <-a.retry.C:
			if a.current != nil {
				a.current.dirty = true
			}
		}
		a.settle(time.Now())
	}
}

// drain applies the events that wait already, so that one decision about credits covers them all.
func (a *Agent) drain() {
	for range eventQueue {
		select {
		case e := <-a.events:
			e.apply(a, time.Now())
		default:
			return
		}
	}
}

// post hands an event to the control goroutine. It reports false when that has ended.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.done:
		return false
	}
}

// do runs f in the control goroutine and waits for its end. It reports false when f did not run.
func (a *Agent) do(f func(now time.Time)) bool {
	ran := make(chan struct{})
	if !a.post(eventFunc(func(now time.Time) { f(now); close(ran) })) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) onTick(now time.Time) {
	a.checkAnnouncement(now)
	r := a.current
	if r == nil {
		if !a.stopping && !now.Before(a.reopenAt) {
			a.reopen(now)
		}
		return
	}
	r.dirty = true
	if a.runner != nil {
		a.runner.tick(now)
	}
	if now.Sub(r.expired) >= expireInterval {
		r.expired = now
		r.records.Expire(now)
	}
	r.refreshTargets()
	a.publish(now)
}

// settle acts on what the events have changed.
func (a *Agent) settle(now time.Time) {
	if r := a.current; r != nil {
		r.pump(now)
		r.decide(now)
	}
	if a.runner != nil {
		a.runner.settle(now)
	}
	a.checkEnd(now)
}

// open makes a new registration under a new incarnation.
func (a *Agent) open() error {
	incarnation := vwid.MakeIncarnation()
	endpoint, err := a.options.MakeEndpoint(vwmessage.Hello{
		Cluster:     a.settings.Cluster,
		Process:     a.settings.Process,
		Incarnation: incarnation,
		Role:        string(vwstate.RoleAgent),
		DataCentre:  a.settings.DataCentre,
		Rack:        a.settings.Rack,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	a.current = makeRegistration(a, incarnation, endpoint)
	a.current.refreshTargets()
	a.logger.Info("incarnation begins", "Incarnation", string(incarnation))
	return nil
}

// Ready reports whether tasks can start now, and otherwise why not.
func (a *Agent) Ready(context.Context) error {
	reason := "the agent has no registration"
	ran := a.do(func(now time.Time) {
		if a.current != nil {
			reason = a.current.gate(now)
		}
	})
	switch {
	case !ran:
		return trace.ConnectionProblem(nil, "the agent has stopped")
	case reason != "":
		return trace.ConnectionProblem(nil, "%s", reason)
	}
	return nil
}

// Version returns the configuration version that the agent acts under.
func (a *Agent) Version(context.Context) vwid.ConfigVersion {
	version := vwid.ConfigVersion(0)
	a.do(func(time.Time) {
		if a.current != nil {
			version = a.current.lease.Held()
		}
	})
	return version
}
