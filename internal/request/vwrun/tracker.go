// Package vwrun tracks the runs at one worker that grants leases. It decides which orders the worker gets and when
// a run has certainly ended: the worker reports its end, a later report lacks a run that the worker confirmed or will
// never start, or the lease that covers all runs at the worker has expired on the worker's clock.
//
// Tracker is a state machine without goroutines or a clock. Its owner passes the time in, makes the calls that
// TakeOrders returns, and passes their answers back.
package vwrun

import (
	"fmt"
	"log/slog"
	"slices"
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
	// watchWait is how long the worker may hold back the report that is asked for while nothing runs there. Its connection ends
	// with the process of the worker. It is the longest wait that workers grant.
	watchWait = 2 * time.Second
	// absentPollInterval is the time between two polls while no worker listens. A start order that is late may reach the next
	// incarnation under the same id, unless a poll with a higher fencing token reaches it first.
	absentPollInterval = 20 * time.Millisecond
	// maxReportedEnds is the most ends in one report. A report with that many may be incomplete.
	maxReportedEnds = 500
)

// Announcement describes an incarnation of a worker and its capacity. It may come from another writer than the worker,
// so only answers of the worker decide which incarnation is tracked and what its clock shows.
type Announcement struct {
	Life     vwworker.Life
	Capacity vwresource.Amount
	// Draining is set if the worker is leaving. Its end is then no crash.
	Draining bool
}

// Tracker tracks the runs of one worker. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	logger   *slog.Logger

	phase    phase
	life     vwworker.Life
	capacity vwresource.Amount
	draining bool
	clock    workerClock
	// lifeToken is the fencing token with which the tracking of life began.
	lifeToken uint64
	// pending is the last announcement of another incarnation, made at pendingAt, until an answer of the worker shows
	// whether life has ended. verifiedAt is when the worker was last asked for it.
	pending               *Announcement
	pendingAt, verifiedAt time.Time
	// suspectedAt is when a connection to the worker last ended, until the worker has reported since: another incarnation may
	// answer at its address.
	suspectedAt time.Time
	// absentPollsUntil is when polls for another incarnation under the same id end while the worker is absent.
	absentPollsUntil time.Time
	// reportOrdered is when the last hold that life has answered with a valid report was sent.
	reportOrdered time.Time
	// runsWorker is the worker that got the orders for runs.
	runsWorker vwid.Worker
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
	// absentSince is when the last incarnation that has reported became absent.
	absentSince time.Time
	// recentlyEnded maps runs that have certainly ended to the time at which the end was recorded. A report made
	// before the end may still list them.
	recentlyEnded map[vwworker.Run]time.Time
	numbers       runNumbers
	// reportClock is the worker's clock in the newest report.
	reportClock vwworker.Clock

	// crashes, unlisted and outdated are the counts that the next TakeCrashes, TakeUnlisted and TakeOutdated return.
	crashes, unlisted, outdated int
	// overdueJobs is the count that the next TakeOverdueJobs returns. lastOwnEnd is when the worker last reported a run
	// that ended by itself, done or failed.
	overdueJobs int
	lastOwnEnd  time.Time

	// holdsSent is the number of holds that were sent.
	holdsSent uint64
	// At most one hold (holdInFlight) and beside it one poll (pollInFlight) and one watch (watchInFlight) are in flight.
	// pollNow requests a poll from the next TakeOrders.
	holdInFlight, pollInFlight, watchInFlight, pollNow bool
	// answeredAt is when the worker last answered any order, and reportedAt when it last sent a valid report.
	answeredAt, reportedAt time.Time
	// unansweredHolds counts consecutive unanswered holds; any answer resets it.
	unansweredHolds int
	// rejectedHolds counts the holds that were rejected since the last valid report and repeated at once.
	rejectedHolds int
	nextSync      time.Time
	syncWait      time.Duration

	orders  []Order
	results []Result
}

