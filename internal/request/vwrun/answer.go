package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// hear takes what every answer tells. It reports false when the worker is not there any more.
func (b *Book) hear(now, sent time.Time, clock vwworker.Clock, err error) bool {
	rejected, isRejected := vwworker.RejectionOf(err)
	b.clock.observe(now, max(clock, rejected.Now))
	switch {
	case err == nil || isRejected && rejected.Reason != vwworker.OtherLife:
		b.heard, b.misses = now, 0
	case isRejected:
		b.Forget(now, "another worker answers at its address")
		return false
	case vwworker.IsGone(err) && b.heard.Before(sent):
		// After a later answer another life listens, which tells itself what it runs.
		b.Forget(now, err.Error())
		return false
	}
	return true
}

// StartAnswered takes the answer to a start order.
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
	if !b.hear(now, sent.Sent, answer.Now, err) || !known {
		return
	}
	switch {
	case err == nil:
		r.confirm(answer.Now)
	case isRejected:
		b.takeRejection(now, r, order.Token, rejected)
	default:
		// Only the answer may be lost, so the list of the worker comes before a stop order.
		b.logger.Warn("start order was not answered", "run", r.spec.Task.String(), "number", r.id.Number, "error", err.Error())
		r.doubted = true
		b.hurry = true
	}
}

func (r *run) confirm(at vwworker.Clock) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, at
	}
}

// takeRejection handles a start that the worker has refused. The run is not there.
func (b *Book) takeRejection(now time.Time, r *run, token uint64, rejected vwworker.ErrRejected) {
	again := r.stop == nil && r.renumbered < maxRenumbered
	switch {
	case rejected.Reason == vwworker.Superseded && again:
		r.id.Number += 1 << r.renumbered
		r.renumbered++
		b.numbers.next(now, r.spec.Task, r.id.Number)
		b.orderStart(now, r)
		return
	case rejected.Reason == vwworker.Fenced && again:
		r.renumbered++
		b.raiseToken(token)
		b.orderStart(now, r)
		return
	}
	b.settle(now, r, OutcomeRefused, vwverdict.NotRun, rejected.Error())
}

// StopAnswered takes the answer to a stop order.
func (b *Book) StopAnswered(now time.Time, sent Order, answer vwworker.Answer, err error) {
	order := sent.Stop
	if order.Worker != b.life.ID {
		return
	}
	s := b.stopOf(order.Run)
	if s != nil {
		s.underWay = false
	}
	if !b.hear(now, sent.Sent, answer.Now, err) || s == nil {
		return
	}
	switch {
	case err == nil:
		s.answered, s.answeredAt = true, answer.Now
		b.hurry = true
	case vwworker.IsRejected(err, vwworker.Fenced):
		b.raiseToken(order.Token)
		b.orderStop(now, order.Run, s)
	}
}

func (b *Book) stopOf(id vwworker.Run) *stop {
	if r := b.runs[id.Task]; r != nil && r.id == id {
		return r.stop
	}
	return b.foreign[id]
}

// HoldAnswered takes the answer to a hold order.
func (b *Book) HoldAnswered(now time.Time, sent Order, report vwworker.Report, err error) {
	order := sent.Hold
	b.endHold(order)
	if order.Worker != b.life.ID || !b.hear(now, sent.Sent, report.Now, err) {
		return
	}
	switch {
	case vwworker.IsRejected(err, vwworker.Fenced):
		b.raiseToken(order.Token)
	case err != nil && b.heard.After(sent.Sent):
		// The worker has answered since, so this order or its answer is lost and no more.
		b.logger.Info("list was not answered", "worker", string(b.life.ID), "error", err.Error())
		b.hurry = true
	case err != nil:
		b.miss(now, err)
	case report.Born > b.life.Born:
		b.adopt(now, vwworker.Life{ID: b.life.ID, Born: report.Born})
	case report.Born != 0 && report.Born < b.life.Born:
		b.logger.Warn("list of an earlier life is ignored", "worker", string(b.life.ID), "born", report.Born, "current", b.life.Born)
	default:
		b.takeReport(now, order, &report)
	}
}

// endHold tells the waiting hold from the one that only looks.
func (b *Book) endHold(order *vwworker.HoldOrder) {
	if order.Wait == 0 && b.looking {
		b.looking = false
		return
	}
	b.holding = false
}

func (b *Book) miss(now time.Time, err error) {
	b.misses++
	b.postpone(now)
	b.logger.Warn("worker did not answer", "worker", string(b.life.ID), "misses", b.misses, "runs", len(b.runs), "error", err.Error())
}

