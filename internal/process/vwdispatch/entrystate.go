package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// entryState is the state that an agent keeps for an entry.
type entryState struct {
	incarnation vwid.Incarnation
	dataCentre  vwid.DataCentre
	rows        []demandRow
	// ages holds the reported age of each row. SetDemand gets no current time, so Decide converts the
	// ages to firstArrival.
	ages []time.Duration
	// unmetDemand is the number of waiting tasks for which no credit is granted yet.
	unmetDemand int
	// outstandingCredits is the number of credits that the entry holds, and recalledCredits how many
	// of them are recalled and not returned yet.
	outstandingCredits int
	recalledCredits    int
	// newStandingCredits is the number of standing credits that the current decision grants.
	newStandingCredits int
	// lastGrant is when a credit was last granted to the entry.
	lastGrant time.Time
}

// clearDemand removes the recorded demand of the entry.
func (e *entryState) clearDemand() {
	for i := range e.rows {
		e.rows[i].team.unmetDemand -= e.rows[i].unmetDemand
	}
	e.rows, e.ages, e.unmetDemand = e.rows[:0], e.ages[:0], 0
}

// setDemand records the demand of the entry. An entry uses the credits that it holds before it
// reports demand, so outstanding credits are in flight to it and will meet a part of the demand.
func (e *entryState) setDemand(teams []vwmessage.TeamDemand, share func(vwid.Team) *teamShare) {
	waiting := 0
	for _, d := range teams {
		waiting += max(0, d.Waiting)
	}
	met := min(e.outstandingCredits, waiting)
	for _, d := range teams {
		if d.Waiting <= 0 {
			continue
		}
		row := demandRow{team: share(d.Team), unmetDemand: d.Waiting - met*d.Waiting/waiting}
		row.team.unmetDemand += row.unmetDemand
		e.unmetDemand += row.unmetDemand
		e.rows = append(e.rows, row)
		e.ages = append(e.ages, time.Duration(d.OldestMilliseconds)*time.Millisecond)
	}
}

// setArrivals converts the reported ages to arrival times.
func (e *entryState) setArrivals(now time.Time) {
	for i, age := range e.ages {
		e.rows[i].firstArrival = now.Add(-age)
	}
	e.ages = e.ages[:0]
}

// takeGrants appends the credits that the current decision grants to the entry, and resets them.
func (e *entryState) takeGrants(actions []Action) []Action {
	for i := range e.rows {
		if row := &e.rows[i]; row.newCredits > 0 {
			actions = append(actions, Action{Entry: e.incarnation, Team: row.team.name, Grant: row.newCredits})
			row.newCredits = 0
		}
	}
	if e.newStandingCredits > 0 {
		actions = append(actions, Action{Entry: e.incarnation, Grant: e.newStandingCredits})
		e.newStandingCredits = 0
	}
	return actions
}

// unmetRow returns the team's row if it has unmet demand, or nil.
func (e *entryState) unmetRow(team *teamShare) *demandRow {
	for i := range e.rows {
		if e.rows[i].team == team && e.rows[i].unmetDemand > 0 {
			return &e.rows[i]
		}
	}
	return nil
}