// Make returns a tracker without a worker. The fencing token should exceed those of earlier processes of the agent;
// when the worker rejects it, the tracker raises it until the worker accepts it.
func Make(settings Settings, token uint64, logger *slog.Logger) *Tracker {
	return &Tracker{
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

// Announce handles an announcement of the worker. While no worker is tracked, or the tracked one is gone, the announced
// incarnation is tracked at once. Otherwise an announcement of another incarnation is late, comes from another writer, or
// means that the tracked one has ended: it is kept as pending and the worker is asked which incarnation it is.
func (t *Tracker) Announce(now time.Time, announcement Announcement) {
	if t.pending != nil && t.pending.Life == announcement.Life {
		// The pending capacity is outdated.
		t.pending = nil
	}
	switch {
	case announcement.Life == t.life:
		if t.phase == phaseAbsent {
			t.sync(now)
		}
		t.capacity, t.draining = announcement.Capacity, announcement.Draining
	case t.phase == phaseAbsent:
		t.track(now, &announcement)
	default:
		t.pending, t.pendingAt = &announcement, now
		t.verifyLife(now)
	}
}

// track switches to the incarnation of an announcement.
func (t *Tracker) track(now time.Time, announcement *Announcement) {
	t.resetForLife(now, announcement.Life)
	t.capacity, t.draining = announcement.Capacity, announcement.Draining
}

// IsPending reports whether an announced incarnation may replace the tracked one.
func (t *Tracker) IsPending() bool {
	return t.pending != nil
}

// verifyLife asks the worker for a report, which shows whether the tracked incarnation goes on. The higher token fences off
// orders in flight, which would otherwise be accepted by another incarnation under the same id after this order.
func (t *Tracker) verifyLife(now time.Time) {
	t.token++
	t.verifiedAt, t.pollNow = now, true
	t.nextSync, t.syncWait = now, 0
}

// suspectRestart stops starts and extensions of the lease until the worker has reported again, because the connection of an
// order has ended: the worker may have restarted under its id. The higher token fences off orders in flight there.
func (t *Tracker) suspectRestart(now time.Time) {
	if t.phase == phaseAbsent {
		return
	}
	t.suspectedAt = now
	t.token++
}

// resolvePending tracks the pending incarnation if the tracked one is gone, and drops it if the tracked one has reported
// since the announcement.
func (t *Tracker) resolvePending(now time.Time) {
	pending := t.pending
	switch {
	case pending == nil:
	case pending.Life == t.life:
		t.pending, t.capacity, t.draining = nil, pending.Capacity, pending.Draining
	case t.phase == phaseAbsent:
		t.pending = nil
		t.track(now, pending)
	case !t.reportOrdered.Before(t.pendingAt):
		t.pending = nil
	case now.Sub(t.verifiedAt) >= t.settings.AnswerTimeout:
		t.verifyLife(now)
	}
}

// MarkLeaving records that the worker leaves, so that its end is no crash, and asks it for a report at once.
func (t *Tracker) MarkLeaving(now time.Time) {
	t.draining, t.pollNow, t.nextSync = true, true, now
}

// MarkGone marks the worker as gone and settles its confirmed runs as lost. Unconfirmed runs are kept, because a start
// order in flight may still reach another incarnation under the same id; they are settled once that incarnation
// rejects the start or reports without them.
func (t *Tracker) MarkGone(now time.Time, reason string) {
	if t.phase == phaseAbsent {
		return
	}
	if !t.reportOrdered.IsZero() || t.absentSince.IsZero() {
		t.absentSince = now
	}
	t.phase, t.suspectedAt = phaseAbsent, time.Time{}
	t.nextSync, t.absentPollsUntil = now.Add(absentPollInterval), now.Add(maxOrderDelay)
	t.logger.Warn("worker is gone", "worker", string(t.life.ID), "runs", len(t.runs), "reason", reason)
	clear(t.foreignRuns)
	for _, r := range t.runs {
		if r.confirmed {
			t.settleLost(now, r, reason)
		}
	}
}

// markCrashed marks the worker as gone, and records a crash unless it was leaving.
func (t *Tracker) markCrashed(now time.Time, reason string) {
	t.recordCrash(now, reason)
	t.MarkGone(now, reason)
}

// recordCrash records that the worker has ended without a notice, if the tracked incarnation has reported before. Its runs,
// and those whose start order was not answered, may have caused it.
func (t *Tracker) recordCrash(now time.Time, reason string) {
	if t.phase == phaseAbsent || t.draining || t.reportOrdered.IsZero() {
		return
	}
	t.crashes++
	runs := make([]string, 0, len(t.runs))
	for _, r := range t.runs {
		r.crashedAt = now
		runs = append(runs, fmt.Sprintf("%v#%d", r.spec.Task, r.spec.Attempt))
	}
	slices.Sort(runs)
	t.logger.Warn("worker has crashed", "worker", string(t.life.ID), "runs", runs, "reason", reason)
}

// TakeCrashes returns the number of crashes of the worker since the last call.
func (t *Tracker) TakeCrashes() int {
	count := t.crashes
	t.crashes = 0
	return count
}

// TakeUnlisted returns the number of confirmed runs since the last call that the worker no longer listed and whose end it did
// not tell.
func (t *Tracker) TakeUnlisted() int {
	count := t.unlisted
	t.unlisted = 0
	return count
}

// TakeOutdated returns how often since the last call a report has lacked a run that the worker had shown after the hold of the
// report was sent.
func (t *Tracker) TakeOutdated() int {
	count := t.outdated
	t.outdated = 0
	return count
}

// IsReady reports whether the worker answers and has no runs that are not tracked.
func (t *Tracker) IsReady() bool {
	return t.phase == phaseReady && t.unansweredHolds == 0 && t.suspectedAt.IsZero() && len(t.foreignRuns) == 0
}

// CanStart reports whether runs can be started now: the tracker is ready, and start orders may extend the lease of what runs
// at the worker.
func (t *Tracker) CanStart(now time.Time) bool {
	return t.IsReady() && !t.leaseWithheld(now)
}

// Free returns the capacity that no run occupies.
func (t *Tracker) Free() vwresource.Amount {
	return t.capacity.Minus(t.usedCapacity)
}

// Capacity returns the total capacity of the worker.
func (t *Tracker) Capacity() vwresource.Amount {
	return t.capacity
}

// Life returns the current incarnation of the worker.
func (t *Tracker) Life() vwworker.Life {
	return t.life
}

// Len returns the number of runs, foreign ones included, that have not certainly ended.
func (t *Tracker) Len() int {
	return len(t.runs) + len(t.foreignRuns)
}

// Has reports whether a run of the task has not certainly ended.
func (t *Tracker) Has(task vwworker.Task) bool {
	return t.runs[task] != nil
}

// OwnedBy returns the specs of an owner's runs that have not certainly ended.
func (t *Tracker) OwnedBy(owner vwid.Incarnation) []Spec {
	var held []Spec
	for _, r := range t.runs {
		if r.spec.Owner == owner {
			held = append(held, r.spec)
		}
	}
	return held
}

// Start admits a run and orders its start. After an error the run never starts.
func (t *Tracker) Start(now time.Time, spec Spec) error {
	switch {
	case !t.IsReady():
		return vwverdict.Errorf(vwverdict.NotRun, "the worker is not ready")
	case t.leaseWithheld(now):
		return vwverdict.Errorf(vwverdict.NotRun, "the lease of the worker is not extended, because a run has not stopped or another incarnation is announced")
	case t.runs[spec.Task] != nil:
		return vwverdict.Errorf(vwverdict.NotRun, "a run of the task has not ended")
	case !spec.Needs.Fits(t.Free()):
		return vwverdict.Errorf(vwverdict.NotRun, "the worker has no room for %v; %v is free", spec.Needs, t.Free())
	}
	t.runsWorker = t.life.ID
	r := &run{spec: spec, id: vwworker.Run{Task: spec.Task, Number: t.numbers.next(now, spec.Task, spec.Attempt)}}
	t.runs[spec.Task] = r
	t.usedCapacity = t.usedCapacity.Plus(spec.Needs)
	t.orderStart(now, r)
	return nil
}

// Stop requests the end of a task's run. TakeResults returns the result once the run has certainly ended.
func (t *Tracker) Stop(now time.Time, task vwworker.Task, reason string) {
	if r := t.runs[task]; r != nil {
		t.stop(now, r, reason)
	}
}

// StopJob requests the end of an owner's runs of a job.
func (t *Tracker) StopJob(now time.Time, owner vwid.Incarnation, job vwid.SubmissionID, reason string) {
	for task, r := range t.runs {
		if task.Job == job && r.spec.Owner == owner {
			t.stop(now, r, reason)
		}
	}
}

// StopOwnedBy requests the end of all runs of an owner.
func (t *Tracker) StopOwnedBy(now time.Time, owner vwid.Incarnation, reason string) {
	for _, r := range t.runs {
		if r.spec.Owner == owner {
			t.stop(now, r, reason)
		}
	}
}

func (t *Tracker) stop(now time.Time, r *run, reason string) {
	if r.stop == nil {
		r.stop = &stopRequest{requestedAt: now, reason: reason}
	}
	t.orderStop(now, r.id, r.stop)
}

// Tick performs the actions that are due: it stops runs at their deadline, retries stop orders, checks for timeouts
// and lease expiry, and drops expired records. The owner calls it regularly.
func (t *Tracker) Tick(now time.Time) {
	for _, r := range t.runs {
		if r.stop != nil {
			t.orderStop(now, r.id, r.stop)
		} else if !r.spec.Deadline.IsZero() && !now.Before(r.spec.Deadline) {
			t.stop(now, r, "its time is over")
		}
	}
	for id, s := range t.foreignRuns {
		t.orderStop(now, id, s)
	}
	t.checkLeaseExpiry(now)
	t.settleOldStarts(now)
	t.checkReportTimeout(now)
	t.numbers.expire(now)
	for id, at := range t.recentlyEnded {
		if now.Sub(at) > endedRetention {
			delete(t.recentlyEnded, id)
		}
	}
}

// checkReportTimeout requests a poll when a run should have ended and no report has come for ReportTimeout, because
// the hold in flight may be lost.
func (t *Tracker) checkReportTimeout(now time.Time) {
	if !t.holdInFlight || now.Sub(t.reportedAt) < t.settings.ReportTimeout {
		return
	}
	for _, r := range t.runs {
		if due := r.startSent.Add(r.spec.Expected); due.After(t.reportedAt) && !now.Before(due) {
			t.pollNow = true
			return
		}
	}
}

// checkLeaseExpiry acts once the worker's lease has certainly expired, and settles all runs as lost once the worker has been
// absent for longer than an order can stay in flight.
func (t *Tracker) checkLeaseExpiry(now time.Time) {
	switch {
	case t.Len() == 0:
	case t.phase == phaseAbsent:
		if now.Sub(t.absentSince) > maxOrderDelay {
			t.markAllLost(now, "no worker has come back")
		}
	case t.clock.known() && t.leaseEnd > 0 && now.After(t.clock.latestTimeOf(t.leaseEnd)):
		t.expireLease(now)
	}
}

// expireLease settles the runs that have ended with the lease and synchronizes with the worker again. Runs whose start is
// not confirmed are kept: a worker may count the time of a late start order from its arrival, so only a report under a
// higher token shows that they will not start.
func (t *Tracker) expireLease(now time.Time) {
	t.logger.Warn("lease of the worker has run out without an answer", "worker", string(t.life.ID), "runs", len(t.runs), "foreign", len(t.foreignRuns))
	clear(t.foreignRuns)
	for _, r := range t.runs {
		if r.confirmed {
			t.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, "the lease of the worker has run out without an answer")
		}
	}
	t.leaseEnd = 0
	t.token++
	t.sync(now)
}

// settleOldStarts settles the runs whose start order can no longer reach the worker.
func (t *Tracker) settleOldStarts(now time.Time) {
	for _, r := range t.runs {
		if !r.confirmed && now.Sub(r.startSent) > maxOrderDelay {
			t.settleLost(now, r, "the worker has not answered the start order, which can no longer reach it")
		}
	}
}

// sync starts the synchronization with the worker; the next TakeOrders asks for a report.
func (t *Tracker) sync(now time.Time) {
	t.phase = phaseSyncing
	t.nextSync, t.syncWait = now, 0
}

// resetForLife switches to another incarnation of the worker, or to another worker, without capacity until it is announced.
// Runs are kept until its first report, because an order in flight may have reached it if it has the same id.
func (t *Tracker) resetForLife(now time.Time, life vwworker.Life) {
	t.logger.Info("tracking another worker incarnation", "worker", string(life.ID), "born", life.Born, "previous", string(t.life.ID), "runs", len(t.runs))
	t.life, t.reportOrdered, t.suspectedAt = life, time.Time{}, time.Time{}
	// The new incarnation may be of another kind.
	t.capacity, t.draining = vwresource.Amount{}, false
	t.clock = workerClock{maxDrift: t.settings.MaxClockDrift}
	t.leaseEnd, t.reportClock, t.lastEndSeen, t.lastEndAcknowledged, t.unansweredHolds = 0, 0, 0, 0, 0
	clear(t.foreignRuns)
	clear(t.recentlyEnded)
	// The higher token fences off orders to the previous incarnation that are still in flight.
	t.token++
	t.lifeToken = t.token
	for _, r := range t.runs {
		// The first report of the new incarnation shows which runs it has. It starts no others, since their orders
		// carry a lower token.
		r.startDeadline, r.confirmedAt = 0, 0
		if r.stop != nil {
			r.stop.acknowledged = false
		}
	}
	t.sync(now)
}

// raiseToken raises the fencing token after the worker rejected it because an earlier process of the agent had a
// higher one. The wall clock from which tokens are taken may have been set back, so the step doubles each time.
func (t *Tracker) raiseToken(refused uint64) {
	if refused < t.token {
		return
	}
	t.token += 1000 << min(t.tokenRaises, 30)
	t.tokenRaises++
	t.tokenGuessed = true
	t.logger.Warn("worker rejected the fencing token; raised it", "token", t.token, "raised", t.tokenRaises)
}

// markAllLost settles all runs as lost.
func (t *Tracker) markAllLost(now time.Time, reason string) {
	if t.Len() > 0 {
		t.logger.Warn("runs are lost", "worker", string(t.life.ID), "runs", len(t.runs), "foreign", len(t.foreignRuns), "reason", reason)
	}
	clear(t.foreignRuns)
	for _, r := range t.runs {
		t.settleLost(now, r, reason)
	}
}

// settleLost settles a run that has ended in an unknown way or with its worker.
func (t *Tracker) settleLost(now time.Time, r *run, reason string) {
	outcome := OutcomeLost
	if !r.crashedAt.IsZero() {
		outcome = OutcomeCrashed
	}
	t.settle(now, r, outcome, vwverdict.MayHaveRun, reason)
}

// settle removes a run and adds its result.
func (t *Tracker) settle(now time.Time, r *run, outcome Outcome, verdict vwverdict.Verdict, reason string) {
	delete(t.runs, r.spec.Task)
	t.usedCapacity = t.usedCapacity.Minus(r.spec.Needs)
	ended := now
	if !r.crashedAt.IsZero() {
		ended = r.crashedAt
	}
	t.results = append(t.results, Result{Spec: r.spec, Outcome: outcome, Verdict: verdict, Reason: reason, RunTime: ended.Sub(r.startSent), Overdue: r.overdue})
}
