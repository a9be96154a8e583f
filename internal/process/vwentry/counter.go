package vwentry

import (
	"sync/atomic"

	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/request/vwjob"
)

// Counters count what an entry did. Any goroutine may read them.
type Counters struct {
	// Starts are tasks sent to agents.
	Starts atomic.Int64
	// Refused are tasks that an agent sent back as not run.
	Refused atomic.Int64
	// Stray are late, crossed or repeated messages that were dropped.
	Stray atomic.Int64
	// Demands are demand messages.
	Demands atomic.Int64
	// Recalls are credit recalls by agents; each costs that message and the return.
	Recalls atomic.Int64
	// UnusedDemands are demand messages that no credit followed before the next one to the same agent.
	UnusedDemands atomic.Int64
	// Complete and Failed are ended jobs.
	Complete atomic.Int64
	Failed   atomic.Int64
	// JobsRefused are best-effort jobs of which nothing ran.
	JobsRefused atomic.Int64
	// EndedByStop are jobs that were ended because the entry stops, and RefusedByStop those refused because they could not
	// end before that.
	EndedByStop   atomic.Int64
	RefusedByStop atomic.Int64
	// Suspected are tasks that may have crashed a worker and run again apart from each other, and GivenUp those under which
	// so many workers have crashed that their job has failed.
	Suspected atomic.Int64
	GivenUp   atomic.Int64
	// Requeued are tasks that were placed again without a report of the end of their runs.
	Requeued atomic.Int64
	// Abandoned are best-effort jobs whose callers were found to have left when they were handed in or tasks of them could be sent.
	Abandoned atomic.Int64
	// RulesFetches are the answers with parts of the rules, RulesBytes their compressed bytes, and RulesFetchesFailed the
	// calls for parts that had no answer in time.
	RulesFetches       atomic.Int64
	RulesBytes         atomic.Int64
	RulesFetchesFailed atomic.Int64
	// CallersSentOn are the answers that told a caller to connect again, because more entries take connections now.
	CallersSentOn atomic.Int64
	// Takeovers are jobs taken over from another entry.
	Takeovers atomic.Int64
	// Retries are repeated attempts of idempotent requests.
	Retries atomic.Int64
}

// Counters returns the entry's counters.
func (e *Entry) Counters() *Counters {
	return e.counters
}

// countBestEffort counts the end of a best-effort job. One whose caller has left is neither complete nor failed.
func (c *Counters) countBestEffort(answer *vwplace.Answer) {
	if answer.EndedByStop {
		c.EndedByStop.Add(1)
	}
	switch answer.Outcome {
	case vwplace.OutcomeCompleted:
		c.Complete.Add(1)
	case vwplace.OutcomeFailed, vwplace.OutcomeGivenUp:
		c.Failed.Add(1)
	case vwplace.OutcomeRefused:
		c.JobsRefused.Add(1)
	case vwplace.OutcomeCancelled:
	}
}

func (c *Counters) countEnd(failure *vwjob.Failure) {
	if failure != nil {
		c.Failed.Add(1)
		return
	}
	c.Complete.Add(1)
}
