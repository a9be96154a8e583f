package vwrule

import (
	"fmt"
	"math"
	"strings"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
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
	KindEdition     Kind = "Edition"
	KindRoute       Kind = "Route"
	KindBackend     Kind = "Backend"
	KindIntake      Kind = "Intake"
)

// All is the name that stands for every service or every team in the key of a rule.
const All = "All"

// kinds are all kinds in the order in which Diff lists them.
var kinds = []Kind{
	KindService, KindTeam, KindDataCentre, KindOut, KindShare, KindPriority, KindQuota, KindLimit,
	KindDeadline, KindRetryBudget, KindEdition, KindBackend, KindRoute, KindIntake,
}

// field is one field of a kind of rule. Its read method checks a value and returns how it changes a draft.
type field struct {
	kind Kind
	name string
	// want describes the accepted values, for suggestions.
	want string
	// example is an accepted value as it is written in a file.
	example string
	read    func(value any) (apply, bool)
}

// draft is what the fields of rules are applied to. A rule changes the part that belongs to its kind.
type draft struct {
	policy  TeamPolicy
	edition uint64
	route   Route
	backend Backend
	intake  Intake
}

// apply changes a draft by one field of a rule.
type apply func(*draft)

// fields are the fields of all kinds. Kinds without fields are declarations and Out.
var fields = []field{
	{KindShare, "Weight", "a whole number from 1 to 1000000", "2", wholeField(1, 1_000_000, func(d *draft, n int) { d.policy.Weight = n })},
	{KindPriority, "Level", "a whole number from 1 (last) to 9 (first)", "7", wholeField(MinPriority, MaxPriority, func(d *draft, n int) { d.policy.Priority = n })},
	{KindQuota, "Slots", "a whole number of slots, at least 1", "40", wholeField(1, math.MaxInt32, func(d *draft, n int) { d.policy.Quota = n })},
	{KindLimit, "Rate", "a number of tasks per second above 0", "500", numberField(math.SmallestNonzeroFloat64, 1e9, func(d *draft, n float64) { d.policy.Limits.Rate = n })},
	{KindLimit, "InFlight", "a whole number of tasks, at least 1", "900", wholeField(1, math.MaxInt32, func(d *draft, n int) { d.policy.Limits.InFlight = n })},
	{KindLimit, "QueueLength", "a whole number of tasks, at least 1", "100000", wholeField(1, math.MaxInt32, func(d *draft, n int) { d.policy.Limits.QueueLength = n })},
	{KindLimit, "QueueBytes", "a string with B, KiB, MiB or GiB, at least \"1B\"", `"64MiB"`, bytesField(func(d *draft, n vwunit.Bytes) { d.policy.Limits.QueueBytes = n })},
	{KindDeadline, "Default", "a string from \"1ms\" to \"5m\"", `"2s"`, durationField(MaxDeadline, func(d *draft, t time.Duration) { d.policy.Deadlines.Default = t })},
	{KindDeadline, "Maximum", "a string from \"1ms\" to \"5m\"", `"30s"`, durationField(MaxDeadline, func(d *draft, t time.Duration) { d.policy.Deadlines.Maximum = t })},
	{KindRetryBudget, "Ratio", "a number from 0 to 1", "0.1", numberField(0, 1, func(d *draft, n float64) { d.policy.RetryBudget.Ratio = n })},
	{KindRetryBudget, "PerSecond", "a number of retries, at least 0", "10", numberField(0, 1e9, func(d *draft, n float64) { d.policy.RetryBudget.PerSecond = n })},
	{KindEdition, "Number", "a whole number, at least 0", "7", wholeField(0, math.MaxInt64, func(d *draft, n int) { d.edition = uint64(n) })},
	{KindBackend, "GuardsCapacity", "true or false", "true", flagField(func(d *draft, b bool) { d.backend.GuardsCapacity = b })},
	{KindBackend, "Connections", "a whole number of connections, at least 1", "64", wholeField(1, math.MaxInt32, func(d *draft, n int) { d.backend.Connections = n })},
	{KindRoute, "Host", "the host name of requests", `"example.org"`, textField(isHost, func(d *draft, s string) { d.route.Host = s })},
	{KindRoute, "Prefix", "the beginning of paths, with a / first", `"/theses/"`, textField(isPath, func(d *draft, s string) { d.route.Prefix = s })},
	{KindRoute, "Service", "the name of a declared service", `"Service"`, textField(IsName, func(d *draft, s string) { d.route.Service = vwid.Service(s) })},
	{KindRoute, "Level", "a whole number from 1 (last) to 9 (first)", "7", wholeField(MinPriority, MaxPriority, func(d *draft, n int) { d.route.Level = n })},
	{KindRoute, "Timeout", "a string from \"1ms\" to \"24h\"", `"1500ms"`, durationField(maxRouteTimeout, func(d *draft, t time.Duration) { d.route.Timeout = t })},
	{KindRoute, "Target", "a string from \"1ms\" to \"24h\"", `"60ms"`, durationField(maxRouteTimeout, func(d *draft, t time.Duration) { d.route.Target = t })},
	{KindRoute, "Slowdown", "a number, at least 1", "1.6", numberField(1, 1e6, func(d *draft, n float64) { d.route.Slowdown = n })},
	{KindRoute, "Attempts", "a whole number, at least 1", "3", wholeField(1, math.MaxInt32, func(d *draft, n int) { d.route.Attempts = n })},
	{KindRoute, "Idempotent", "true or false", "false", flagField(func(d *draft, b bool) { d.route.Idempotent = b })},
	{KindIntake, "HeaderBytes", "a string with B, KiB, MiB or GiB, at least \"1B\"", `"16KiB"`, bytesField(func(d *draft, n vwunit.Bytes) { d.intake.HeaderBytes = n })},
	{KindIntake, "BodyBytes", "a string with B, KiB, MiB or GiB, at least \"1B\"", `"256KiB"`, bytesField(func(d *draft, n vwunit.Bytes) { d.intake.BodyBytes = n })},
	{KindIntake, "HeaderTimeout", "a string from \"1ms\" to \"24h\"", `"3s"`, durationField(maxRouteTimeout, func(d *draft, t time.Duration) { d.intake.HeaderTimeout = t })},
	{KindIntake, "IdleTimeout", "a string from \"1ms\" to \"24h\"", `"15s"`, durationField(maxRouteTimeout, func(d *draft, t time.Duration) { d.intake.IdleTimeout = t })},
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

// isDetail reports whether rules of kind k describe the one thing that their key names.
func (k Kind) isDetail() bool {
	return k == KindEdition || k == KindRoute || k == KindBackend || k == KindIntake
}

// isPolicy reports whether rules of kind k name a service and a team.
func (k Kind) isPolicy() bool {
	return k.isKnown() && !k.isDeclaration() && !k.isDetail() && k != KindOut
}

// fieldsByKind holds fields by their kind.
var fieldsByKind = func() map[Kind][]field {
	byKind := map[Kind][]field{}
	for _, f := range fields {
		byKind[f.kind] = append(byKind[f.kind], f)
	}
	return byKind
}()

// fields returns the fields of kind k.
func (k Kind) fields() []field {
	return fieldsByKind[k]
}

// keyShape returns the form of the keys of kind k.
func (k Kind) keyShape() string {
	switch {
	case k.isPolicy():
		return string(k) + ".Service.Team"
	case k == KindBackend:
		return string(k) + ".Service"
	case k == KindEdition:
		return string(k) + ".Source"
	case k == KindIntake:
		return string(k) + "." + All
	}
	return string(k) + ".Name"
}

// example returns a whole line of kind k.
func (k Kind) example() string {
	shown := k.fields()
	if k != KindRoute {
		shown = shown[:min(1, len(shown))]
	}
	parts := make([]string, len(shown))
	for i, f := range shown {
		parts[i] = f.name + " = " + f.example
	}
	table := "{}"
	if len(parts) > 0 {
		table = "{ " + strings.Join(parts, ", ") + " }"
	}
	return fmt.Sprintf("%s = %s # who asked for it", k.keyShape(), table)
}

func wholeField(least, most int64, set func(*draft, int)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		n, whole := value.(int64)
		return func(d *draft) { set(d, int(n)) }, whole && n >= least && n <= most
	}
}

func numberField(least, most float64, set func(*draft, float64)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		n, isFloat := value.(float64)
		if whole, isWhole := value.(int64); isWhole {
			n, isFloat = float64(whole), true
		}
		return func(d *draft) { set(d, n) }, isFloat && n >= least && n <= most
	}
}

func bytesField(set func(*draft, vwunit.Bytes)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		text, isText := value.(string)
		n, err := vwunit.ParseBytes(text)
		return func(d *draft) { set(d, n) }, isText && err == nil && n > 0
	}
}

func durationField(most time.Duration, set func(*draft, time.Duration)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		text, isText := value.(string)
		t, err := time.ParseDuration(text)
		return func(d *draft) { set(d, t) }, isText && err == nil && t >= time.Millisecond && t <= most
	}
}

func flagField(set func(*draft, bool)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		flag, isFlag := value.(bool)
		return func(d *draft) { set(d, flag) }, isFlag
	}
}

func textField(accepts func(string) bool, set func(*draft, string)) func(any) (apply, bool) {
	return func(value any) (apply, bool) {
		text, isText := value.(string)
		return func(d *draft) { set(d, text) }, isText && accepts(text)
	}
}
