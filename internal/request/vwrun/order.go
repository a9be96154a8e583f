package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// Order is a call of the worker for the owner of a Book to make. Exactly one of its pointers is set. The owner
// reports the answer with StartAnswered, StopAnswered or HoldAnswered.
type Order struct {
	Start *vwworker.StartOrder
	Stop  *vwworker.StopOrder
	Hold  *vwworker.HoldOrder
	// Timeout bounds the call.
	Timeout time.Duration
	// Sent is when the order was made.
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

// orderStart asks the worker to start a run. The order also extends the lease.
func (b *Book) orderStart(now time.Time, r *run) {
	r.sent, r.until = now, b.extension(now)
	b.orders = append(b.orders, Order{Sent: now, Timeout: b.settings.Answer, Start: &vwworker.StartOrder{
		Worker: b.life.ID, Run: r.id, Payload: r.spec.Payload, Until: r.until, Token: b.token,
	}})
}

// orderStop asks the worker to end a run, unless an order is under way.
func (b *Book) orderStop(now time.Time, id vwworker.Run, s *stop) {
	if s.underWay || s.answered {
		return
	}
	s.underWay = true
	b.orders = append(b.orders, Order{Sent: now, Timeout: b.settings.Answer, Stop: &vwworker.StopOrder{Worker: b.life.ID, Run: id, Token: b.token}})
}

// planHold asks for the lists when they are needed and not already asked for.
func (b *Book) planHold(now time.Time) {
	switch {
	case b.phase == phaseAbsent || b.holding:
	case b.phase == phaseSyncing:
		if b.hurry || !now.Before(b.nextSync) {
			b.orderHold(now, vwworker.HoldOrder{})
		}
	case b.misses > 0:
		// Whether the worker answers at all comes before a longer lease and a longer wait.
		if !now.Before(b.nextSync) {
			b.orderHold(now, vwworker.HoldOrder{})
		}
	case len(b.runs) > 0 || len(b.foreign) > 0:
		b.orderHold(now, vwworker.HoldOrder{Until: b.renewal(now), Wait: b.settings.Renew})
	case b.seen > b.acknowledged:
		b.orderHold(now, vwworker.HoldOrder{})
	}
	if b.hurry && b.phase == phaseReady && b.misses == 0 && !b.looking {
		b.looking = true
		b.send(now, vwworker.HoldOrder{Until: b.renewal(now)})
	}
	b.hurry = false
}

func (b *Book) orderHold(now time.Time, order vwworker.HoldOrder) {
	b.holding = true
	b.send(now, order)
}

func (b *Book) send(now time.Time, order vwworker.HoldOrder) {
	order.Worker, order.Token, order.Seen = b.life.ID, b.token, b.seen
	b.orders = append(b.orders, Order{Sent: now, Timeout: order.Wait + b.settings.Answer, Hold: &order})
}

// extension returns the end of a lease that begins now, and remembers it: an order that extends the lease
// counts from when it is sent, because it may be carried out without an answer.
func (b *Book) extension(now time.Time) vwworker.Clock {
	until := b.clock.estimate(now) + vwworker.Clock(b.settings.Lease/time.Millisecond)
	b.granted = max(b.granted, until)
	return until
}

// renewal returns the extension that a hold carries, zero while the lease must run out because a run that
// should have ended has not.
func (b *Book) renewal(now time.Time) vwworker.Clock {
	for _, r := range b.runs {
		if r.stop != nil && now.Sub(r.stop.requested) > b.settings.Stop {
			return 0
		}
	}
	for _, s := range b.foreign {
		if now.Sub(s.requested) > b.settings.Stop {
			return 0
		}
	}
	return b.extension(now)
}
