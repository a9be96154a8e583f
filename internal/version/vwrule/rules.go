// Package vwrule reads the operators' rules file.
//
// The file is TOML with one rule a line, and each line is an inline table with a comment that says who
// asked for the rule:
//
//	Service.muotoilu = {}                     # Aino Salo: the formatting service
//	Team.gradu = {}                           # Aino Salo: thesis writers
//	DataCentre.keskus = {}                    # Onni Laine
//	Share.muotoilu.gradu = { Weight = 3 }     # Aino Salo: board decision of 2 March
//	Deadline.muotoilu.All = { Maximum = "30s" } # Onni Laine
//	Out.keskus = {}                           # Onni Laine: power work
//
// The name All stands for every team of a service, and Kind.All.All for every team of every service. The
// most specific rule that sets a field wins. Names of a kind that has no declaration are all allowed, so
// an empty file permits everything.
package vwrule

import (
	"maps"
	"slices"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Rules are the rules of one version of the configuration. They do not change and are safe for
// concurrent use.
type Rules struct {
	rules       []*rule
	services    map[vwid.Service]bool
	teams       map[vwid.Team]bool
	dataCentres map[vwid.DataCentre]bool
	out         map[vwid.DataCentre]bool
	// policies holds the effective policy of each scope that a rule names.
	policies map[scope]TeamPolicy
	// editions holds the number of the newest edition of each source of rules.
	editions map[string]uint64
	backends map[vwid.Service]Backend
	intake   Intake
	// routes holds the routes of each host, the longest prefix first.
	routes map[string][]Route
}

// Empty returns the rules of an empty file, which permit everything.
func Empty() *Rules {
	return &Rules{
		services:    map[vwid.Service]bool{},
		teams:       map[vwid.Team]bool{},
		dataCentres: map[vwid.DataCentre]bool{},
		out:         map[vwid.DataCentre]bool{},
		policies:    map[scope]TeamPolicy{{All, All}: DefaultPolicy()},
		editions:    map[string]uint64{},
		backends:    map[vwid.Service]Backend{},
		intake:      defaultIntake,
		routes:      map[string][]Route{},
	}
}

// Team returns what applies to a team at a service. It allocates nothing. For a service or team that is
// not allowed it returns the policy that an allowed one without own rules would have.
func (r *Rules) Team(service vwid.Service, team vwid.Team) TeamPolicy {
	if policy, found := r.policies[scope{service, team}]; found {
		return policy
	}
	if policy, found := r.policies[scope{service, All}]; found {
		return policy
	}
	return r.policies[scope{All, All}]
}

// IsOut reports whether a data centre is out of service: nothing may start there.
func (r *Rules) IsOut(dataCentre vwid.DataCentre) bool {
	return r.out[dataCentre]
}

// AllowsService reports whether tasks of a service may be accepted.
func (r *Rules) AllowsService(service vwid.Service) bool {
	return len(r.services) == 0 || r.services[service]
}

// AllowsTeam reports whether tasks of a team may be accepted.
func (r *Rules) AllowsTeam(team vwid.Team) bool {
	return len(r.teams) == 0 || r.teams[team]
}

// AllowsDataCentre reports whether the file declares a data centre or declares none at all.
func (r *Rules) AllowsDataCentre(dataCentre vwid.DataCentre) bool {
	return len(r.dataCentres) == 0 || r.dataCentres[dataCentre]
}

// Services returns the declared services in order. None means that all are allowed.
func (r *Rules) Services() []vwid.Service {
	return slices.Sorted(maps.Keys(r.services))
}

// Teams returns the declared teams in order. None means that all are allowed.
func (r *Rules) Teams() []vwid.Team {
	return slices.Sorted(maps.Keys(r.teams))
}

// DataCentres returns the declared data centres in order.
func (r *Rules) DataCentres() []vwid.DataCentre {
	return slices.Sorted(maps.Keys(r.dataCentres))
}

// Out returns the data centres that are out of service, in order.
func (r *Rules) Out() []vwid.DataCentre {
	return slices.Sorted(maps.Keys(r.out))
}

// resolve computes the policy of a scope from the rules of its parents and its own.
func (r *Rules) resolve(own scope, byScope map[scope][]*rule) TeamPolicy {
	d := draft{policy: DefaultPolicy()}
	limited := false
	for _, s := range own.chain() {
		for _, rule := range byScope[s] {
			_, sets := rule.find("Default")
			limited = limited || sets
			rule.applyTo(&d)
		}
	}
	if !limited {
		d.policy.Deadlines.Default = min(d.policy.Deadlines.Default, d.policy.Deadlines.Maximum)
	}
	return d.policy
}

// chain returns the scopes that contain s, the widest first and s itself last.
func (s scope) chain() []scope {
	chain := []scope{{All, All}}
	if s.service != All {
		chain = append(chain, scope{s.service, All})
	}
	if s.team != All {
		chain = append(chain, s)
	}
	return chain
}

// byLine returns the rules by the text of their line.
func (r *Rules) byLine() map[string]*rule {
	known := make(map[string]*rule, len(r.rules))
	for _, rule := range r.rules {
		known[rule.text] = rule
	}
	return known
}

// Len returns the number of rules in the file.
func (r *Rules) Len() int {
	return len(r.rules)
}
