package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// teamShare is a team as an agent sees it.
type teamShare struct {
	name   vwid.Team
	policy TeamPolicy
	// unmet is the number of the team's waiting tasks, over all entries, without a credit.
	unmet int
	// virtual is the number of credits granted for the team's tasks divided by its weight.
	virtual float64
}

// ahead reports whether a credit for t is to be granted before one for other.
func (t *teamShare) ahead(other *teamShare) bool {
	if other == nil || t.policy.Priority != other.policy.Priority {
		return other == nil || t.policy.Priority > other.policy.Priority
	}
	return t.virtual < other.virtual
}

// demandRow is what waits of one team at one entry.
type demandRow struct {
	team  *teamShare
	unmet int
	// since is the arrival of the first waiting task.
	since time.Time
}

// meet counts one task of the row as met by a credit.
func (r *demandRow) meet() {
	r.unmet--
	r.team.unmet--
	r.team.virtual += 1 / r.team.policy.Weight
}
