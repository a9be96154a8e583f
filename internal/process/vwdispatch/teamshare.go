package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// assumedRunTime is charged for a task of a team of which no task has ended yet. Only the order of the
// team's first few credits depends on it.
const assumedRunTime = 100 * time.Millisecond

// teamShare is a team as an agent sees it.
type teamShare struct {
	name   vwid.Team
	policy TeamPolicy
	// unmet is the number of the team's waiting tasks, over all entries, without a credit.
	unmet int
	// virtual is the weighted slot time that the team has used here, in seconds.
	virtual float64
	// learned is the moving mean of run times, zero before the first one.
	learned time.Duration
}

// ahead reports whether a credit for t is to be granted before one for other.
func (t *teamShare) ahead(other *teamShare) bool {
	if other == nil || t.policy.Priority != other.policy.Priority {
		return other == nil || t.policy.Priority > other.policy.Priority
	}
	return t.virtual < other.virtual
}

// expected returns the run time that a credit for the team is charged with.
func (t *teamShare) expected() time.Duration {
	if t.learned > 0 {
		return t.learned
	}
	return assumedRunTime
}

// settle replaces the expected run time of one task by its actual one.
func (t *teamShare) settle(actual time.Duration) {
	t.virtual += (actual - t.expected()).Seconds() / t.policy.Weight
	if t.learned == 0 {
		t.learned = actual
	} else {
		t.learned += (actual - t.learned) / learnTasks
	}
}

// demandRow is what waits of one team at one entry.
type demandRow struct {
	team  *teamShare
	unmet int
	// grant is the number of credits to grant for the row with the present decision.
	grant int
	// since is the arrival of the first waiting task.
	since time.Time
}

// meet counts one task of the row as met by a credit.
func (r *demandRow) meet() {
	r.unmet--
	r.grant++
	r.team.unmet--
	r.team.virtual += r.team.expected().Seconds() / r.team.policy.Weight
}
