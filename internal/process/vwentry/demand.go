package vwentry

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// demandInterval bounds how often a change in the size of the demand is reported. That demand begins
	// or ends is reported at once.
	demandInterval = 50 * time.Millisecond
	// demandChange is the factor below which a change in size is not worth a message.
	demandChange = 2
)

// demandReport is what an agent last heard.
type demandReport struct {
	at      time.Time
	waiting int
}

// reportDemand tells the agents what waits for credits, when it has changed enough.
func (e *Entry) reportDemand(now time.Time) {
	demands := map[vwid.Service]vwmessage.Demand{}
	for _, w := range e.workers {
		if w.session == nil || w.leaving {
			continue
		}
		demand, known := demands[w.Service]
		if !known {
			demand = e.queue.Demand(now, w.Service)
			demands[w.Service] = demand
		}
		waiting := sumWaiting(demand)
		if !w.demanded.isOutdated(now, waiting) {
			continue
		}
		w.demanded = demandReport{at: now, waiting: waiting}
		e.counters.Demands.Add(1)
		e.send(w, &demand)
	}
}

func sumWaiting(demand vwmessage.Demand) int {
	sum := 0
	for _, team := range demand.Teams {
		sum += team.Waiting
	}
	return sum
}

func (r *demandReport) isOutdated(now time.Time, waiting int) bool {
	if (waiting == 0) != (r.waiting == 0) {
		return true
	}
	if waiting == r.waiting || now.Sub(r.at) < demandInterval {
		return false
	}
	return waiting >= demandChange*r.waiting || demandChange*waiting <= r.waiting
}