// postpone spaces the attempts to learn what the worker runs. The first ones follow at once, since each takes
// as long as an answer is waited for.
func (b *Book) postpone(now time.Time) {
	b.nextSync = now.Add(b.syncWait)
	if b.misses > quickRetries {
		b.syncWait = min(max(2*b.syncWait, b.settings.Answer), maxSyncInterval)
	}
}

func (b *Book) takeReport(now time.Time, order *vwworker.HoldOrder, report *vwworker.Report) {
	if b.guessed && order.Token == b.token {
		b.guessed = false
		b.token++
	}
	if b.phase == phaseSyncing && (order.Token < b.token || !b.clock.known()) {
		// Only a list for the present token shows that older orders have no effect any more, and without its
		// clock no lease can be asked for.
		b.logger.Info("list of the worker is of no use", "worker", string(b.life.ID), "token", order.Token, "current", b.token, "clock", int64(report.Now))
		b.postpone(now)
		return
	}
	b.listed = now
	b.syncWait = 0
	b.nextSync = now.Add(foreignInterval)
	b.acknowledged = max(b.acknowledged, order.Seen)
	for _, ended := range report.Ended {
		if ended.Number > b.seen {
			b.seen = ended.Number
			b.takeEnd(now, ended)
		}
	}
	if report.Now < b.reported {
		// A list that was made before the newest one has nothing new to tell.
		return
	}
	b.reported = report.Now
	listed := make(map[vwworker.Run]bool, len(report.Running))
	for _, id := range report.Running {
		listed[id] = true
		if r := b.runs[id.Task]; r == nil || r.id != id {
			b.addForeign(now, id)
		}
	}
	if len(report.Ended) >= maxListed {
		return
	}
	for id := range b.foreign {
		if !listed[id] {
			delete(b.foreign, id)
		}
	}
	for _, r := range b.runs {
		b.compare(now, r, listed[r.id], report.Now)
	}
	if b.phase == phaseSyncing && len(b.foreign) == 0 {
		b.phase = phaseReady
		b.logger.Info("worker is ready", "worker", string(b.life.ID), "runs", len(b.runs), "capacity", b.capacity.String())
	}
}

func (b *Book) addForeign(now time.Time, id vwworker.Run) {
	if _, over := b.over[id]; over {
		return
	}
	if b.foreign[id] == nil {
		b.logger.Info("run of another order is stopped", "run", id.Task.String(), "number", id.Number)
		b.foreign[id] = &stop{requested: now}
	}
	b.orderStop(now, id, b.foreign[id])
}

func (b *Book) takeEnd(now time.Time, ended vwworker.Ended) {
	b.over[ended.Run] = now
	r := b.runs[ended.Run.Task]
	if r == nil || r.id != ended.Run {
		delete(b.foreign, ended.Run)
		return
	}
	if ended.How == vwworker.Done || ended.How == vwworker.Failed {
		b.ended = now
	}
	switch {
	case ended.How == vwworker.Done:
		b.settle(now, r, OutcomeDone, vwverdict.Ran, "")
	case ended.How == vwworker.Failed:
		b.settle(now, r, OutcomeFailed, vwverdict.Ran, "the run failed at the worker")
	case ended.How == vwworker.Stopped && r.stop != nil && r.stop.wanted:
		b.settle(now, r, OutcomeStopped, vwverdict.MayHaveRun, r.stop.reason)
	default:
		b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, "the worker ended the run: "+ended.How.String())
	}
}

// compare draws the conclusions from whether a list of the worker, made at a time of its clock, shows a run.
// The ends in the same answer were taken before.
func (b *Book) compare(now time.Time, r *run, listed bool, at vwworker.Clock) {
	switch {
	case listed:
		r.confirm(at)
		b.checkOverdue(r, at)
	case r.confirmed && at > r.confirmedAt:
		b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, "the worker no longer lists the run and tells no end")
	case r.confirmed:
	case r.stop != nil && r.stop.answered && at > r.stop.answeredAt:
		b.settleUnstarted(now, r, r.stop.reason)
	case at > r.until:
		b.settleUnstarted(now, r, "the start order ran out before the worker carried it out")
	case r.doubted && r.stop == nil:
		b.stop(now, r, false, "the start order was not answered")
	}
}

// settleUnstarted settles a run that the worker does not have and will not take any more.
func (b *Book) settleUnstarted(now time.Time, r *run, reason string) {
	b.over[r.id] = now
	b.settle(now, r, OutcomeRefused, vwverdict.NotRun, reason)
}
