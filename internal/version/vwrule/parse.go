package vwrule

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2/unstable"

	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwsuggest"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// MaxText bounds the size of a rules file. A route takes about 250 bytes, and 33 teams with a rule of every kind at
// four services 55 KiB (BenchmarkParse).
const MaxText = 4 * vwunit.MiB

// Parse reads and checks a rules file. File is the name that faults show. When the text has faults it
// returns an ErrRules with all of them.
func Parse(file string, text []byte) (*Rules, error) {
	return ParseNext(file, text, Empty())
}

// ParseNext returns what Parse returns, and reads only the lines that the rules of an earlier text do not have. To read the
// lines takes most of the time.
func ParseNext(file string, text []byte, earlier *Rules) (*Rules, error) {
	if err := checkSize(file, text); err != nil {
		return nil, err
	}
	c := checker{file: file, rules: Empty(), byKey: map[string]*rule{}, byScope: map[scope][]*rule{}, routeNames: map[routePlace]string{}}
	c.readLines(text, earlier.byLine())
	c.checkAll()
	if len(c.faults) > 0 {
		sortFaults(c.faults)
		return nil, trace.Wrap(ErrRules{Faults: c.faults})
	}
	return c.rules, nil
}

// checkSize returns an ErrRules if the text is longer than MaxText.
func checkSize(file string, text []byte) error {
	if len(text) <= int(MaxText) {
		return nil
	}
	fault := Fault{file, 1, 1, fmt.Sprintf("the file has %d bytes, more than %v", len(text), MaxText), "replace rules of single teams by rules for All"}
	return trace.Wrap(ErrRules{Faults: []Fault{fault}})
}

// checker collects the rules of one file and checks them against each other.
type checker struct {
	file    string
	rules   *Rules
	byKey   map[string]*rule
	byScope map[scope][]*rule
	// routeNames has the names of the routes by what they answer for.
	routeNames map[routePlace]string
	faults     []Fault
}

// readLines adds the rules of all lines. Known has rules by the text of their line.
func (c *checker) readLines(text []byte, known map[string]*rule) {
	number := 0
	var parser unstable.Parser
	for line := range bytes.Lines(text) {
		number++
		line = trimLineEnd(line)
		if same, found := known[string(line)]; found {
			moved := *same
			moved.line = number
			c.add(&moved)
			continue
		}
		reader := lineReader{file: c.file, number: number, text: line, parser: &parser}
		if r := reader.read(); r != nil {
			r.text = string(line)
			c.add(r)
		}
		c.faults = append(c.faults, reader.faults...)
	}
}

// trimLineEnd removes the line ending. A carriage return alone does not end a line in TOML.
func trimLineEnd(line []byte) []byte {
	if trimmed, found := bytes.CutSuffix(line, []byte("\r\n")); found {
		return trimmed
	}
	return bytes.TrimSuffix(line, []byte("\n"))
}

// add enters a rule into the lookup tables unless its key is a duplicate.
func (c *checker) add(r *rule) {
	if first, found := c.byKey[r.key()]; found {
		c.report(r, r.column, fmt.Sprintf("%s is already set on line %d", r.key(), first.line), "keep one of the two lines and delete the other")
		return
	}
	c.byKey[r.key()] = r
	c.rules.rules = append(c.rules.rules, r)
	switch {
	case r.kind.isPolicy():
		c.byScope[r.scope()] = append(c.byScope[r.scope()], r)
	case !r.kind.isDetail():
		c.declare(r)
	}
}

func (c *checker) declare(r *rule) {
	declared := r.names[0]
	if declared.text == All {
		c.report(r, declared.column, "All stands for every service or team and is not a name", "write "+r.kind.example()+", with one line for each name")
		return
	}
	switch r.kind {
	case KindService:
		c.rules.services[vwid.Service(declared.text)] = true
	case KindTeam:
		c.rules.teams[vwid.Team(declared.text)] = true
	case KindDataCentre:
		c.rules.dataCentres[vwid.DataCentre(declared.text)] = true
	default:
		c.rules.out[vwid.DataCentre(declared.text)] = true
	}
}

