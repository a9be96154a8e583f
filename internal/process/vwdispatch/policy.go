package vwdispatch

import "vanillawind.example/vanillawind/pkg/vwid"

// Policy holds the limits, shares and priorities of the teams as they apply to one entry.
type Policy struct {
	Teams map[vwid.Team]TeamPolicy
	// Default applies to teams that Teams does not name.
	Default TeamPolicy
	// QueueTasks and QueueBytes bound the whole queue.
	QueueTasks int
	QueueBytes int
	// OutOfService lists the data centres that are out of service.
	OutOfService map[vwid.DataCentre]bool
}

// TeamPolicy holds the rules for one team. A zero limit means no limit.
type TeamPolicy struct {
	// Weight is the team's share relative to other teams. A value of zero or less counts as 1.
	Weight float64
	// Priority ranks teams: a waiting task of a higher priority always starts first.
	Priority int
	// Quota bounds the team's tasks that are sent and not finished. Further ones wait.
	Quota int
	// InFlight bounds the team's tasks that are accepted and not finished. Further ones are refused.
	InFlight int
	// QueueTasks and QueueBytes bound the team's waiting tasks.
	QueueTasks int
	QueueBytes int
	// Rate bounds the accepted tasks per second. Burst is the size of the token bucket; zero means
	// the tokens of one second.
	Rate  float64
	Burst float64
}

func (p *Policy) team(team vwid.Team) TeamPolicy {
	found, ok := p.Teams[team]
	if !ok {
		found = p.Default
	}
	if found.Weight <= 0 {
		found.Weight = 1
	}
	if found.Burst <= 0 {
		found.Burst = found.Rate
	}
	return found
}
