package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// Order is a call to the worker that the owner of a Book must make. Exactly one of its pointers is set. The owner
// passes the answer to StartAnswered, StopAnswered or HoldAnswered.
//
// The worker answers a hold with a report, which lists its runs and ends. It may delay the report until a run ends, by at
// most the hold's Wait. A hold without a Wait is a poll and is answered at once.
type Order struct {
	Start *vwworker.StartOrder
	Stop  *vwworker.StopOrder
	Hold  *vwworker.HoldOrder
	// Timeout bounds the call.
	Timeout time.Duration
	// Sent is when the order was created.
	Sent time.Time
}

// TakeOrders returns the calls to make now.
func (b *Book) TakeOrders(now time.Time) []Order {
	b.planHold(now)
	orders := b.orders
	b.orders = nil
	return orders
}

// TakeResults returns the results since the last call.
func (b *Book) TakeResults() []Result {
	results := b.results
	b.results = nil
	return results
}

// orderStart enqueues a start order, which also extends the lease.
func (b *Book) orderStart(now time.Time, r *run) {
	r.startSent, r.startDeadline = now, b.extendLease(now)
	b.orders = append(b.orders, Order{Sent: now, Timeout: b.settings.AnswerTimeout, Start: &vwworker.StartOrder{
		Worker: b.life.ID, Run: r.id, Payload: r.spec.Payload, Until: r.startDeadline, Token: b.token,
	}})
}

// orderStop enqueues a stop order unless one is in flight or was acknowledged.
func (b *Book) orderStop(now time.Time, id vwworker.Run, s *stopRequest) {
	if s.inFlight || s.acknowledged {
		return
	}
	s.inFlight = true
	b.orders = append(b.orders, Order{Sent: now, Timeout: b.settings.AnswerTimeout, Stop: &vwworker.StopOrder{Worker: b.life.ID, Run: id, Token: b.token}})
}

// planHold enqueues the next hold if none is in flight: a poll that is due while the worker is being synchronized or does
// not answer, a hold that extends the lease while there are runs, or a poll that acknowledges ends. On pollNow it adds a
// poll, beside a hold in flight, if the worker is ready and answers.
func (b *Book) planHold(now time.Time) {
	switch {
	case b.phase == phaseAbsent || b.holdInFlight:
	case b.phase == phaseSyncing:
		if b.pollNow || !now.Before(b.nextSync) {
			b.orderHold(now, vwworker.HoldOrder{})
		}
	case b.unansweredHolds > 0:
		// An unresponsive worker is polled, without a longer lease.
		if !now.Before(b.nextSync) {
			b.orderHold(now, vwworker.HoldOrder{})
		}
	case len(b.runs) > 0 || len(b.foreignRuns) > 0:
		b.orderHold(now, vwworker.HoldOrder{Until: b.renewLease(now), Wait: b.settings.RenewInterval})
	case b.lastEndSeen > b.lastEndAcknowledged:
		b.orderHold(now, vwworker.HoldOrder{})
	}
	if b.pollNow && b.phase == phaseReady && b.unansweredHolds == 0 && !b.pollInFlight {
		b.pollInFlight = true
		b.enqueueHold(now, vwworker.HoldOrder{Until: b.renewLease(now)})
	}
	b.pollNow = false
}

func (b *Book) orderHold(now time.Time, order vwworker.HoldOrder) {
	b.holdInFlight = true
	b.enqueueHold(now, order)
}

func (b *Book) enqueueHold(now time.Time, order vwworker.HoldOrder) {
	order.Worker, order.Token, order.Seen = b.life.ID, b.token, b.lastEndSeen
	b.orders = append(b.orders, Order{Sent: now, Timeout: order.Wait + b.settings.AnswerTimeout, Hold: &order})
}

// extendLease returns the end of a lease that begins now and records it in leaseEnd. It counts from the sending of the
// order, because the worker may carry out an order whose answer is lost.
func (b *Book) extendLease(now time.Time) vwworker.Clock {
	until := b.clock.estimate(now) + vwworker.Clock(b.settings.LeaseDuration/time.Millisecond)
	b.leaseEnd = max(b.leaseEnd, until)
	return until
}

// renewLease returns the lease end for a hold. It returns zero, which lets the lease expire, while a run has not ended
// within StopTimeout of the request to stop it.
func (b *Book) renewLease(now time.Time) vwworker.Clock {
	for _, r := range b.runs {
		if r.stop != nil && now.Sub(r.stop.requestedAt) > b.settings.StopTimeout {
			return 0
		}
	}
	for _, s := range b.foreignRuns {
		if now.Sub(s.requestedAt) > b.settings.StopTimeout {
			return 0
		}
	}
	return b.extendLease(now)
}
