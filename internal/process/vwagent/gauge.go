package vwagent

import (
	"sync/atomic"
	"time"
)

// Gauges show the state of an agent after its last tick. Any goroutine may read them.
type Gauges struct {
	// Busy is the number of running tasks and Slots the limit. A worker that grants leases has a capacity
	// instead of slots.
	Busy  atomic.Int64
	Slots atomic.Int64
	// Present reports whether the backend server or worker is reachable and not leaving.
	Present atomic.Bool
	Links   atomic.Int64
	Version atomic.Uint64
	// Fresh reports whether the agent holds a fresh lease.
	Fresh atomic.Bool
}

// Gauges returns the gauges of the agent.
func (a *Agent) Gauges() *Gauges {
	return &a.gauges
}

func (a *Agent) updateGauges(now time.Time) {
	a.gauges.Present.Store(a.backend.reachable && !a.backend.leaving || a.runner != nil && a.runner.isPresent())
	r := a.current
	if r == nil {
		a.gauges.Fresh.Store(false)
		return
	}
	_, fresh := r.recordLease(now)
	a.gauges.Fresh.Store(fresh)
	a.gauges.Version.Store(uint64(r.lease.Held()))
	busy := len(r.running)
	if a.runner != nil {
		busy += a.runner.tracker.Len()
	}
	a.gauges.Busy.Store(int64(busy))
	a.gauges.Slots.Store(int64(r.slots()))
	a.gauges.Links.Store(int64(len(r.links)))
}
