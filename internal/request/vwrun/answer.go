package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// observeAnswer handles what the answers to all orders have in common. It returns false when the worker is gone. An answer to
// an order with a token from before the current incarnation may show the clock of an earlier one.
func (t *Tracker) observeAnswer(now, sent time.Time, token uint64, clock vwworker.Clock, err error) bool {
	rejected, isRejected := vwworker.RejectionOf(err)
	if token >= t.lifeToken {
		t.clock.observe(now, max(clock, rejected.Now))
	}
	switch {
	case err == nil || isRejected && rejected.Reason != vwworker.OtherLife:
		t.answeredAt, t.unansweredHolds = now, 0
	case isRejected:
		t.markCrashed(now, "another worker answers at its address")
		t.absentPollsUntil = time.Time{}
		return false
	case vwworker.IsGone(err) && t.answeredAt.Before(sent):
		// If the worker has answered since the order was sent, a new incarnation is listening, and its reports show
		// what it runs.
		t.markCrashed(now, err.Error())
		return false
	case vwworker.IsBroken(err):
		t.suspectRestart(now)
	}
	return true
}

// StartAnswered handles the answer to a start order.
func (t *Tracker) StartAnswered(now time.Time, sent Order, answer vwworker.Answer, err error) {
	order := sent.Start
	if order.Worker != t.life.ID {
		return
	}
	rejected, isRejected := vwworker.RejectionOf(err)
	r := t.runs[order.Run.Task]
	known := r != nil && r.id == order.Run
	if known && isRejected && rejected.Reason == vwworker.OtherLife {
		t.settle(now, r, OutcomeRefused, vwverdict.NotRun, rejected.Error())
	}
	if known && vwworker.IsGone(err) {
		t.settle(now, r, OutcomeRefused, vwverdict.NotRun, err.Error())
		known = false
	}
	if !t.observeAnswer(now, sent.Sent, order.Token, answer.Now, err) || !known {
		return
	}
	switch {
	case err == nil && order.Token < t.lifeToken:
		t.logger.Info("ignored the answer of an earlier incarnation to a start", "run", r.spec.Task.String(), "number", r.id.Number)
	case err == nil:
		t.confirm(r, answer.Now)
	case isRejected:
		t.handleStartRejection(now, r, order.Token, rejected)
	default:
		// Perhaps only the answer was lost, which a report shows.
		t.logger.Warn("start order was not answered", "run", r.spec.Task.String(), "number", r.id.Number, "error", err.Error())
		r.startUnanswered = true
		t.pollNow = true
	}
}

// confirm records that the worker has shown a run in an answer made at a time of its clock.
func (t *Tracker) confirm(r *run, at vwworker.Clock) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt, r.confirmedAfter = true, at, t.holdsSent
	}
}

// handleStartRejection retries a rejected start with a higher run number or fencing token where that may help, and
// settles the run otherwise. The worker does not have the run.
func (t *Tracker) handleStartRejection(now time.Time, r *run, token uint64, rejected vwworker.ErrRejected) {
	again := r.startRetries < maxStartRetries && t.mayRetryStart(now, r)
	switch {
	case rejected.Reason == vwworker.Superseded && again:
		r.id.Number += 1 << r.startRetries
		t.numbers.next(now, r.spec.Task, r.id.Number)
		t.retryStart(now, r)
		return
	case rejected.Reason == vwworker.Fenced && again:
		t.raiseToken(token)
		t.retryStart(now, r)
		return
	}
	t.settle(now, r, OutcomeRefused, vwverdict.NotRun, rejected.Error())
}

// retryStart orders the start of a rejected run again, or defers it while an incarnation is pending: the order may reach that
// one, whose capacity may be smaller.
func (t *Tracker) retryStart(now time.Time, r *run) {
	r.startRetries++
	if r.startDeferred = t.pending != nil; !r.startDeferred {
		t.orderStart(now, r)
	}
}

// mayRetryStart reports whether a rejected start may be ordered again: the capacity may have shrunk since it was admitted, and a
// run that is not tracked may have been found.
func (t *Tracker) mayRetryStart(now time.Time, r *run) bool {
	return r.stop == nil && t.phase == phaseReady && len(t.foreignRuns) == 0 && t.usedCapacity.Fits(t.capacity) && !t.hasOverdueStop(now)
}

// retryDeferredStarts orders the starts that were deferred while an incarnation was pending, and refuses those that no
// longer fit.
func (t *Tracker) retryDeferredStarts(now time.Time) {
	if t.pending != nil {
		return
	}
	for _, r := range t.runs {
		switch {
		case !r.startDeferred:
		case t.mayRetryStart(now, r):
			r.startDeferred = false
			t.orderStart(now, r)
		default:
			t.settle(now, r, OutcomeRefused, vwverdict.NotRun, "the worker rejected the order, and it is not repeated")
		}
	}
}

