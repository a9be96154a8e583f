// Package vwentry is the entry process: it accepts submissions and requests, queues their tasks, sends
// them to agents under credits, and assembles whole answers. One goroutine, the loop, owns all state
// below Entry; everything else reaches it through post and ask.
package vwentry

import (
	"context"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Control is the replicated control state as an entry uses it. The verdict of an error tells whether
// a command may be, or may get, into the log.
type Control interface {
	Propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error)
	Renew(ctx context.Context, request *vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error)
	Read(ctx context.Context, query vwstate.Query) (vwstate.View, error)
}

// Settings holds what an entry must know at its start.
type Settings struct {
	Process    vwid.Process
	DataCentre vwid.DataCentre
	Rack       vwid.Rack
	// LinkAddress is where other entries reach this one.
	LinkAddress string
	// MaxBody bounds one HTTP body.
	MaxBody vwunit.Bytes
	// MaxPayload bounds the payload of one task.
	MaxPayload vwunit.Bytes
	// MaxTasks bounds the tasks of one submission.
	MaxTasks int
	// QueueTasks and QueueBytes bound the queue on top of the rules; zero leaves it to them.
	QueueTasks int
	QueueBytes vwunit.Bytes
	// RemoteFactor is how much longer a task of a best-effort job runs far from its data.
	RemoteFactor float64
	// MaxWaitingJobs bounds the best-effort jobs that wait.
	MaxWaitingJobs int
	// AnswerBytes bounds the answers that are kept for resubmissions.
	AnswerBytes vwunit.Bytes
}

// DefaultSettings returns settings with all bounds set.
func DefaultSettings() Settings {
	return Settings{
		MaxBody:    64 * vwunit.MiB,
		MaxPayload: vwunit.MiB,
		MaxTasks:   100_000,

		RemoteFactor:   1,
		MaxWaitingJobs: 10_000,
		AnswerBytes:    256 * vwunit.MiB,
	}
}

const (
	// mailboxSize is how many events may wait for the loop before senders wait.
	mailboxSize = 4096
	// drainLimit bounds the events handled between two rounds of dispatching.
	drainLimit   = 256
	tickInterval = 10 * time.Millisecond
)

// Entry is one entry process.
type Entry struct {
	settings    Settings
	incarnation vwid.Incarnation
	control     Control
	peers       *vwlink.Pool
	log         *slog.Logger
	group       *vwgroup.Group
	mailbox     chan func()
	counters    *Counters
	gauges      *Gauges
	observer    Observer
	lost        chan struct{}
	// announced asks for a renewal at once.
	announced chan struct{}

	// The fields below belong to the loop.
	holder  *vwlease.Holder
	rules   *vwrule.Rules
	applied vwid.ConfigVersion
	// appliedFor is the number of entries that the applied policy was divided among.
	appliedFor int
	entries    vwmessage.EntryList
	expired    map[vwid.Incarnation]bool
	queue      *vwdispatch.Queue
	jobs       map[vwid.SubmissionID]*job
	// accepting counts the calls that ask control to accept a submission.
	accepting  map[vwid.SubmissionID]int
	releasing  map[vwid.SubmissionID]bool
	workers    map[vwid.Incarnation]*worker
	ended      endedJobs
	budgets    map[vwid.Team]*retryBudget
	active     int
	settling   int
	registered bool
	effort     *bestEffort
	// leased is whether the lease was fresh when that was recorded last.
	leased   bool
	stopping bool
	idle     []chan struct{}
}

// Make returns an entry that is not running. The dialer reaches other entries.
func Make(settings Settings, incarnation vwid.Incarnation, control Control, dialer vwlink.Dialer, log *slog.Logger) *Entry {
	e := &Entry{
		settings:    settings,
		incarnation: incarnation,
		control:     control,
		log:         log,
		counters:    &Counters{},
		gauges:      &Gauges{},
		mailbox:     make(chan func(), mailboxSize),
		holder:      vwlease.Make(leaseDuration, renewInterval),
		rules:       vwrule.Empty(),
		lost:        make(chan struct{}),
		announced:   make(chan struct{}, 1),
		expired:     map[vwid.Incarnation]bool{},
		queue:       vwdispatch.MakeQueue(vwdispatch.QueueSettings{DataCentre: settings.DataCentre}),
		jobs:        map[vwid.SubmissionID]*job{},
		accepting:   map[vwid.SubmissionID]int{},
		releasing:   map[vwid.SubmissionID]bool{},
		workers:     map[vwid.Incarnation]*worker{},
		budgets:     map[vwid.Team]*retryBudget{},
	}
	e.effort = makeBestEffort(e)
	e.group = vwgroup.Make(context.Background())
	e.peers = vwlink.MakePool(e.group.Context(), dialer, e)
	return e
}

// Incarnation returns the incarnation of this run.
func (e *Entry) Incarnation() vwid.Incarnation {
	return e.incarnation
}

// Lost is closed when the registration of the entry has ended against its will, for example after a long
// partition. Its jobs have been given up; the owner of the entry starts another one under a new incarnation.
func (e *Entry) Lost() <-chan struct{} {
	return e.lost
}

// Announce tells the entry that a configuration version exists. One that it lacks is asked for at once.
func (e *Entry) Announce(version vwid.ConfigVersion) {
	if !e.holder.Announce(version) {
		return
	}
	select {
	case e.announced <- struct{}{}:
	default:
	}
}

// Start begins the work of the entry. It registers with control in the background; Ready tells when
// the entry can accept submissions.
func (e *Entry) Start() {
	e.group.Run(e.loop)
	e.group.Run(e.keepLease)
	e.group.Run(e.refreshRegistrations)
}

// Drain refuses new submissions and waits for the running ones to end, or for ctx.
func (e *Entry) Drain(ctx context.Context) error {
	idle, err := ask(ctx, e, func() chan struct{} {
		e.stopping = true
		idle := make(chan struct{})
		e.idle = append(e.idle, idle)
		e.signalIdle()
		return idle
	})
	if err != nil {
		return err
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Stop ends the registration, so that other entries need not wait for its lease to run out, and stops.
// Drain comes before it in a graceful shutdown.
func (e *Entry) Stop(ctx context.Context) error {
	// The last entries of a whole cluster that stops have no quorum any more.
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	expire := vwstate.Command{Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{e.incarnation}}}
	if _, err := vweditor.Propose(ctx, e.control, expire); err != nil {
		e.log.Warn("registration not ended; it expires with its lease", "error", err)
	}
	e.Kill()
	return nil
}

// Kill stops at once, as a crash would.
func (e *Entry) Kill() {
	_ = e.group.Stop()
	_ = e.peers.Close()
}

func (e *Entry) signalIdle() {
	if !e.stopping || e.active > 0 || e.effort.queue.Len() > 0 {
		return
	}
	for _, idle := range e.idle {
		close(idle)
	}
	e.idle = nil
}

// Ready reports whether the entry can accept submissions, and otherwise why not.
func (e *Entry) Ready(ctx context.Context) error {
	reason, err := ask(ctx, e, func() error {
		switch {
		case e.stopping:
			return trace.ConnectionProblem(nil, "stopping")
		case !e.registered:
			return trace.ConnectionProblem(nil, "not registered with control")
		case !e.holder.Fresh(time.Now()):
			return trace.ConnectionProblem(nil, "no configuration lease")
		}
		return nil
	})
	if err != nil {
		return err
	}
	return reason
}
