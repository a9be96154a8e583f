package vwrule

import (
	"cmp"
	"fmt"
	"slices"
)

// Diff returns one line for each rule that differs: "+" for an added one, "-" for a removed one and "~"
// for a changed one. It is empty when both files say the same, whatever their order and spacing.
func Diff(older, newer *Rules) []string {
	before, after := older.byKey(), newer.byKey()
	changed := make([]*rule, 0, len(before))
	for key, r := range before {
		if _, kept := after[key]; !kept {
			changed = append(changed, r)
		}
	}
	for _, r := range after {
		changed = append(changed, r)
	}
	slices.SortFunc(changed, compareRules)
	var lines []string
	for _, r := range changed {
		if line := diffRule(before[r.key()], after[r.key()]); line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

func diffRule(before, after *rule) string {
	switch {
	case before == nil:
		return "+ " + after.String()
	case after == nil:
		return "- " + before.String()
	case before.sorted() != after.sorted():
		return fmt.Sprintf("~ %s: %s -> %s # %s", after.key(), before.table(), after.table(), after.comment)
	case before.comment != after.comment:
		return fmt.Sprintf("~ %s: comment %q -> %q", after.key(), before.comment, after.comment)
	default:
		return ""
	}
}

// sorted returns the table with its fields in a fixed order, for comparison.
func (r *rule) sorted() string {
	ordered := *r
	ordered.settings = slices.SortedFunc(slices.Values(r.settings), func(a, b setting) int { return cmp.Compare(a.name, b.name) })
	return ordered.table()
}

func (r *Rules) byKey() map[string]*rule {
	index := make(map[string]*rule, len(r.rules))
	for _, rule := range r.rules {
		index[rule.key()] = rule
	}
	return index
}

func compareRules(a, b *rule) int {
	return cmp.Or(cmp.Compare(slices.Index(kinds, a.kind), slices.Index(kinds, b.kind)), cmp.Compare(a.key(), b.key()))
}
