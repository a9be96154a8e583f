package vwrule

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// MinPriority is the level whose tasks start last.
	MinPriority = 1
	// MaxPriority is the level whose tasks start first.
	MaxPriority = 9
	// MaxDeadline is the longest deadline that a rule may allow. Control forgets a submission after
	// vwstate.SubmissionRetention, so a task that ran longer could not be told from a new one.
	MaxDeadline = 5 * time.Minute
)

// TeamPolicy is what the rules say about the tasks of one team at one service. Amounts are for the
// whole cluster unless a field says otherwise, and zero means no limit.
type TeamPolicy struct {
	// Weight is the team's share relative to the teams that wait at the same priority.
	Weight int
	// Priority is from MinPriority to MaxPriority.
	Priority int
	// Quota is how many slots the team may use at the same time.
	Quota       int
	Limits      Limits
	Deadlines   Deadlines
	RetryBudget RetryBudget
}

// Limits bound what is accepted from a team.
type Limits struct {
	// Rate is in tasks per second.
	Rate float64
	// InFlight counts the tasks that are accepted and not yet answered.
	InFlight int
	// QueueLength and QueueBytes bound the waiting tasks at each entry. They are never zero.
	QueueLength int
	QueueBytes  vwunit.Bytes
}

// Deadlines bound the time from acceptance to the answer.
type Deadlines struct {
	// Default applies to a submission that names no deadline.
	Default time.Duration
	// Maximum is the longest deadline that a submission may name.
	Maximum time.Duration
}

// RetryBudget bounds the retries of idempotent requests after MayHaveRun, at each entry.
type RetryBudget struct {
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// PerSecond is how many retries are permitted regardless of the number of requests.
	PerSecond float64
}

// DefaultPolicy returns what applies where no rule says anything. The queue bounds keep one team from
// exhausting an entry's memory; a burst of a million tasks of 256 bytes fits in them.
func DefaultPolicy() TeamPolicy {
	return TeamPolicy{
		Weight:      1,
		Priority:    5,
		Limits:      Limits{QueueLength: 1_000_000, QueueBytes: 256 * vwunit.MiB},
		Deadlines:   Deadlines{Default: 30 * time.Second, Maximum: MaxDeadline},
		RetryBudget: RetryBudget{Ratio: 0.1, PerSecond: 10},
	}
}

// PerEntry returns the policy with the cluster's amounts divided among so many entries. Each entry gets
// at least one of a whole amount, so the sum may exceed the rule by less than one for each entry.
func (p TeamPolicy) PerEntry(entries int) TeamPolicy {
	entries = max(entries, 1)
	p.Quota = divideUp(p.Quota, entries)
	p.Limits.InFlight = divideUp(p.Limits.InFlight, entries)
	p.Limits.Rate /= float64(entries)
	return p
}

func divideUp(amount, parts int) int {
	return (amount + parts - 1) / parts
}
