// Package vwrun tracks the runs at one worker that grants leases. It decides which orders the worker gets and when
// a run has certainly ended: the worker reports its end, a later report lacks a run that the worker confirmed or will
// never start, or the lease that covers all runs at the worker has expired on the worker's clock.
//
// Book is a state machine without goroutines or a clock. Its owner passes the time in, makes the calls that
// TakeOrders returns, and passes their answers back.
package vwrun

import (
	"log/slog"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// phase is the state of the synchronization with the worker.
type phase uint8

const (
	// phaseAbsent means that no worker is announced or that it is gone.
	phaseAbsent phase = iota
	// phaseSyncing means that a valid report from the worker is still needed.
	phaseSyncing
	// phaseReady means that every run at the worker is tracked.
	phaseReady
)

const (
	// immediateRetries is the number of unanswered holds in a row beyond which the backoff grows. The first unanswered
	// hold beyond it is still retried at once.
	immediateRetries = 3
	// foreignPollInterval is the time between two reports while foreign runs are being stopped.
	foreignPollInterval = 20 * time.Millisecond
	// maxSyncInterval caps the backoff between holds to an unresponsive worker.
	maxSyncInterval = 2 * time.Second
	// maxStartRetries bounds the retries of a start with a higher run number or fencing token. Each retry doubles
	// the step of the run number.
	maxStartRetries = 8
	// maxOrderDelay exceeds the time for which an order may be delayed before it reaches the worker, which may be after
	// its call has timed out.
	maxOrderDelay = 15 * time.Second
	// endedRetention exceeds the timeout of every order, so that each report made before an end has arrived or timed out
	// by then.
	endedRetention = 5 * time.Second
	// maxReportedEnds is the most ends in one report. A report with that many may be incomplete.
	maxReportedEnds = 500
)

// Offer is the announcement of a worker.
type Offer struct {
	Life     vwworker.Life
	Capacity vwresource.Amount
	// Now is the time on the worker's clock.
	Now vwworker.Clock
}

// Book tracks the runs of one worker. It is not safe for concurrent use.
type Book struct {
	settings Settings
	logger   *slog.Logger

	phase    phase
	life     vwworker.Life
	capacity vwresource.Amount
	clock    workerClock
	// token is the fencing token. tokenRaises counts the rejections of a token that was too low. tokenGuessed is set
	// after a raise: another process of the agent may hold exactly the raised token, so the first report under it raises
	// it by one more.
	token        uint64
	tokenRaises  int
	tokenGuessed bool
	// leaseEnd is the latest lease end that any order to the current incarnation has requested.
	leaseEnd vwworker.Clock
	// lastEndSeen is the number of the last end handled, and lastEndAcknowledged that of the last end whose
	// acknowledgement the worker has received.
	lastEndSeen, lastEndAcknowledged uint64

	runs         map[vwworker.Task]*run
	usedCapacity vwresource.Amount
	// foreignRuns are runs that the worker lists but that are not in runs, for example those of an earlier process
	// of the agent. They are stopped. Until they have ended no run starts, because their size is unknown.
	foreignRuns map[vwworker.Run]*stopRequest
	// absentSince is when phaseAbsent began.
	absentSince time.Time
	// recentlyEnded maps runs that have certainly ended to the time at which the end was recorded. A report made
	// before the end may still list them.
	recentlyEnded map[vwworker.Run]time.Time
	numbers       runNumbers
	// reportClock is the worker's clock in the newest report.
	reportClock vwworker.Clock

	// overdueJobs is the count that the next TakeOverdue returns. lastOwnEnd is when the worker last reported a run
	// that ended by itself, done or failed.
	overdueJobs int
	lastOwnEnd  time.Time

	// At most one hold (holdInFlight) and beside it one poll (pollInFlight) are in flight. pollNow requests a poll from
	// the next TakeOrders.
	holdInFlight, pollInFlight, pollNow bool
	// answeredAt is when the worker last answered any order, and reportedAt when it last sent a valid report.
	answeredAt, reportedAt time.Time
	// unansweredHolds counts consecutive unanswered holds; any answer resets it.
	unansweredHolds int
	nextSync        time.Time
	syncWait        time.Duration

	orders  []Order
	results []Result
}

// Make returns a book without a worker. The fencing token should exceed those of earlier processes of the agent; when
// the worker rejects it, the book raises it until the worker accepts it.
func Make(settings Settings, token uint64, logger *slog.Logger) *Book {
	return &Book{
		settings:      settings,
		logger:        logger,
		token:         max(token, 1),
		clock:         workerClock{maxDrift: settings.MaxClockDrift},
		runs:          map[vwworker.Task]*run{},
		foreignRuns:   map[vwworker.Run]*stopRequest{},
		recentlyEnded: map[vwworker.Run]time.Time{},
		numbers:       runNumbers{last: map[vwworker.Task]lastNumber{}},
	}
}

// Announce handles an announcement of the worker. An announcement with an earlier Born than that of the current
// incarnation is ignored, whatever its id, as a late one. Another worker id ends all runs as lost; for a new incarnation
// with the same id they are kept until its first report.
func (b *Book) Announce(now time.Time, offer Offer) {
	switch {
	case offer.Life.Born < b.life.Born:
		b.logger.Warn("ignored the announcement of an earlier incarnation", "worker", string(offer.Life.ID), "born", offer.Life.Born, "current", b.life.Born)
		return
	case offer.Life.ID != b.life.ID:
		// Orders carry the worker's id, so the new worker rejects those to the previous one.
		b.markAllLost(now, "worker "+string(offer.Life.ID)+" has taken the place of this one")
		b.resetForLife(now, offer.Life)
	case offer.Life != b.life:
		b.resetForLife(now, offer.Life)
	case b.phase == phaseAbsent:
		b.sync(now)
	}
	b.capacity = offer.Capacity
	b.clock.observe(now, offer.Now)
}

// Forget marks the worker as gone and settles its confirmed runs as lost. Unconfirmed runs are kept, because a start
// order in flight may still reach another incarnation under the same id; they are settled once that incarnation
// rejects the start or reports without them.
func (b *Book) Forget(now time.Time, reason string) {
	if b.phase == phaseAbsent {
		return
	}
	b.phase, b.absentSince = phaseAbsent, now
	b.logger.Warn("worker is gone", "worker", string(b.life.ID), "runs", len(b.runs), "reason", reason)
	clear(b.foreignRuns)
	for _, r := range b.runs {
		if r.confirmed {
			b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, reason)
		}
	}
}