func (c *checker) checkAll() {
	for _, r := range c.rules.rules {
		c.checkNames(r)
	}
	scopes := map[scope]bool{{All, All}: true}
	for s := range c.byScope {
		scopes[s] = true
	}
	for s := range scopes {
		c.rules.policies[s] = c.rules.resolve(s, c.byScope)
	}
	for _, r := range c.rules.rules {
		c.checkDeadline(r)
		c.checkQuota(r)
		c.addDetail(r)
	}
	c.rules.sortRoutes()
}

// checkNames reports names that the file does not declare.
func (c *checker) checkNames(r *rule) {
	switch {
	case r.kind == KindOut && r.names[0].text != All:
		checkDeclared(c, r, r.names[0], KindDataCentre, c.rules.dataCentres)
	case r.kind == KindBackend:
		checkDeclared(c, r, r.names[0], KindService, c.rules.services)
	case r.kind == KindIntake && r.names[0].text != All:
		c.report(r, r.names[0].column, "an intake rule is for every entry", "write "+string(KindIntake)+"."+All)
	case r.kind.isPolicy():
		c.checkScope(r)
	}
}

func (c *checker) checkScope(r *rule) {
	service, team := r.names[0], r.names[1]
	if service.text == All && team.text != All {
		c.report(r, service.column, fmt.Sprintf("a rule for every service cannot be for the single team %s", team.text),
			fmt.Sprintf("write %s.All.All, or one line for each service", r.kind))
		return
	}
	if service.text != All {
		checkDeclared(c, r, service, KindService, c.rules.services)
	}
	if team.text != All {
		checkDeclared(c, r, team, KindTeam, c.rules.teams)
	}
}

// checkDeclared reports a name that no rule of the declaring kind declares.
func checkDeclared[N ~string](c *checker, r *rule, n name, kind Kind, declared map[N]bool) {
	if declared[N(n.text)] {
		return
	}
	suggestion := fmt.Sprintf("add the line %s.%s = {} # who asked for it", kind, n.text)
	if len(declared) > 0 {
		known := make([]string, 0, len(declared))
		for _, d := range slices.Sorted(maps.Keys(declared)) {
			known = append(known, string(d))
		}
		suggestion = vwsuggest.Name(n.text, known) + ", or " + suggestion
	}
	c.report(r, n.column, fmt.Sprintf("no line declares %s.%s", kind, n.text), suggestion)
}

// checkDeadline reports a default deadline that is longer than the longest permitted one.
func (c *checker) checkDeadline(r *rule) {
	if r.kind != KindDeadline {
		return
	}
	if d := c.rules.policies[r.scope()].Deadlines; d.Default > d.Maximum {
		c.report(r, r.column, fmt.Sprintf("for %s the default deadline %v is longer than the maximum %v", r.scope(), d.Default, d.Maximum),
			fmt.Sprintf("set Default to at most \"%v\" or Maximum to at least \"%v\" on this line", d.Maximum, d.Default))
	}
}

// checkQuota reports a limit of tasks in flight that keeps the team from ever using its quota.
func (c *checker) checkQuota(r *rule) {
	if !c.ownsQuota(r) {
		return
	}
	p := c.rules.policies[r.scope()]
	if p.Quota > 0 && p.Limits.InFlight > 0 && p.Limits.InFlight < p.Quota {
		c.report(r, r.column, fmt.Sprintf("for %s the limit InFlight = %d is below the quota Slots = %d, which can never be used", r.scope(), p.Limits.InFlight, p.Quota),
			fmt.Sprintf("set InFlight to at least %d or Slots to at most %d", p.Quota, p.Limits.InFlight))
	}
}

// ownsQuota reports whether r is the rule of its scope at which a conflict of quota and limit is
// reported: the limit when it sets InFlight, otherwise the quota.
func (c *checker) ownsQuota(r *rule) bool {
	if r.kind == KindLimit {
		_, sets := r.find("InFlight")
		return sets
	}
	if r.kind != KindQuota {
		return false
	}
	limit, found := c.byKey[fmt.Sprintf("%s.%s", KindLimit, r.scope())]
	return !found || !c.ownsQuota(limit)
}

func (c *checker) report(r *rule, column int, message, suggestion string) {
	c.faults = append(c.faults, Fault{File: c.file, Line: r.line, Column: column, Message: message, Suggestion: suggestion})
}

// String returns the scope as it appears in a key.
func (s scope) String() string {
	return string(s.service) + "." + string(s.team)
}
