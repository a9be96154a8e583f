package vwentry

import (
	"sync/atomic"
	"time"
)

// Gauges hold the state of an entry as of its last tick. Any goroutine may read them.
type Gauges struct {
	// Active are jobs without an answer, Waiting the queued tasks, and Workers the agents with a link.
	Active  atomic.Int64
	Waiting atomic.Int64
	Workers atomic.Int64
	Version atomic.Uint64
	// EntriesNear and EntryDataCentres are the last known rotation, and RotationAge the age of that view in milliseconds,
	// -1 if there was none.
	EntriesNear      atomic.Int64
	EntryDataCentres atomic.Int64
	RotationAge      atomic.Int64
	// Fresh reports whether the entry holds a fresh lease.
	Fresh atomic.Bool
}

// Gauges returns the entry's gauges.
func (e *Entry) Gauges() *Gauges {
	return e.gauges
}

func (e *Entry) updateGauges(now time.Time) {
	open := 0
	for _, w := range e.agents {
		if w.session != nil {
			open++
		}
	}
	for incarnation := range e.bestEffort.sessions {
		// An agent may serve both kinds of jobs over one link.
		if w := e.agents[incarnation]; w == nil || w.session == nil {
			open++
		}
	}
	e.gauges.Active.Store(int64(e.activeJobs + e.bestEffort.queue.Len()))
	e.gauges.Waiting.Store(int64(e.queue.Waiting() + e.bestEffort.queue.WaitingTasks()))
	e.gauges.Workers.Store(int64(open))
	e.gauges.Version.Store(uint64(e.appliedVersion))
	e.gauges.Fresh.Store(e.holder.IsFresh(now))
	spread := e.spread.Load()
	age, known := spread.Age(now)
	if !known {
		age = -time.Millisecond
	}
	e.gauges.EntriesNear.Store(int64(spread.Current().Near))
	e.gauges.EntryDataCentres.Store(int64(spread.Current().DataCentres))
	e.gauges.RotationAge.Store(age.Milliseconds())
}
