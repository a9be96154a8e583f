package vwagent

import "sync/atomic"

// Counters count what the agent drops, refuses or repeats. They may be read at any time.
type Counters struct {
	// Started and Finished count tasks that went to the backend server and came back.
	Started  atomic.Uint64
	Finished atomic.Uint64
	// Refused counts tasks answered with NotRun.
	Refused atomic.Uint64
	// Duplicate counts starts of tasks that had been started before.
	Duplicate atomic.Uint64
	// Late counts results that nobody waits for any more, and messages under a lower epoch.
	Late atomic.Uint64
	// Crossed counts messages that arrived on a link after its replacement.
	Crossed atomic.Uint64
	// Undelivered counts results that stayed in the records because their entry has no link.
	Undelivered atomic.Uint64
	// Unexpected counts messages that an agent does not serve.
	Unexpected atomic.Uint64
}