// IsReady reports whether runs can be started: the worker answers, and it has no runs that are not tracked.
func (b *Book) IsReady() bool {
	return b.phase == phaseReady && b.unansweredHolds == 0 && len(b.foreignRuns) == 0
}

// Free returns the capacity that no run occupies.
func (b *Book) Free() vwresource.Amount {
	return b.capacity.Minus(b.usedCapacity)
}

// Capacity returns the total capacity of the worker.
func (b *Book) Capacity() vwresource.Amount {
	return b.capacity
}

// Life returns the current incarnation of the worker.
func (b *Book) Life() vwworker.Life {
	return b.life
}

// Len returns the number of runs, foreign ones included, that have not certainly ended.
func (b *Book) Len() int {
	return len(b.runs) + len(b.foreignRuns)
}

// Has reports whether a run of the task has not certainly ended.
func (b *Book) Has(task vwworker.Task) bool {
	return b.runs[task] != nil
}

// Held returns the specs of an owner's runs that have not certainly ended.
func (b *Book) Held(owner vwid.Incarnation) []Spec {
	var held []Spec
	for _, r := range b.runs {
		if r.spec.Owner == owner {
			held = append(held, r.spec)
		}
	}
	return held
}

// Start admits a run and orders its start. After an error the run never starts.
func (b *Book) Start(now time.Time, spec Spec) error {
	switch {
	case !b.IsReady():
		return vwverdict.Errorf(vwverdict.NotRun, "the worker is not ready")
	case b.runs[spec.Task] != nil:
		return vwverdict.Errorf(vwverdict.NotRun, "a run of the task has not ended")
	case !spec.Needs.Fits(b.Free()):
		return vwverdict.Errorf(vwverdict.NotRun, "the worker has no room for %v; %v is free", spec.Needs, b.Free())
	}
	r := &run{spec: spec, id: vwworker.Run{Task: spec.Task, Number: b.numbers.next(now, spec.Task, spec.Attempt)}}
	b.runs[spec.Task] = r
	b.usedCapacity = b.usedCapacity.Plus(spec.Needs)
	b.orderStart(now, r)
	return nil
}

// Stop requests the end of a task's run. TakeResults returns the result once the run has certainly ended.
func (b *Book) Stop(now time.Time, task vwworker.Task, reason string) {
	if r := b.runs[task]; r != nil {
		b.stop(now, r, true, reason)
	}
}

// StopJob requests the end of an owner's runs of a job.
func (b *Book) StopJob(now time.Time, owner vwid.Incarnation, job vwid.SubmissionID, reason string) {
	for task, r := range b.runs {
		if task.Job == job && r.spec.Owner == owner {
			b.stop(now, r, true, reason)
		}
	}
}

// StopOwned requests the end of all runs of an owner.
func (b *Book) StopOwned(now time.Time, owner vwid.Incarnation, reason string) {
	for _, r := range b.runs {
		if r.spec.Owner == owner {
			b.stop(now, r, true, reason)
		}
	}
}

func (b *Book) stop(now time.Time, r *run, explicit bool, reason string) {
	if r.stop == nil {
		r.stop = &stopRequest{requestedAt: now, reason: reason}
	}
	r.stop.explicit = r.stop.explicit || explicit
	b.orderStop(now, r.id, r.stop)
}

