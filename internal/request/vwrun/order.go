package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// Order is a call to the worker that the owner of a Tracker must make. Exactly one of its pointers is set. The owner
// passes the answer to StartAnswered, StopAnswered or HoldAnswered.
//
// The worker answers a hold with a report, which lists its runs and ends. It may delay the report until a run ends, by at
// most the hold's Wait. A hold without a Wait is a poll and is answered at once.
type Order struct {
	// Watch is set for a hold that shows the end of a worker while nothing runs there.
	Watch bool
	Start *vwworker.StartOrder
	Stop  *vwworker.StopOrder
	Hold  *vwworker.HoldOrder
	// Timeout bounds the call.
	Timeout time.Duration
	// Sent is when the order was created.
	Sent time.Time
	// number counts the holds, from 1.
	number uint64
}

// wasSentAfter reports whether a hold was sent after the one with the given number. If the worker showed a run, or its stop,
// when that one was the last, the absence of the run from the report to a later hold proves that it is not there. The lists in
// other reports may be older, whatever their clock shows: the worker may read it after it has made the lists.
func (o *Order) wasSentAfter(number uint64) bool {
	return o.number > number
}

// TakeOrders returns the calls to make now.
func (t *Tracker) TakeOrders(now time.Time) []Order {
	t.resolvePending(now)
	t.retryDeferredStarts(now)
	t.planHold(now)
	orders := t.orders
	t.orders = nil
	return orders
}

// TakeResults returns the results since the last call.
func (t *Tracker) TakeResults() []Result {
	results := t.results
	t.results = nil
	return results
}

// orderStart enqueues a start order, which also extends the lease.
func (t *Tracker) orderStart(now time.Time, r *run) {
	r.startDeadline = t.extendLease(now)
	r.startSent, r.startToken, r.crashedAt = now, t.token, time.Time{}
	t.orders = append(t.orders, Order{Sent: now, Timeout: t.settings.AnswerTimeout, Start: &vwworker.StartOrder{
		Worker: t.life.ID, Run: r.id, Payload: r.spec.Payload, Until: r.startDeadline, Token: t.token,
	}})
}

// orderStop enqueues a stop order unless one is in flight or was acknowledged.
func (t *Tracker) orderStop(now time.Time, id vwworker.Run, s *stopRequest) {
	if s.inFlight || s.acknowledged {
		return
	}
	s.inFlight = true
	t.orders = append(t.orders, Order{Sent: now, Timeout: t.settings.AnswerTimeout, Stop: &vwworker.StopOrder{Worker: t.life.ID, Run: id, Token: t.token}})
}

// planHold enqueues the next hold if none is in flight: a poll that is due while the worker is being synchronized, does
// not answer or is absent, a hold that extends the lease while there are runs, or a poll that acknowledges ends. On pollNow,
// and while a restart is suspected, it adds a poll, beside a hold in flight, if the worker is ready and answers.
func (t *Tracker) planHold(now time.Time) {
	switch {
	case t.holdInFlight:
	case t.phase == phaseAbsent:
		if now.Before(t.absentPollsUntil) && !now.Before(t.nextSync) {
			t.nextSync = now.Add(absentPollInterval)
			t.orderHold(now, vwworker.HoldOrder{})
		}
	case t.phase == phaseSyncing:
		if t.pollNow || !now.Before(t.nextSync) {
			t.orderHold(now, vwworker.HoldOrder{})
		}
	case t.unansweredHolds > 0:
		// An unresponsive worker is polled, without a longer lease.
		if !now.Before(t.nextSync) {
			t.orderHold(now, vwworker.HoldOrder{})
		}
	case len(t.runs) > 0 || len(t.foreignRuns) > 0:
		t.orderHold(now, vwworker.HoldOrder{Until: t.renewLease(now), Wait: t.settings.RenewInterval})
	case t.lastEndSeen > t.lastEndAcknowledged:
		t.orderHold(now, vwworker.HoldOrder{})
	}
	if (t.pollNow || !t.suspectedAt.IsZero()) && t.phase == phaseReady && t.unansweredHolds == 0 && !t.pollInFlight {
		t.pollInFlight = true
		t.enqueueHold(now, vwworker.HoldOrder{Until: t.renewLease(now)})
	}
	t.pollNow = false
	t.planWatch(now)
}

// planWatch enqueues a hold that neither extends the lease nor is answered soon, if nothing runs at the worker: without it
// no call would be open that ends with the worker, and the first order after a restart would go to an unknown incarnation.
func (t *Tracker) planWatch(now time.Time) {
	if t.watchInFlight || t.Len() > 0 || !t.IsReady() {
		return
	}
	t.watchInFlight = true
	t.enqueueHold(now, vwworker.HoldOrder{Wait: watchWait})
	t.orders[len(t.orders)-1].Watch = true
}

func (t *Tracker) orderHold(now time.Time, order vwworker.HoldOrder) {
	t.holdInFlight = true
	t.enqueueHold(now, order)
}

func (t *Tracker) enqueueHold(now time.Time, order vwworker.HoldOrder) {
	order.Worker, order.Token, order.Seen = t.life.ID, t.token, t.lastEndSeen
	t.holdsSent++
	t.orders = append(t.orders, Order{Sent: now, Timeout: order.Wait + t.settings.AnswerTimeout, Hold: &order, number: t.holdsSent})
}

// extendLease returns the end of a lease that begins now and records it in leaseEnd. It counts from the sending of the
// order, because the worker may carry out an order whose answer is lost.
func (t *Tracker) extendLease(now time.Time) vwworker.Clock {
	until := t.clock.estimate(now) + vwworker.Clock(t.settings.LeaseDuration/time.Millisecond)
	t.leaseEnd = max(t.leaseEnd, until)
	return until
}

// renewLease returns the lease end for a hold, or zero, which lets the lease expire, while the lease is withheld.
func (t *Tracker) renewLease(now time.Time) vwworker.Clock {
	if t.leaseWithheld(now) {
		return 0
	}
	return t.extendLease(now)
}

// leaseWithheld reports whether no order may extend the lease: a stopped run has not ended in time, or another incarnation is
// announced or suspected, on whose clock, which began anew, a lease end on the clock of the tracked one is too late.
func (t *Tracker) leaseWithheld(now time.Time) bool {
	return t.pending != nil || !t.suspectedAt.IsZero() || t.hasOverdueStop(now)
}

// hasOverdueStop reports whether a run has not ended within StopTimeout of the request to stop it.
func (t *Tracker) hasOverdueStop(now time.Time) bool {
	for _, r := range t.runs {
		if r.stop.isOverdue(now, t.settings.StopTimeout) {
			return true
		}
	}
	for _, s := range t.foreignRuns {
		if s.isOverdue(now, t.settings.StopTimeout) {
			return true
		}
	}
	return false
}

// isOverdue reports whether the run has not ended within timeout of the request; there may be none.
func (s *stopRequest) isOverdue(now time.Time, timeout time.Duration) bool {
	return s != nil && now.Sub(s.requestedAt) > timeout
}
