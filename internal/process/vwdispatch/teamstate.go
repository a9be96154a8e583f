package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// teamState counts the waiting and the sent tasks of a team over all services.
type teamState struct {
	name       vwid.Team
	policy     TeamPolicy
	waiting    int
	bytes      int
	sentTasks  int
	tokens     float64
	lastRefill time.Time
	// lastUse is when the team last submitted a job, or a task of it ended or was requeued.
	lastUse time.Time
}

// refill adds the tokens of the time since the last call.
func (t *teamState) refill(now time.Time) {
	if t.lastRefill.IsZero() {
		t.tokens = t.policy.Burst
	} else {
		t.tokens = min(t.policy.Burst, t.tokens+t.policy.Rate*now.Sub(t.lastRefill).Seconds())
	}
	t.lastRefill = now
}

// admit checks the team's limits for count more tasks of bytes together.
func (t *teamState) admit(now time.Time, count, bytes int) error {
	p := &t.policy
	switch {
	case p.QueueTasks > 0 && t.waiting+count > p.QueueTasks:
		return ErrLimit{Team: t.name, Limit: LimitTeamTasks, Max: float64(p.QueueTasks)}
	case p.QueueBytes > 0 && t.bytes+bytes > p.QueueBytes:
		return ErrLimit{Team: t.name, Limit: LimitTeamBytes, Max: float64(p.QueueBytes)}
	case p.InFlight > 0 && t.waiting+t.sentTasks+count > p.InFlight:
		return ErrLimit{Team: t.name, Limit: LimitInFlight, Max: float64(p.InFlight)}
	}
	return t.admitRate(now, count)
}

// admitRate checks the rate limit. A job larger than the burst is accepted once the bucket is full
// and leaves it with negative tokens; otherwise such a job would always be refused.
func (t *teamState) admitRate(now time.Time, count int) error {
	if t.policy.Rate <= 0 {
		return nil
	}
	t.refill(now)
	if t.tokens < min(float64(count), t.policy.Burst) {
		return ErrLimit{Team: t.name, Limit: LimitTeamRate, Max: t.policy.Rate}
	}
	return nil
}

func (t *teamState) add(count, bytes int) {
	t.waiting += count
	t.bytes += bytes
}

func (t *teamState) underQuota() bool {
	return t.policy.Quota <= 0 || t.sentTasks < t.policy.Quota
}
