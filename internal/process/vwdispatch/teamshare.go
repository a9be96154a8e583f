package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// assumedRunTime is charged for a task of a team until a first task of the team has ended. Only the
// order of the team's first few credits depends on it.
const assumedRunTime = 100 * time.Millisecond

// teamShare is the state that an agent keeps for a team.
type teamShare struct {
	name   vwid.Team
	policy TeamPolicy
	// unmetDemand is the number of the team's waiting tasks without a credit, over all entries.
	unmetDemand int
	// virtualTime is the slot time that the team has used on this worker, divided by its weight, in
	// seconds.
	virtualTime float64
	// meanRunTime is the moving mean of run times, zero before the first task ended.
	meanRunTime time.Duration
}

// ranksBefore reports whether a credit for t is to be granted before one for other, which may be
// nil.
func (t *teamShare) ranksBefore(other *teamShare) bool {
	if other == nil || t.policy.Priority != other.policy.Priority {
		return other == nil || t.policy.Priority > other.policy.Priority
	}
	return t.virtualTime < other.virtualTime
}

// expectedRunTime returns the run time that the team is charged for a credit.
func (t *teamShare) expectedRunTime() time.Duration {
	if t.meanRunTime > 0 {
		return t.meanRunTime
	}
	return assumedRunTime
}

// correctCharge replaces the expected run time charged for one task by its actual run time, and
// updates the mean run time.
func (t *teamShare) correctCharge(actual time.Duration) {
	t.virtualTime += (actual - t.expectedRunTime()).Seconds() / t.policy.Weight
	if t.meanRunTime == 0 {
		t.meanRunTime = actual
	} else {
		t.meanRunTime += (actual - t.meanRunTime) / runTimeWindowTasks
	}
}

// demandRow is the demand of one team at one entry.
type demandRow struct {
	team        *teamShare
	unmetDemand int
	// newCredits is the number of credits that the current decision grants for the row.
	newCredits int
	// firstArrival is the arrival time of the first of the team's waiting tasks in the entry's queue.
	firstArrival time.Time
}

// addGrant grants a credit for one task of the row and charges the team for it.
func (r *demandRow) addGrant() {
	r.unmetDemand--
	r.newCredits++
	r.team.unmetDemand--
	r.team.virtualTime += r.team.expectedRunTime().Seconds() / r.team.policy.Weight
}
