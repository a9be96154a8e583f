package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Spec describes a run that an entry requests.
type Spec struct {
	Task vwworker.Task
	// Attempt counts the starts of the task, from 1. The run number is at least this.
	Attempt int
	// Owner is the entry that gets the result.
	Owner vwid.Incarnation
	// Team owns the task; it is used for logs only.
	Team    vwid.Team
	Needs   vwresource.Amount
	Payload []byte
	// Expected is the expected run time.
	Expected time.Duration
	// Deadline is the time at which the run is stopped; the zero value means none.
	Deadline time.Time
}

// Result is the final result of a run. With any outcome the run has certainly ended or will never start.
type Result struct {
	Spec    Spec
	Outcome Outcome
	// Verdict states whether the task may have run.
	Verdict vwverdict.Verdict
	Reason  string
	// RunTime is the time from the last start order to the recording of the end, or of the worker's crash.
	RunTime time.Duration
	// Overdue is set when the run exceeded its expected time as set by OverdueFactor and OverdueMargin.
	Overdue bool
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone means that the task is complete.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the run failed.
	OutcomeFailed
	// OutcomeRefused means that the run has not started and never will.
	OutcomeRefused
	// OutcomeStopped means that the run was stopped on request, at its deadline or because it was overdue.
	OutcomeStopped
	// OutcomeLost means that the run has ended in an unknown way.
	OutcomeLost
	// OutcomeCrashed means that the run was, or may have been, at a worker that crashed.
	OutcomeCrashed
)

var outcomeNames = map[Outcome]string{
	OutcomeDone: "Done", OutcomeFailed: "Failed", OutcomeRefused: "Refused", OutcomeStopped: "Stopped", OutcomeLost: "Lost", OutcomeCrashed: "Crashed",
}

// String returns the name for logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// run is the state of one run at the worker.
type run struct {
	spec      Spec
	id        vwworker.Run
	startSent time.Time
	// startDeadline is the time on the worker's clock after which it no longer carries out the start order.
	startDeadline vwworker.Clock
	// startToken is the fencing token of the last start order.
	startToken uint64
	// confirmed is set once the worker has acknowledged or listed the run; confirmedAt is its clock at that answer, and
	// confirmedAfter the number of the last hold that was sent before the answer came.
	confirmed      bool
	confirmedAt    vwworker.Clock
	confirmedAfter uint64
	// startUnanswered is set when a start order was not answered.
	startUnanswered bool
	// startRetries counts the retries with a higher run number or fencing token.
	startRetries int
	// startDeferred is set while a rejected start waits to be retried until no incarnation is pending.
	startDeferred bool
	overdue       bool
	// crashedAt is when the worker crashed after the last start order; zero if it did not.
	crashedAt time.Time
	stop      *stopRequest
}

// stopRequest is the request to end a run.
type stopRequest struct {
	requestedAt time.Time
	// inFlight is set while a stop order has no answer yet.
	inFlight bool
	// acknowledged is set once the worker has answered a stop order, after which it does not start the run.
	acknowledged bool
	// shownAfter is the number of the last hold that was sent before the worker acknowledged the stop or, for a run that is
	// not tracked, last listed the run.
	shownAfter uint64
	reason     string
}
