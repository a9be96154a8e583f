package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Spec is what an entry asks to be run.
type Spec struct {
	Task vwworker.Task
	// Attempt is the number of this start of the task, from 1.
	Attempt int
	// Owner is the entry that gets the result.
	Owner vwid.Incarnation
	// Team is whose task it is, for logs.
	Team    vwid.Team
	Needs   vwresource.Amount
	Payload []byte
	// Expected is how long the run is expected to take.
	Expected time.Duration
	// EndBefore is when the run is of no more use and is stopped; the zero value means never.
	EndBefore time.Time
}

// Result is the end of a run. Whatever it says, the run does not go on.
type Result struct {
	Spec    Spec
	Outcome Outcome
	// Verdict tells whether the task may have run.
	Verdict vwverdict.Verdict
	Reason  string
	// Ran is the time from the start order to the news of the end.
	Ran time.Duration
	// Overdue tells that the run took far longer than expected.
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
	// OutcomeStopped means that the run was stopped as the entry asked.
	OutcomeStopped
	// OutcomeLost means that the run has ended and nobody knows how.
	OutcomeLost
)

var outcomeNames = map[Outcome]string{
	OutcomeDone: "Done", OutcomeFailed: "Failed", OutcomeRefused: "Refused", OutcomeStopped: "Stopped", OutcomeLost: "Lost",
}

// String returns the name for logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// run is one run at the worker.
type run struct {
	spec Spec
	id   vwworker.Run
	sent time.Time
	// until is the latest time of the worker's clock at which the start order can still be carried out.
	until vwworker.Clock
	// confirmed tells that the worker has the run; confirmedAt is its clock at that answer.
	confirmed   bool
	confirmedAt vwworker.Clock
	// doubted tells that the start order was not answered.
	doubted bool
	// renumbered counts the tries with higher numbers.
	renumbered int
	overdue    bool
	stop       *stop
}

// stop is the request to end a run.
type stop struct {
	requested time.Time
	// underWay tells that an order is not answered yet.
	underWay bool
	// answered tells that the worker refuses the run from answeredAt on.
	answered   bool
	answeredAt vwworker.Clock
	// wanted tells that the entry asked, and not only a start that was not answered.
	wanted bool
	reason string
}
