package vwagent

import (
	"sync/atomic"
	"time"
)

// Gauges show the state of an agent after its last tick. Any goroutine may read them.
type Gauges struct {
	// Busy are the running tasks and Slots those that may run; a worker that grants leases has room instead of slots.
	Busy  atomic.Int64
	Slots atomic.Int64
	// Present tells whether the backend server or worker is announced and not leaving.
	Present atomic.Bool
	Links   atomic.Int64
	Version atomic.Uint64
	// Fresh tells whether the agent holds a fresh lease.
	Fresh atomic.Bool
}

// Gauges returns the gauges of the agent.
func (a *Agent) Gauges() *Gauges {
	return &a.gauges
}

func (a *Agent) publish(now time.Time) {
	a.gauges.Present.Store(a.backend.present && !a.backend.leaving || a.runner != nil && a.runner.isPresent())
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
		busy += a.runner.book.Len()
	}
	a.gauges.Busy.Store(int64(busy))
	a.gauges.Slots.Store(int64(r.slots()))
	a.gauges.Links.Store(int64(len(r.links)))
}
