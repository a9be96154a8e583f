package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// entryState is an entry as an agent sees it.
type entryState struct {
	incarnation vwid.Incarnation
	dataCentre  vwid.DataCentre
	rows        []demandRow
	// ages holds the age of each row until the next decision turns it into a time.
	ages []time.Duration
	// unmet is the number of waiting tasks for which no credit is granted yet.
	unmet int
	// outstanding is the number of credits that the entry holds, and recalling how many of them
	// are asked back.
	outstanding int
	recalling   int
	// grant is the number of standing credits to grant with the present decision.
	grant int
	// granted is when the entry got its last credit.
	granted time.Time
}

// clear forgets what waits at the entry.
func (e *entryState) clear() {
	for i := range e.rows {
		e.rows[i].team.unmet -= e.rows[i].unmet
	}
	e.rows, e.ages, e.unmet = e.rows[:0], e.ages[:0], 0
}

// set records what waits at the entry. An entry uses the credits that it holds before it reports
// demand, so those that are still outstanding are on the way to it and will meet a part of it.
func (e *entryState) set(teams []vwmessage.TeamDemand, share func(vwid.Team) *teamShare) {
	waiting := 0
	for _, d := range teams {
		waiting += max(0, d.Waiting)
	}
	met := min(e.outstanding, waiting)
	for _, d := range teams {
		if d.Waiting <= 0 {
			continue
		}
		row := demandRow{team: share(d.Team), unmet: d.Waiting - met*d.Waiting/waiting}
		row.team.unmet += row.unmet
		e.unmet += row.unmet
		e.rows = append(e.rows, row)
		e.ages = append(e.ages, time.Duration(d.OldestMilliseconds)*time.Millisecond)
	}
}

// stamp turns the reported ages into times.
func (e *entryState) stamp(now time.Time) {
	for i, age := range e.ages {
		e.rows[i].since = now.Add(-age)
	}
	e.ages = e.ages[:0]
}

// takeGrants appends the credits that the present decision grants to the entry.
func (e *entryState) takeGrants(actions []Action) []Action {
	for i := range e.rows {
		if row := &e.rows[i]; row.grant > 0 {
			actions = append(actions, Action{Entry: e.incarnation, Team: row.team.name, Grant: row.grant})
			row.grant = 0
		}
	}
	if e.grant > 0 {
		actions = append(actions, Action{Entry: e.incarnation, Grant: e.grant})
		e.grant = 0
	}
	return actions
}

// row returns the row of the team with unmet demand, or nil.
func (e *entryState) row(team *teamShare) *demandRow {
	for i := range e.rows {
		if e.rows[i].team == team && e.rows[i].unmet > 0 {
			return &e.rows[i]
		}
	}
	return nil
}