// Tick performs the actions that are due: it stops runs at their deadline, retries stop orders, checks for timeouts
// and lease expiry, and drops expired records. The owner calls it regularly.
func (b *Book) Tick(now time.Time) {
	for _, r := range b.runs {
		if r.stop != nil {
			b.orderStop(now, r.id, r.stop)
		} else if !r.spec.EndBefore.IsZero() && !now.Before(r.spec.EndBefore) {
			b.stop(now, r, true, "its time is over")
		}
	}
	for id, s := range b.foreignRuns {
		b.orderStop(now, id, s)
	}
	b.checkLeaseExpiry(now)
	b.checkReportTimeout(now)
	b.numbers.expire(now)
	for id, at := range b.recentlyEnded {
		if now.Sub(at) > endedRetention {
			delete(b.recentlyEnded, id)
		}
	}
}

// checkReportTimeout requests a poll when a run should have ended and no report has come for ReportTimeout, because
// the hold in flight may be lost.
func (b *Book) checkReportTimeout(now time.Time) {
	if !b.holdInFlight || now.Sub(b.reportedAt) < b.settings.ReportTimeout {
		return
	}
	for _, r := range b.runs {
		if due := r.startSent.Add(r.spec.Expected); due.After(b.reportedAt) && !now.Before(due) {
			b.pollNow = true
			return
		}
	}
}

// checkLeaseExpiry settles all runs as lost once the worker's lease has certainly expired, or once the worker has been
// absent for longer than an order can stay in flight.
func (b *Book) checkLeaseExpiry(now time.Time) {
	switch {
	case b.Len() == 0:
	case b.phase == phaseAbsent:
		if now.Sub(b.absentSince) > maxOrderDelay {
			b.markAllLost(now, "no worker has come back")
		}
	case b.clock.known() && b.leaseEnd > 0 && now.After(b.clock.latestTimeOf(b.leaseEnd)):
		b.markAllLost(now, "the lease of the worker has run out without an answer")
		b.sync(now)
	}
}

// sync starts the synchronization with the worker; the next TakeOrders asks for a report.
func (b *Book) sync(now time.Time) {
	b.phase = phaseSyncing
	b.nextSync, b.syncWait = now, 0
}

// resetForLife switches to another incarnation of the worker, or to another worker. Runs are kept until its first report,
// because an order in flight may have reached it if it has the same id.
func (b *Book) resetForLife(now time.Time, life vwworker.Life) {
	b.logger.Info("tracking another worker incarnation", "worker", string(life.ID), "born", life.Born, "previous", string(b.life.ID), "runs", len(b.runs))
	b.life = life
	b.clock = workerClock{maxDrift: b.settings.MaxClockDrift}
	b.leaseEnd, b.reportClock, b.lastEndSeen, b.lastEndAcknowledged, b.unansweredHolds = 0, 0, 0, 0, 0
	clear(b.foreignRuns)
	clear(b.recentlyEnded)
	// The higher token fences off orders to the previous incarnation that are still in flight.
	b.token++
	for _, r := range b.runs {
		// The first report of the new incarnation shows which runs it has. It starts no others, since their orders
		// carry a lower token.
		r.startDeadline, r.confirmedAt = 0, 0
		if r.stop != nil {
			r.stop.acknowledged, r.stop.acknowledgedAt = false, 0
		}
	}
	b.sync(now)
}

// raiseToken raises the fencing token after the worker rejected it because an earlier process of the agent had a
// higher one. The wall clock from which tokens are taken may have been set back, so the step doubles each time.
func (b *Book) raiseToken(refused uint64) {
	if refused < b.token {
		return
	}
	b.token += 1000 << min(b.tokenRaises, 30)
	b.tokenRaises++
	b.tokenGuessed = true
	b.logger.Warn("worker rejected the fencing token; raised it", "token", b.token, "raised", b.tokenRaises)
}

// markAllLost settles all runs as lost.
func (b *Book) markAllLost(now time.Time, reason string) {
	if b.Len() > 0 {
		b.logger.Warn("runs are lost", "worker", string(b.life.ID), "runs", len(b.runs), "foreign", len(b.foreignRuns), "reason", reason)
	}
	clear(b.foreignRuns)
	for _, r := range b.runs {
		b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, reason)
	}
}

// settle removes a run and adds its result.
func (b *Book) settle(now time.Time, r *run, outcome Outcome, verdict vwverdict.Verdict, reason string) {
	delete(b.runs, r.spec.Task)
	b.usedCapacity = b.usedCapacity.Minus(r.spec.Needs)
	b.results = append(b.results, Result{Spec: r.spec, Outcome: outcome, Verdict: verdict, Reason: reason, Ran: now.Sub(r.startSent), Overdue: r.overdue})
}
