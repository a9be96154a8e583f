package vwentry

import (
	"sync/atomic"
	"time"
)

// Gauges show the state of an entry after its last tick. Any goroutine may read them.
type Gauges struct {
	// Active are jobs without an answer, Waiting the queued tasks, and Workers the agents with a link.
	Active  atomic.Int64
	Waiting atomic.Int64
	Workers atomic.Int64
	Version atomic.Uint64
	// Fresh tells whether the entry holds a fresh lease.
	Fresh atomic.Bool
}

// Gauges returns the entry's gauges.
func (e *Entry) Gauges() *Gauges {
	return e.gauges
}

func (e *Entry) publish(now time.Time) {
	open := 0
	for _, w := range e.workers {
		if w.session != nil {
			open++
		}
	}
	for incarnation := range e.effort.sessions {
		// An agent may serve both kinds of jobs over one link.
		if w := e.workers[incarnation]; w == nil || w.session == nil {
			open++
		}
	}
	e.gauges.Active.Store(int64(e.active + e.effort.queue.Len()))
	e.gauges.Waiting.Store(int64(e.queue.Waiting() + e.effort.queue.WaitingTasks()))
	e.gauges.Workers.Store(int64(open))
	e.gauges.Version.Store(uint64(e.applied))
	e.gauges.Fresh.Store(e.holder.Fresh(now))
}
