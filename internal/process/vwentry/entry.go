// Package vwentry implements the entry process: it accepts submissions and requests, queues their tasks,
// sends them to agents under credits, and assembles the answers. One goroutine, the event loop, owns all
// mutable state of Entry; other goroutines reach it through post and runOnLoop.
package vwentry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/process/vwspread"
	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Control gives an entry access to the replicated control state. The verdict of an error says whether the
// command may be in the log already or may still be appended.
type Control interface {
	Propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error)
	Renew(ctx context.Context, request *vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error)
	Read(ctx context.Context, query vwstate.Query) (vwstate.View, error)
}

// Settings configures an entry.
type Settings struct {
	Process    vwid.Process
	DataCentre vwid.DataCentre
	Rack       vwid.Rack
	// LinkAddress is the address at which other entries connect to this one.
	LinkAddress string
	// MaxBody bounds one HTTP body.
	MaxBody vwunit.Bytes
	// MaxPayload bounds the payload of one task.
	MaxPayload vwunit.Bytes
	// MaxTasks bounds the tasks of one submission.
	MaxTasks int
	// QueueTasks and QueueBytes bound the queue in addition to the limits in the rules; zero adds no bound.
	QueueTasks int
	QueueBytes vwunit.Bytes
	// RemoteFactor is the factor by which a best-effort task is expected to run longer outside the data
	// centre of its data.
	RemoteFactor float64
	// MaxWaitingJobs bounds the queued best-effort jobs.
	MaxWaitingJobs int
	// AnswerBytes bounds the total size of the answers kept for resubmissions.
	AnswerBytes vwunit.Bytes
	// Intake is the budget for bodies; nil means that of a process without a known memory limit.
	Intake *vwintake.Budget
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
	// mailboxSize is the number of events that may be queued for the loop before senders block.
	mailboxSize = 4096
	// maxEventsPerIteration bounds the further events that an iteration of the loop handles before it dispatches.
	maxEventsPerIteration = 256
	tickInterval          = 10 * time.Millisecond
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
	// renewNow triggers a lease renewal before the next interval.
	renewNow   chan struct{}
	rulesFetch *rulesFetch
	// spread tells which callers should connect again. Only the loop replaces it.
	spread atomic.Pointer[vwspread.Spread]
	// closing ends when the calls that still wait must be answered.
	closing context.Context
	close   context.CancelFunc

	// The fields below are owned by the loop.
	holder         *vwlease.Holder
	rules          *vwrule.Rules
	appliedVersion vwid.ConfigVersion
	// appliedEntryCount is the number of entries among which the applied policy divides the limits.
	appliedEntryCount    int
	entries              vwmessage.EntryList
	expiredRegistrations map[vwid.Incarnation]bool
	queue                *vwdispatch.Queue
	jobs                 map[vwid.SubmissionID]*job
	// pendingAccepts counts the calls in flight that propose to control to accept a submission.
	pendingAccepts  map[vwid.SubmissionID]int
	pendingReleases map[vwid.SubmissionID]bool
	agents          map[vwid.Incarnation]*agentState
	endedJobs       endedJobList
	retryBudgets    map[vwid.Team]*retryBudget
	retries         *vwplace.Retries
	// activeJobs counts the jobs without an answer and the proposals in flight that record an end.
	activeJobs     int
	recoveringJobs int
	registered     bool
	bestEffort     *bestEffortJobs
	// recordedFresh is the freshness of the lease in the last lease event that was recorded.
	recordedFresh bool
	stopping      bool
	// answerBy is the time by which all calls must be answered; zero while there is none.
	answerBy time.Time
	idle     []chan struct{}
}

// Make returns an entry that is not yet started. It connects to other entries through the dialer.
func Make(settings Settings, incarnation vwid.Incarnation, control Control, dialer vwlink.Dialer, log *slog.Logger) *Entry {
	if settings.Intake == nil {
		settings.Intake = vwintake.Make(vwintake.SettingsFor(0))
	}
	e := &Entry{
		settings:             settings,
		incarnation:          incarnation,
		control:              control,
		log:                  log,
		counters:             &Counters{},
		gauges:               &Gauges{},
		mailbox:              make(chan func(), mailboxSize),
		holder:               vwlease.Make(leaseDuration, renewInterval),
		rules:                vwrule.Empty(),
		lost:                 make(chan struct{}),
		renewNow:             make(chan struct{}, 1),
		expiredRegistrations: map[vwid.Incarnation]bool{},
		queue:                vwdispatch.MakeQueue(vwdispatch.QueueSettings{DataCentre: settings.DataCentre}),
		jobs:                 map[vwid.SubmissionID]*job{},
		pendingAccepts:       map[vwid.SubmissionID]int{},
		pendingReleases:      map[vwid.SubmissionID]bool{},
		agents:               map[vwid.Incarnation]*agentState{},
		retryBudgets:         map[vwid.Team]*retryBudget{},
		retries:              vwplace.MakeRetries(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.spread.Store(vwspread.Make(time.Now()))
	e.bestEffort = makeBestEffort(e)
	e.rulesFetch = makeRulesFetch(e)
	e.group = vwgroup.Make(context.Background())
	e.closing, e.close = context.WithCancel(context.Background())
	e.peers = vwlink.MakePool(e.group.Context(), dialer, e)
	return e
}

// Incarnation returns the incarnation under which this entry registers.
func (e *Entry) Incarnation() vwid.Incarnation {
	return e.incarnation
}

// RegistrationLost returns a channel that is closed when the registration of the entry expired or was refused, for
// example after a long partition. The entry has abandoned its jobs by then; the caller must start another
// entry under a new incarnation.
func (e *Entry) RegistrationLost() <-chan struct{} {
	return e.lost
}

// Announce notifies the entry of a configuration version. A version newer than its own triggers a lease
// renewal, which fetches it.
func (e *Entry) Announce(version vwid.ConfigVersion) {
	if e.holder.Announce(version) {
		e.renewSoon()
	}
}

// Start starts the goroutines of the entry and returns. The entry registers with control in the
// background; Ready reports when it can accept submissions.
func (e *Entry) Start() {
	e.group.Run(e.loop)
	e.group.Run(e.keepLease)
	e.group.Run(e.rulesFetch.run)
	e.group.Run(e.refreshRegistrations)
}

// Stop ends the registration, so that other entries need not wait until its lease expires, and stops the
// entry. A graceful shutdown calls Drain first.
func (e *Entry) Stop(ctx context.Context) error {
	// When the whole cluster shuts down, the last entries find no quorum.
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	expire := vwstate.Command{Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{e.incarnation}}}
	if _, err := vweditor.Propose(ctx, e.control, expire); err != nil {
		e.log.Warn("registration not ended; it expires with its lease", "error", err)
	}
	e.Kill()
	return nil
}

// Kill stops the entry without ending its registration, as a crash does.
func (e *Entry) Kill() {
	_ = e.group.Stop()
	_ = e.peers.Close()
}

// Ready reports whether the entry can accept submissions, and otherwise why not.
func (e *Entry) Ready(ctx context.Context) error {
	reason, err := runOnLoop(ctx, e, func() error {
		switch {
		case e.stopping:
			return trace.ConnectionProblem(nil, "stopping")
		case !e.registered:
			return trace.ConnectionProblem(nil, "not registered with control")
		case !e.holder.IsFresh(time.Now()):
			return trace.ConnectionProblem(nil, "no configuration lease")
		}
		return nil
	})
	if err != nil {
		return err
	}
	return reason
}
