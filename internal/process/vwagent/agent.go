// Package vwagent implements the agent, the process that runs beside each backend server. It receives the
// announcements of the backend server, owns its slots and the start records, grants credits to entries, calls
// the backend server and delivers results.
//
// One goroutine, Agent.Run, owns the control state. Other goroutines dial and serve links, call the backend
// server and serve HTTP; they send events to it.
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
	"vanillawind.example/vanillawind/pkg/vwboot"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// tickInterval is the interval at which the agent checks timeouts. Ticks coincide with the pings of links where the
	// intervals are multiples of each other.
	tickInterval = 100 * time.Millisecond
	// runnerTickInterval is the same for an agent with a worker that grants leases. Each tick repeats
	// unanswered stops and checks orphanGrace.
	runnerTickInterval = 40 * time.Millisecond
	// expireInterval is the interval at which old start records are expired.
	expireInterval = 10 * time.Second
	// stallLimit is the shortest time between two iterations of the control goroutine that counts as a stall. It is several
	// ticks, and the time after which entries give up a link that is silent.
	stallLimit = 500 * time.Millisecond
	// confirmRulesTimeout bounds how long nothing starts after a stall.
	confirmRulesTimeout = 500 * time.Millisecond
	// eventQueueSize is the capacity of the event queue and bounds the events of one pass of the control
	// goroutine. A full queue blocks the receivers of links, which puts backpressure on the senders.
	eventQueueSize = 256
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

// Options are the settings and dependencies of an agent.
type Options struct {
	Settings Settings
	Backend  Backend
	// MakeEndpoint opens the endpoint that dials links. It is called again for each new incarnation.
	MakeEndpoint func(hello vwmessage.Hello) (Endpoint, error)
	// MakeLease returns an empty lease. It is called again for each new incarnation.
	MakeLease func() Lease
	// Worker, if it is set, runs the tasks of best-effort jobs. An agent needs it or Backend.
	Worker vwworker.Worker
	// Runs are the lease and timeout settings for runs at the worker.
	Runs vwrun.Settings
	// Token is the fencing token for the worker. It should exceed those of earlier agent processes; otherwise it is
	// raised when the worker rejects it.
	Token uint64
	// Timing is the ping interval and the silence timeout of links; zero means vwlink.DefaultTiming.
	Timing vwlink.Timing
	// FindEntries returns entries, for an agent whose settings name none. It is called while the agent has no link.
	FindEntries func(ctx context.Context) ([]vwmessage.EntryAddress, error)
	// ReadRules, if it is set, asks control for the newest rules. The text is empty unless their version is above held. An agent
	// with Worker calls it while no entry renews its lease.
	ReadRules func(ctx context.Context, held vwid.ConfigVersion) (vwstate.Config, error)
	Logger    *slog.Logger
	Observer  Observer
}

// Agent is the agent process.
type Agent struct {
	settings Settings
	options  Options
	logger   *slog.Logger
	counters Counters
	gauges   Gauges
	// rejections logs the announcements that Counters.Invalid and Counters.Denied count.
	rejections rejectionLog
	group      *vwgroup.Group
	events     chan event
	done       chan struct{}
	closeDone  sync.Once
	timing     vwlink.Timing
	// machineClock tells for how long the machine was suspended.
	machineClock *vwboot.Meter

	// The control goroutine owns the fields below.
	// stalledAt is when the agent last found that it had stood still.
	stall     vwboot.StallDetector
	stalledAt time.Time
	// confirmRulesBy is when the agent goes on under the rules that it held before a stall, although nobody has confirmed them.
	confirmRulesBy time.Time

	runner     *runner
	backend    backendState
	current    *registration
	stopping   bool
	stopBefore time.Time
	stopped    bool
	// confirming is set while a stop waits for entries to confirm the last results.
	confirming bool
	reopenAt   time.Time
	// retryTimer fires when the granter must decide again without an event.
	retryTimer *time.Timer
}

// event changes the control state.
type event interface {
	apply(a *Agent, now time.Time)
}

// eventFunc adapts a function to event.
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
		events:   make(chan event, eventQueueSize),
		done:     make(chan struct{}),
		timing:   options.Timing,

		machineClock: vwboot.MakeMeter(vwboot.Suspended),
	}
	if options.Worker != nil {
		a.runner = makeRunner(a)
	}
	return a, nil
}

