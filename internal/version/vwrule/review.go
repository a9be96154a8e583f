package vwrule

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Severity says whether a configuration with a finding can be used.
type Severity string

// The severities.
const (
	// SeverityError means that the configuration is refused or changes nothing.
	SeverityError Severity = "error"
	// SeverityWarning means that a part of it has no effect, or one that is hardly meant.
	SeverityWarning Severity = "warning"
)

// Matter is what a finding is about.
type Matter string

// The matters.
const (
	MatterRefused       Matter = "Refused"
	MatterNeverMatches  Matter = "NeverMatches"
	MatterContradiction Matter = "Contradiction"
	MatterAdjusted      Matter = "Adjusted"
)

// Finding is a result of a check of a configuration.
type Finding struct {
	Severity Severity
	Matter   Matter
	// Line counts from one; zero when the configuration has no lines of entries.
	Line int `json:",omitempty"`
	// Entry is the key of the entry; empty for the whole configuration.
	Entry string `json:",omitempty"`
	// Message says what is wrong, and Suggestion what to write instead.
	Message    string
	Suggestion string
}

// Text returns the finding on one line, in the form that editors recognise as a position.
func (f *Finding) Text(file string) string {
	place := file
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", file, f.Line)
	}
	entry := ""
	if f.Entry != "" {
		entry = f.Entry + ": "
	}
	return fmt.Sprintf("%s: %s: %s%s; %s", place, f.Severity, entry, f.Message, f.Suggestion)
}

// Review returns what rules that Parse accepts still leave without effect: entries that never match, and values that
// make others meaningless. All are warnings, in the order of the text.
func Review(rules *Rules) []Finding {
	r := reviewer{rules: rules, byKey: rules.byKey()}
	r.reviewRoutes()
	r.reviewDataCentres()
	r.reviewIntake()
	for _, rule := range rules.rules {
		r.reviewLimit(rule)
		r.reviewOverridden(rule)
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Message, b.Message)) })
	return r.findings
}

type reviewer struct {
	rules    *Rules
	byKey    map[string]*rule
	findings []Finding
}

func (r *reviewer) warn(rule *rule, matter Matter, message, suggestion string) {
	r.findings = append(r.findings, Finding{SeverityWarning, matter, rule.line, rule.key(), message, suggestion})
}

// reviewRoutes reports routes that no request matches, or whose requests time out before they are late, and services to which none leads.
func (r *reviewer) reviewRoutes() {
	served := map[vwid.Service]bool{}
	for host, routes := range r.rules.routes {
		for i := range routes {
			route := &routes[i]
			served[route.Service] = true
			own := r.byKey[string(KindRoute)+"."+route.Name]
			if name, _, err := net.SplitHostPort(host); err == nil {
				r.warn(own, MatterNeverMatches, "no request matches the host "+host+", because hosts are compared without their port", "write "+name)
			}
			if strings.Contains(route.Prefix, "%") {
				r.warn(own, MatterNeverMatches, "paths are compared after percent-encoded characters are decoded", "write the characters themselves in the prefix "+route.Prefix)
			}
			if route.Target >= route.Timeout {
				r.warn(own, MatterContradiction, fmt.Sprintf("the target %v is not below the timeout %v, so a request times out before it is late", route.Target, route.Timeout),
					fmt.Sprintf("set a timeout above %v or a target below %v", route.Target, route.Timeout))
			}
		}
	}
	for service := range r.rules.services {
		if len(r.rules.routes) > 0 && !served[service] {
			r.warn(r.byKey[string(KindService)+"."+string(service)], MatterNeverMatches, "no route leads to the service", "add a route to it or delete it")
		}
	}
}

// reviewDataCentres reports that nothing can start anywhere.
func (r *reviewer) reviewDataCentres() {
	if len(r.rules.out) == 0 || len(r.rules.out) < len(r.rules.dataCentres) {
		return
	}
	first := slices.Min(r.rules.Out())
	r.warn(r.byKey[string(KindOut)+"."+string(first)], MatterContradiction, "all data centres are out of service, so nothing starts", "delete the line of one that can serve")
}

func (r *reviewer) reviewIntake() {
	own, set := r.byKey[string(KindIntake)+"."+All]
	if intake := r.rules.intake; set && intake.HeaderBytes > intake.BodyBytes {
		r.warn(own, MatterContradiction, fmt.Sprintf("the header of a request may have %v and its body only %v", intake.HeaderBytes, intake.BodyBytes), "check whether the two are exchanged")
	}
}

// reviewLimit reports a queue that can never be as long as its limit, because waiting tasks count as tasks in flight.
func (r *reviewer) reviewLimit(own *rule) {
	if own.kind != KindLimit {
		return
	}
	_, setsFlight := own.find("InFlight")
	_, setsQueue := own.find("QueueLength")
	d := draft{}
	own.applyTo(&d)
	if limits := d.policy.Limits; setsFlight && setsQueue && limits.InFlight < limits.QueueLength {
		r.warn(own, MatterContradiction, fmt.Sprintf("QueueLength = %d is never reached, because waiting tasks count as in flight and InFlight = %d", limits.QueueLength, limits.InFlight),
			fmt.Sprintf("set QueueLength to at most %d or delete it", limits.InFlight))
	}
}

// reviewOverridden reports fields of a rule for All that a rule of each declared service or team sets, too.
func (r *reviewer) reviewOverridden(own *rule) {
	if !own.kind.isPolicy() {
		return
	}
	narrower := r.narrowerScopes(own.scope())
	for _, field := range own.settings {
		overridden := len(narrower) > 0 && !slices.ContainsFunc(narrower, func(s scope) bool {
			other := r.byKey[string(own.kind)+"."+s.String()]
			if other == nil {
				return true
			}
			_, sets := other.find(field.name)
			return !sets
		})
		if overridden {
			r.warn(own, MatterNeverMatches, fmt.Sprintf("%s never applies, because %s and all others of its kind set their own", field.name, narrower[0]), "delete the field or those of single ones")
		}
	}
}

// narrowerScopes returns the scopes that together are all of a scope; none if other services or teams are allowed.
func (r *reviewer) narrowerScopes(s scope) []scope {
	var narrower []scope
	switch {
	case s.service == All:
		for _, service := range r.rules.Services() {
			narrower = append(narrower, scope{service, All})
		}
	case s.team == All:
		for _, team := range r.rules.Teams() {
			narrower = append(narrower, scope{s.service, team})
		}
	}
	return narrower
}