// StopAnswered handles the answer to a stop order.
func (t *Tracker) StopAnswered(now time.Time, sent Order, answer vwworker.Answer, err error) {
	order := sent.Stop
	if order.Worker != t.life.ID {
		return
	}
	s := t.stopOf(order.Run)
	if s != nil {
		s.inFlight = false
	}
	if !t.observeAnswer(now, sent.Sent, order.Token, answer.Now, err) || s == nil {
		return
	}
	switch {
	case err == nil && order.Token < t.lifeToken:
		// An earlier incarnation has answered.
		t.pollNow = true
	case err == nil:
		s.acknowledged, s.shownAfter = true, t.holdsSent
		t.pollNow = true
	case vwworker.IsRejected(err, vwworker.Fenced):
		t.raiseToken(order.Token)
		t.orderStop(now, order.Run, s)
	}
}

func (t *Tracker) stopOf(id vwworker.Run) *stopRequest {
	if r := t.runs[id.Task]; r != nil && r.id == id {
		return r.stop
	}
	return t.foreignRuns[id]
}

// HoldAnswered handles the answer to a hold order.
func (t *Tracker) HoldAnswered(now time.Time, sent Order, report vwworker.Report, err error) {
	order := sent.Hold
	t.clearInFlight(&sent)
	unanswered := t.unansweredHolds
	if order.Worker != t.life.ID || !t.observeAnswer(now, sent.Sent, order.Token, report.Now, err) {
		return
	}
	if sent.Watch {
		// The worker got the order long ago, so its answer does not show that it takes orders now.
		t.unansweredHolds = unanswered
	}
	_, isRejected := vwworker.RejectionOf(err)
	switch {
	case vwworker.IsRejected(err, vwworker.Fenced):
		t.raiseToken(order.Token)
	case isRejected && t.rejectedHolds >= immediateRetries:
		// The worker answers, but it neither extends the lease nor reports, and may go on like this.
		t.unansweredHolds = unanswered
		t.countUnanswered(now, err)
	case isRejected:
		t.rejectedHolds++
		t.logger.Info("hold order was rejected", "worker", string(t.life.ID), "error", err.Error())
		t.pollNow = true
	case err != nil && t.phase == phaseAbsent:
		// Polls go on until another incarnation answers.
	case err != nil && t.answeredAt.After(sent.Sent):
		// The worker has answered another order since, so only this order or its answer is lost.
		t.logger.Info("hold order was not answered", "worker", string(t.life.ID), "error", err.Error())
		t.pollNow = true
	case err != nil:
		t.countUnanswered(now, err)
	case report.Born > t.life.Born:
		t.recordCrash(now, "a later incarnation answers at its address")
		t.resetForLife(now, vwworker.Life{ID: t.life.ID, Born: report.Born})
	case report.Born != 0 && report.Born < t.life.Born && order.Token < t.lifeToken:
		t.logger.Warn("ignored the report of an earlier incarnation", "worker", string(t.life.ID), "born", report.Born, "current", t.life.Born)
	case report.Born != 0 && report.Born < t.life.Born:
		// The order was sent after the tracking of life began, so the announcement of that life was false.
		t.resetForLife(now, vwworker.Life{ID: t.life.ID, Born: report.Born})
	case t.phase == phaseAbsent:
		t.logger.Info("the worker that was gone answers again", "worker", string(t.life.ID), "born", report.Born)
		t.sync(now)
	default:
		t.handleReport(now, sent, &report)
	}
}

// clearInFlight clears the mark of the hold that was answered. A hold without a wait is the poll if one is in flight.
func (t *Tracker) clearInFlight(sent *Order) {
	switch {
	case sent.Watch:
		t.watchInFlight = false
	case sent.Hold.Wait == 0 && t.pollInFlight:
		t.pollInFlight = false
	default:
		t.holdInFlight = false
	}
}

func (t *Tracker) countUnanswered(now time.Time, err error) {
	t.unansweredHolds++
	t.scheduleSync(now)
	t.logger.Warn("worker did not answer", "worker", string(t.life.ID), "misses", t.unansweredHolds, "runs", len(t.runs), "error", err.Error())
}

// scheduleSync schedules the next hold with exponential backoff. The first retries have no pause, because each attempt
// already lasts for the answer timeout.
func (t *Tracker) scheduleSync(now time.Time) {
	t.nextSync = now.Add(t.syncWait)
	if t.unansweredHolds > immediateRetries {
		t.syncWait = min(max(2*t.syncWait, t.settings.AnswerTimeout), maxSyncInterval)
	}
}

