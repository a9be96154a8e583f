package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// observeAnswer handles what the answers to all orders have in common. It returns false when the worker is gone.
func (b *Book) observeAnswer(now, sent time.Time, clock vwworker.Clock, err error) bool {
	rejected, isRejected := vwworker.RejectionOf(err)
	b.clock.observe(now, max(clock, rejected.Now))
	switch {
	case err == nil || isRejected && rejected.Reason != vwworker.OtherLife:
		b.answeredAt, b.unansweredHolds = now, 0
	case isRejected:
		b.Forget(now, "another worker answers at its address")
		return false
	case vwworker.IsGone(err) && b.answeredAt.Before(sent):
		// If the worker has answered since the order was sent, a new incarnation is listening, and its reports show
		// what it runs.
		b.Forget(now, err.Error())
		return false
	}
	return true
}

// StartAnswered handles the answer to a start order.
func (b *Book) StartAnswered(now time.Time, sent Order, answer vwworker.Answer, err error) {
	order := sent.Start
	if order.Worker != b.life.ID {
		return
	}
	rejected, isRejected := vwworker.RejectionOf(err)
	r := b.runs[order.Run.Task]
	known := r != nil && r.id == order.Run
	if known && isRejected && rejected.Reason == vwworker.OtherLife {
		b.settle(now, r, OutcomeRefused, vwverdict.NotRun, rejected.Error())
	}
	if !b.observeAnswer(now, sent.Sent, answer.Now, err) || !known {
		return
	}
	switch {
	case err == nil:
		r.confirm(answer.Now)
	case isRejected:
		b.handleStartRejection(now, r, order.Token, rejected)
	default:
		// Perhaps only the answer was lost, so a report is requested before any stop order.
		b.logger.Warn("start order was not answered", "run", r.spec.Task.String(), "number", r.id.Number, "error", err.Error())
		r.startUnanswered = true
		b.pollNow = true
	}
}

func (r *run) confirm(at vwworker.Clock) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, at
	}
}

// handleStartRejection retries a rejected start with a higher run number or fencing token where that may help, and
// settles the run otherwise. The worker does not have the run.
func (b *Book) handleStartRejection(now time.Time, r *run, token uint64, rejected vwworker.ErrRejected) {
	again := r.stop == nil && r.startRetries < maxStartRetries
	switch {
	case rejected.Reason == vwworker.Superseded && again:
		r.id.Number += 1 << r.startRetries
		r.startRetries++
		b.numbers.next(now, r.spec.Task, r.id.Number)
		b.orderStart(now, r)
		return
	case rejected.Reason == vwworker.Fenced && again:
		r.startRetries++
		b.raiseToken(token)
		b.orderStart(now, r)
		return
	}
	b.settle(now, r, OutcomeRefused, vwverdict.NotRun, rejected.Error())
}

// StopAnswered handles the answer to a stop order.
func (b *Book) StopAnswered(now time.Time, sent Order, answer vwworker.Answer, err error) {
	order := sent.Stop
	if order.Worker != b.life.ID {
		return
	}
	s := b.stopOf(order.Run)
	if s != nil {
		s.inFlight = false
	}
	if !b.observeAnswer(now, sent.Sent, answer.Now, err) || s == nil {
		return
	}
	switch {
	case err == nil:
		s.acknowledged, s.acknowledgedAt = true, answer.Now
		b.pollNow = true
	case vwworker.IsRejected(err, vwworker.Fenced):
		b.raiseToken(order.Token)
		b.orderStop(now, order.Run, s)
	}
}

func (b *Book) stopOf(id vwworker.Run) *stopRequest {
	if r := b.runs[id.Task]; r != nil && r.id == id {
		return r.stop
	}
	return b.foreignRuns[id]
}

// HoldAnswered handles the answer to a hold order.
func (b *Book) HoldAnswered(now time.Time, sent Order, report vwworker.Report, err error) {
	order := sent.Hold
	b.clearInFlight(order)
	if order.Worker != b.life.ID || !b.observeAnswer(now, sent.Sent, report.Now, err) {
		return
	}
	switch {
	case vwworker.IsRejected(err, vwworker.Fenced):
		b.raiseToken(order.Token)
	case err != nil && b.answeredAt.After(sent.Sent):
		// The worker has answered another order since, so only this order or its answer is lost.
		b.logger.Info("hold order was not answered", "worker", string(b.life.ID), "error", err.Error())
		b.pollNow = true
	case err != nil:
		b.countUnanswered(now, err)
	case report.Born > b.life.Born:
		b.resetForLife(now, vwworker.Life{ID: b.life.ID, Born: report.Born})
	case report.Born != 0 && report.Born < b.life.Born:
		b.logger.Warn("ignored the report of an earlier incarnation", "worker", string(b.life.ID), "born", report.Born, "current", b.life.Born)
	default:
		b.handleReport(now, order, &report)
	}
}

// clearInFlight clears the mark of the hold that was answered. A hold without a wait is the poll if one is in flight.
func (b *Book) clearInFlight(order *vwworker.HoldOrder) {
	if order.Wait == 0 && b.pollInFlight {
		b.pollInFlight = false
		return
	}
	b.holdInFlight = false
}