// check returns the settings with defaults, or an error if an option is missing or invalid.
func (o *Options) check() (Settings, error) {
	settings, err := o.Settings.Check()
	switch {
	case err != nil:
		return settings, err
	case settings.FindsEntries && o.FindEntries == nil:
		return settings, trace.BadParameter("FindsEntries is set, but FindEntries is nil")
	case o.MakeEndpoint == nil || o.MakeLease == nil:
		return settings, trace.BadParameter("MakeEndpoint and MakeLease must be set")
	case o.Backend == nil && o.Worker == nil:
		return settings, trace.BadParameter("Backend or Worker must be set")
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
	if err := a.openRegistration(); err != nil {
		a.closeDone.Do(func() { close(a.done) })
		return err
	}
	if a.options.FindEntries != nil {
		a.group.Run(a.findEntries)
	}
	a.loop(a.group.Context())
	a.closeDone.Do(func() { close(a.done) })
	err := a.group.Stop()
	if a.current != nil {
		a.current.close()
	}
	return trace.Wrap(err)
}

func (a *Agent) loop(ctx context.Context) {
	interval := tickInterval
	if a.runner != nil {
		interval = runnerTickInterval
	}
	tick := time.NewTimer(a.timing.UntilNext(time.Now(), interval))
	defer tick.Stop()
	a.retryTimer = time.NewTimer(tickInterval)
	defer a.retryTimer.Stop()
	for !a.stopped {
		select {
		case <-ctx.Done():
			return
		case e := <-a.events:
			a.checkStall(time.Now())
			e.apply(a, time.Now())
			a.drainEvents()
		case now := <-tick.C:
			a.checkStall(time.Now())
			a.onTick(now)
			tick.Reset(a.timing.UntilNext(time.Now(), interval))
		case <-a.retryTimer.C:
			if a.current != nil {
				a.current.dirty = true
			}
		}
		a.applyPending(time.Now())
	}
}

// checkStall handles that the agent has stood still. If its lease has ended meanwhile, nothing starts until the rules are
// confirmed, but at most for confirmRulesTimeout. The clock does not count a suspension of the machine, so that ends the lease.
func (a *Agent) checkStall(now time.Time) {
	stalled := a.stall.Observe(now, a.machineClock.Suspended(now), stallLimit)
	if stalled == 0 {
		return
	}
	a.logger.Warn("the agent stood still; nothing starts until its rules are confirmed", "Milliseconds", stalled.Milliseconds())
	a.stalledAt, a.confirmRulesBy = now, now.Add(confirmRulesTimeout)
	if r := a.current; r != nil {
		if a.stall.Suspension() > 0 {
			r.lease.Expire(now)
		}
		r.dirty = true
		r.readRulesIfDue(now)
		for _, l := range r.links {
			signal(l.renewSignal)
		}
	}
}

// awaitsRules reports whether the agent has stood still and its rules are not confirmed yet.
func (a *Agent) awaitsRules(now time.Time) bool {
	if !now.Before(a.confirmRulesBy) || a.current == nil {
		return false
	}
	_, fresh := a.current.lease.Rules(now)
	return !fresh
}

// drainEvents applies the events that are queued already, so that one credit decision covers them all.
func (a *Agent) drainEvents() {
	for range eventQueueSize {
		select {
		case e := <-a.events:
			e.apply(a, time.Now())
		default:
			return
		}
	}
}

// post sends an event to the control goroutine. It reports false if that goroutine has ended.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.done:
		return false
	}
}

// do runs f in the control goroutine and waits until f returns. It reports false if the control goroutine has
// ended.
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
			a.reopenRegistration(now)
		}
		return
	}
	r.dirty = true
	if a.runner != nil {
		a.runner.tick(now)
	}
	if now.Sub(r.lastExpiry) >= expireInterval {
		r.lastExpiry = now
		r.records.Expire(now)
	}
	r.refreshTargetsIfDue(now)
	r.readRulesIfDue(now)
	a.updateGauges(now)
}

// applyPending brings starts, credits, runs and a pending stop in line with the state that the events have
// changed.
func (a *Agent) applyPending(now time.Time) {
	if r := a.current; r != nil {
		r.startWaiting(now)
		r.updateCredits(now)
	}
	if a.runner != nil {
		a.runner.flush(now)
	}
	a.finishIfDrained(now)
}

// openRegistration opens an endpoint and creates a registration under a new incarnation.
func (a *Agent) openRegistration() error {
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
	a.logger.Info("started under a new incarnation", "Incarnation", string(incarnation))
	return nil
}

// Ready returns an error with the reason if no task can start now.
func (a *Agent) Ready(context.Context) error {
	reason := "the agent has no registration"
	ran := a.do(func(now time.Time) {
		if a.current != nil {
			reason = a.current.refusalReason(now)
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

// Version returns the newest configuration version whose rules the agent holds, and zero without a
// registration.
func (a *Agent) Version(context.Context) vwid.ConfigVersion {
	version := vwid.ConfigVersion(0)
	a.do(func(time.Time) {
		if a.current != nil {
			version = a.current.lease.Held()
		}
	})
	return version
}