func (t *Tracker) handleReport(now time.Time, sent Order, report *vwworker.Report) {
	order := sent.Hold
	if t.tokenGuessed && order.Token == t.token {
		t.tokenGuessed = false
		t.token++
	}
	if t.phase == phaseSyncing && (order.Token < t.token || !t.clock.known()) {
		// Only a report to a hold with the current token proves that older orders are fenced off, and without the
		// worker's clock no lease can be requested.
		t.logger.Info("ignored a report with an old fencing token or without the worker's clock", "worker", string(t.life.ID), "token", order.Token, "current", t.token, "clock", int64(report.Now))
		t.scheduleSync(now)
		return
	}
	if t.runsWorker != t.life.ID {
		// Orders carry the worker's id, so this worker rejects those to the previous one.
		t.markAllLost(now, "worker "+string(t.life.ID)+" has taken the place of this one")
		t.runsWorker = t.life.ID
	}
	t.reportedAt, t.rejectedHolds = now, 0
	if t.reportOrdered.Before(sent.Sent) {
		t.reportOrdered = sent.Sent
	}
	if !sent.Sent.Before(t.suspectedAt) {
		t.suspectedAt = time.Time{}
	}
	t.syncWait = 0
	t.nextSync = now.Add(foreignPollInterval)
	t.lastEndAcknowledged = max(t.lastEndAcknowledged, order.Seen)
	for _, ended := range report.Ended {
		if ended.Number > t.lastEndSeen {
			t.lastEndSeen = ended.Number
			t.handleEnd(now, ended)
		}
	}
	if report.Now < t.reportClock {
		// Reports may arrive out of order; the lists of an older one are outdated.
		return
	}
	t.reportClock = report.Now
	listed := make(map[vwworker.Run]bool, len(report.Running))
	for _, id := range report.Running {
		listed[id] = true
		if r := t.runs[id.Task]; r == nil || r.id != id {
			t.stopForeign(now, id)
		}
	}
	if len(report.Ended) >= maxReportedEnds {
		return
	}
	for id, s := range t.foreignRuns {
		if !listed[id] && sent.wasSentAfter(s.shownAfter) {
			delete(t.foreignRuns, id)
		}
	}
	for _, r := range t.runs {
		t.updateFromReport(now, r, listed[r.id], report.Now, &sent)
	}
	if t.phase == phaseSyncing && len(t.foreignRuns) == 0 {
		t.phase = phaseReady
		t.logger.Info("worker is ready", "worker", string(t.life.ID), "runs", len(t.runs), "capacity", t.capacity.String())
	}
}

func (t *Tracker) stopForeign(now time.Time, id vwworker.Run) {
	if _, over := t.recentlyEnded[id]; over {
		return
	}
	if t.foreignRuns[id] == nil {
		t.logger.Info("stopping a run that is not tracked", "run", id.Task.String(), "number", id.Number)
		t.foreignRuns[id] = &stopRequest{requestedAt: now}
	}
	t.foreignRuns[id].shownAfter = t.holdsSent
	t.orderStop(now, id, t.foreignRuns[id])
}

func (t *Tracker) handleEnd(now time.Time, ended vwworker.Ended) {
	t.recentlyEnded[ended.Run] = now
	r := t.runs[ended.Run.Task]
	if r == nil || r.id != ended.Run {
		delete(t.foreignRuns, ended.Run)
		return
	}
	if ended.How == vwworker.Done || ended.How == vwworker.Failed {
		t.lastOwnEnd = now
	}
	switch {
	case ended.How == vwworker.Done:
		t.settle(now, r, OutcomeDone, vwverdict.Ran, "")
	case ended.How == vwworker.Failed:
		t.settle(now, r, OutcomeFailed, vwverdict.Ran, "the run failed at the worker")
	case ended.How == vwworker.Stopped && r.stop != nil:
		t.settle(now, r, OutcomeStopped, vwverdict.MayHaveRun, r.stop.reason)
	default:
		t.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, "the worker ended the run: "+ended.How.String())
	}
}

// updateFromReport updates a run from a report that the worker made at reportTime of its clock, in answer to a hold.
// listed tells whether the report lists the run as running. The ends in the same report must be handled before.
func (t *Tracker) updateFromReport(now time.Time, r *run, listed bool, reportTime vwworker.Clock, hold *Order) {
	stopped := r.stop != nil && r.stop.acknowledged
	switch {
	case listed:
		t.confirm(r, reportTime)
		r.crashedAt = time.Time{}
		t.checkOverdue(r, reportTime)
	case r.confirmed && !hold.wasSentAfter(r.confirmedAfter):
		t.outdated++
	case r.confirmed:
		t.unlisted++
		t.settleLost(now, r, "the worker no longer lists the run and tells no end")
	case stopped && hold.wasSentAfter(r.stop.shownAfter):
		t.settleNotRun(now, r, r.stop.reason)
	case hold.Hold.Token > r.startToken && (r.startUnanswered || reportTime > r.startDeadline):
		t.settleNotRun(now, r, "the start order was not answered, and the worker has not started the run")
	case r.startUnanswered || reportTime > r.startDeadline:
		// A late start order may still arrive, and the worker may count its time from then.
		t.fenceStart(r)
	}
}

// fenceStart raises the fencing token above that of a run's start order and requests a report under it.
func (t *Tracker) fenceStart(r *run) {
	t.token = max(t.token, r.startToken+1)
	t.pollNow = true
}

// settleNotRun settles a run that the worker does not have and can no longer start. A worker that crashed may have started
// it before.
func (t *Tracker) settleNotRun(now time.Time, r *run, reason string) {
	t.recentlyEnded[r.id] = now
	if !r.crashedAt.IsZero() {
		t.settleLost(now, r, "the worker crashed before it answered the start order")
		return
	}
	t.settle(now, r, OutcomeRefused, vwverdict.NotRun, reason)
}