func (b *Book) countUnanswered(now time.Time, err error) {
	b.unansweredHolds++
	b.scheduleSync(now)
	b.logger.Warn("worker did not answer", "worker", string(b.life.ID), "misses", b.unansweredHolds, "runs", len(b.runs), "error", err.Error())
}

// scheduleSync schedules the next hold with exponential backoff. The first retries have no pause, because each attempt
// already lasts for the answer timeout.
func (b *Book) scheduleSync(now time.Time) {
	b.nextSync = now.Add(b.syncWait)
	if b.unansweredHolds > immediateRetries {
		b.syncWait = min(max(2*b.syncWait, b.settings.AnswerTimeout), maxSyncInterval)
	}
}

func (b *Book) handleReport(now time.Time, order *vwworker.HoldOrder, report *vwworker.Report) {
	if b.tokenGuessed && order.Token == b.token {
		b.tokenGuessed = false
		b.token++
	}
	if b.phase == phaseSyncing && (order.Token < b.token || !b.clock.known()) {
		// Only a report to a hold with the current token proves that older orders are fenced off, and without the
		// worker's clock no lease can be requested.
		b.logger.Info("ignored a report with an old fencing token or without the worker's clock", "worker", string(b.life.ID), "token", order.Token, "current", b.token, "clock", int64(report.Now))
		b.scheduleSync(now)
		return
	}
	b.reportedAt = now
	b.syncWait = 0
	b.nextSync = now.Add(foreignPollInterval)
	b.lastEndAcknowledged = max(b.lastEndAcknowledged, order.Seen)
	for _, ended := range report.Ended {
		if ended.Number > b.lastEndSeen {
			b.lastEndSeen = ended.Number
			b.handleEnd(now, ended)
		}
	}
	if report.Now < b.reportClock {
		// Reports may arrive out of order; the lists of an older one are outdated.
		return
	}
	b.reportClock = report.Now
	listed := make(map[vwworker.Run]bool, len(report.Running))
	for _, id := range report.Running {
		listed[id] = true
		if r := b.runs[id.Task]; r == nil || r.id != id {
			b.stopForeign(now, id)
		}
	}
	if len(report.Ended) >= maxReportedEnds {
		return
	}
	for id := range b.foreignRuns {
		if !listed[id] {
			delete(b.foreignRuns, id)
		}
	}
	for _, r := range b.runs {
		b.updateFromReport(now, r, listed[r.id], report.Now)
	}
	if b.phase == phaseSyncing && len(b.foreignRuns) == 0 {
		b.phase = phaseReady
		b.logger.Info("worker is ready", "worker", string(b.life.ID), "runs", len(b.runs), "capacity", b.capacity.String())
	}
}

func (b *Book) stopForeign(now time.Time, id vwworker.Run) {
	if _, over := b.recentlyEnded[id]; over {
		return
	}
	if b.foreignRuns[id] == nil {
		b.logger.Info("stopping a run that is not tracked", "run", id.Task.String(), "number", id.Number)
		b.foreignRuns[id] = &stopRequest{requestedAt: now}
	}
	b.orderStop(now, id, b.foreignRuns[id])
}

func (b *Book) handleEnd(now time.Time, ended vwworker.Ended) {
	b.recentlyEnded[ended.Run] = now
	r := b.runs[ended.Run.Task]
	if r == nil || r.id != ended.Run {
		delete(b.foreignRuns, ended.Run)
		return
	}
	if ended.How == vwworker.Done || ended.How == vwworker.Failed {
		b.lastOwnEnd = now
	}
	switch {
	case ended.How == vwworker.Done:
		b.settle(now, r, OutcomeDone, vwverdict.Ran, "")
	case ended.How == vwworker.Failed:
		b.settle(now, r, OutcomeFailed, vwverdict.Ran, "the run failed at the worker")
	case ended.How == vwworker.Stopped && r.stop != nil && r.stop.explicit:
		b.settle(now, r, OutcomeStopped, vwverdict.MayHaveRun, r.stop.reason)
	default:
		b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, "the worker ended the run: "+ended.How.String())
	}
}

// updateFromReport updates a run from a report that the worker made at reportTime of its clock. listed tells whether the
// report lists the run as running. The ends in the same report must be handled before.
func (b *Book) updateFromReport(now time.Time, r *run, listed bool, reportTime vwworker.Clock) {
	switch {
	case listed:
		r.confirm(reportTime)
		b.checkOverdue(r, reportTime)
	case r.confirmed && reportTime > r.confirmedAt:
		b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, "the worker no longer lists the run and tells no end")
	case r.confirmed:
	case r.stop != nil && r.stop.acknowledged && reportTime > r.stop.acknowledgedAt:
		b.settleNotRun(now, r, r.stop.reason)
	case reportTime > r.startDeadline:
		b.settleNotRun(now, r, "the start order ran out before the worker carried it out")
	case r.startUnanswered && r.stop == nil:
		b.stop(now, r, false, "the start order was not answered")
	}
}

// settleNotRun settles a run that the worker does not have and can no longer start.
func (b *Book) settleNotRun(now time.Time, r *run, reason string) {
	b.recentlyEnded[r.id] = now
	b.settle(now, r, OutcomeRefused, vwverdict.NotRun, reason)
}
