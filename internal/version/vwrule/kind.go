package vwrule

import (
	"fmt"
	"math"
	"time"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Kind is the first part of a rule's key.
type Kind string

// The kinds of rules.
const (
	KindService     Kind = "Service"
	KindTeam        Kind = "Team"
	KindDataCentre  Kind = "DataCentre"
	KindOut         Kind = "Out"
	KindShare       Kind = "Share"
	KindPriority    Kind = "Priority"
	KindQuota       Kind = "Quota"
	KindLimit       Kind = "Limit"
	KindDeadline    Kind = "Deadline"
	KindRetryBudget Kind = "RetryBudget"
)

// All is the name that stands for every service or every team in the key of a rule.
const All = "All"

// kinds are all kinds in the order in which Diff lists them.
var kinds = []Kind{
	KindService, KindTeam, KindDataCentre, KindOut, KindShare, KindPriority, KindQuota, KindLimit,
	KindDeadline, KindRetryBudget,
}

// field is one field of a kind of rule. Its read method checks a value and returns how it changes a policy.
type field struct {
	kind Kind
	name string
	// want describes the accepted values, for suggestions.
	want string
	// example is an accepted value as it is written in a file.
	example string
	read    func(value any) (apply, bool)
}

// apply changes a policy by one field of a rule.
type apply func(*TeamPolicy)

// fields are the fields of all kinds. Kinds without fields are declarations and Out.
var fields = []field{
	{KindShare, "Weight", "a whole number from 1 to 1000000", "2", wholeField(1, 1_000_000, func(p *TeamPolicy, n int) { p.Weight = n })},
	{KindPriority, "Level", "a whole number from 1 (last) to 9 (first)", "7", wholeField(MinPriority, MaxPriority, func(p *TeamPolicy, n int) { p.Priority = n })},
	{KindQuota, "Slots", "a whole number of slots, at least 1", "40", wholeField(1, math.MaxInt32, func(p *TeamPolicy, n int) { p.Quota = n })},
	{KindLimit, "Rate", "a number of tasks per second above 0", "500", numberField(math.SmallestNonzeroFloat64, 1e9, func(p *TeamPolicy, n float64) { p.Limits.Rate = n })},
	{KindLimit, "InFlight", "a whole number of tasks, at least 1", "900", wholeField(1, math.MaxInt32, func(p *TeamPolicy, n int) { p.Limits.InFlight = n })},
	{KindLimit, "QueueLength", "a whole number of tasks, at least 1", "100000", wholeField(1, math.MaxInt32, func(p *TeamPolicy, n int) { p.Limits.QueueLength = n })},
	{KindLimit, "QueueBytes", "a string with B, KiB, MiB or GiB, at least \"1B\"", `"64MiB"`, bytesField(func(p *TeamPolicy, n vwunit.Bytes) { p.Limits.QueueBytes = n })},
	{KindDeadline, "Default", "a string from \"1ms\" to \"5m\"", `"2s"`, durationField(func(p *TeamPolicy, d time.Duration) { p.Deadlines.Default = d })},
	{KindDeadline, "Maximum", "a string from \"1ms\" to \"5m\"", `"30s"`, durationField(func(p *TeamPolicy, d time.Duration) { p.Deadlines.Maximum = d })},
	{KindRetryBudget, "Ratio", "a number from 0 to 1", "0.1", numberField(0, 1, func(p *TeamPolicy, n float64) { p.RetryBudget.Ratio = n })},
	{KindRetryBudget, "PerSecond", "a number of retries, at least 0", "10", numberField(0, 1e9, func(p *TeamPolicy, n float64) { p.RetryBudget.PerSecond = n })},
}

// isKnown reports whether k is one of kinds.
func (k Kind) isKnown() bool {
	for _, known := range kinds {
		if k == known {
			return true
		}
	}
	return false
}

// isDeclaration reports whether rules of kind k declare a name.
func (k Kind) isDeclaration() bool {
	return k == KindService || k == KindTeam || k == KindDataCentre
}

// isPolicy reports whether rules of kind k name a service and a team.
func (k Kind) isPolicy() bool {
	return k.isKnown() && !k.isDeclaration() && k != KindOut
}

// fields returns the fields of kind k.
func (k Kind) fields() []field {
	var own []field
	for _, f := range fields {
		if f.kind == k {
			own = append(own, f)
		}
	}
	return own
}

// keyShape returns the form of the keys of kind k.
func (k Kind) keyShape() string {
	if k.isPolicy() {
		return string(k) + ".Service.Team"
	}
	return string(k) + ".Name"
}

// example returns a whole line of kind k.
func (k Kind) example() string {
	table := "{}"
	if k.isPolicy() {
		first := k.fields()[0]
		table = fmt.Sprintf("{ %s = %s }", first.name, first.example)
	}
	return fmt.Sprintf("%s = %s # who asked for it", k.keyShape(), table)
}

func wholeField(least, most int64, set func(*TeamPolicy, int)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		n, whole := value.(int64)
		return func(p *TeamPolicy) { set(p, int(n)) }, whole && n >= least && n <= most
	}
}

func numberField(least, most float64, set func(*TeamPolicy, float64)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		n, isFloat := value.(float64)
		if whole, isWhole := value.(int64); isWhole {
			n, isFloat = float64(whole), true
		}
		return func(p *TeamPolicy) { set(p, n) }, isFloat && n >= least && n <= most
	}
}

func bytesField(set func(*TeamPolicy, vwunit.Bytes)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		text, isText := value.(string)
		n, err := vwunit.ParseBytes(text)
		return func(p *TeamPolicy) { set(p, n) }, isText && err == nil && n > 0
	}
}

func durationField(set func(*TeamPolicy, time.Duration)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		text, isText := value.(string)
		d, err := time.ParseDuration(text)
		return func(p *TeamPolicy) { set(p, d) }, isText && err == nil && d >= time.Millisecond && d <= MaxDeadline
	}
}
