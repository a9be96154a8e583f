package vwagent

import "sync/atomic"

// Counters are the event counters of an agent. Any goroutine may read them.
type Counters struct {
	// Started and Finished count tasks that were started and tasks that ended.
	Started  atomic.Uint64
	Finished atomic.Uint64
	// Refused counts tasks answered with NotRun.
	Refused atomic.Uint64
	// Duplicate counts repeated starts of tasks that had started before.
	Duplicate atomic.Uint64
	// Late counts results of tasks that are no longer recorded as running, for example after their
	// acknowledgement, and messages under an outdated epoch.
	Late atomic.Uint64
	// Crossed counts messages that are dropped because their link or its registration was replaced.
	Crossed atomic.Uint64
	// Undelivered counts results that stayed in the records because their entry has no link or the send failed.
	Undelivered atomic.Uint64
	// Invalid counts announcements that could not be read or were invalid, and Denied those of an incarnation that the
	// worker denied.
	Invalid atomic.Uint64
	Denied  atomic.Uint64
	// WorkerCrashes counts the crashes of a worker that grants leases.
	WorkerCrashes atomic.Uint64
	// Unlisted counts runs that a worker that grants leases no longer listed and whose end it did not tell.
	Unlisted atomic.Uint64
	// OutdatedLists counts how often a list of such a worker lacked a run because it may have been made before the run started.
	OutdatedLists atomic.Uint64
	// RulesReads counts calls that ask control for the rules because no entry renews the lease.
	RulesReads atomic.Uint64
	// Unexpected counts messages that an agent does not serve.
	Unexpected atomic.Uint64
}
