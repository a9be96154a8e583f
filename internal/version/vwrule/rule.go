package vwrule

import (
	"strings"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// rule is one line of the file after its syntax was read.
type rule struct {
	kind Kind
	// names are the parts of the key after the kind.
	names []name
	// comment says who asked for the rule.
	comment string
	// text is the line as it was read, without its end.
	text     string
	line     int
	column   int
	settings []setting
}

// name is a part of a rule's key with its position.
type name struct {
	text   string
	column int
}

// setting is one field of a rule as it was written.
type setting struct {
	name   string
	text   string
	column int
	apply  apply
}

// scope is what a policy rule applies to. All stands for every service or team.
type scope struct {
	service vwid.Service
	team    vwid.Team
}

// key returns the rule's key as it is written in a file.
func (r *rule) key() string {
	parts := []string{string(r.kind)}
	for _, n := range r.names {
		parts = append(parts, n.text)
	}
	return strings.Join(parts, ".")
}

// scope returns what a rule of a policy kind applies to.
func (r *rule) scope() scope {
	return scope{service: vwid.Service(r.names[0].text), team: vwid.Team(r.names[1].text)}
}

// applyTo applies the fields of the rule to a draft.
func (r *rule) applyTo(d *draft) {
	for _, s := range r.settings {
		s.apply(d)
	}
}

// find returns the field called field, and false when the rule does not set it.
func (r *rule) find(field string) (setting, bool) {
	for _, s := range r.settings {
		if s.name == field {
			return s, true
		}
	}
	return setting{}, false
}

// table returns the inline table with the fields in the order of the file.
func (r *rule) table() string {
	if len(r.settings) == 0 {
		return "{}"
	}
	parts := make([]string, len(r.settings))
	for i, s := range r.settings {
		parts[i] = s.name + " = " + s.text
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

// String returns the rule as a line of the file.
func (r *rule) String() string {
	return r.key() + " = " + r.table() + " # " + r.comment
}
