package vwdispatch

import (
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// MakePolicy returns the policy of one service. Amounts that the rules state for the whole cluster
// are divided by the number of entries.
func MakePolicy(rules *vwrule.Rules, service vwid.Service, entries int) Policy {
	policy := Policy{
		Teams:        map[vwid.Team]TeamPolicy{},
		Default:      makeTeamPolicy(rules.Team(service, "").PerEntry(entries)),
		OutOfService: map[vwid.DataCentre]bool{},
	}
	for _, team := range rules.Teams() {
		policy.Teams[team] = makeTeamPolicy(rules.Team(service, team).PerEntry(entries))
	}
	for _, dataCentre := range rules.Out() {
		policy.OutOfService[dataCentre] = true
	}
	return policy
}

func makeTeamPolicy(p vwrule.TeamPolicy) TeamPolicy {
	return TeamPolicy{
		Weight:     float64(p.Weight),
		Priority:   p.Priority,
		Quota:      p.Quota,
		InFlight:   p.Limits.InFlight,
		QueueTasks: p.Limits.QueueLength,
		QueueBytes: int(p.Limits.QueueBytes),
		Rate:       p.Limits.Rate,
	}
}
