package vwdispatch

import (
	"slices"
	"time"
)

// retention is how long the state of an idle team is kept. Its learned run times and what it used
// beyond its share count for that time.
const retention = time.Minute

// dropIdle forgets teams that were idle for the retention and services without teams and workers, so
// that memory does not grow with the names that were ever seen. It does so once per retention.
func (q *Queue) dropIdle(now time.Time) {
	if now.Sub(q.swept) < retention {
		return
	}
	q.swept = now
	for _, service := range q.order {
		service.dropIdle(now)
	}
	for name, team := range q.teams {
		if team.idle(now) {
			delete(q.teams, name)
		}
	}
	q.order = slices.DeleteFunc(q.order, func(s *serviceQueue) bool {
		unused := len(s.order) == 0 && len(s.workers) == 0
		if unused {
			delete(q.services, s.name)
		}
		return unused
	})
}

func (s *serviceQueue) dropIdle(now time.Time) {
	clear(s.ranked[:cap(s.ranked)])
	s.order = slices.DeleteFunc(s.order, func(t *teamQueue) bool {
		idle := t.team.idle(now)
		if idle {
			delete(s.teams, t.team.name)
		}
		return idle
	})
}

// idle reports whether nothing of the team is left that a later decision needs. A team whose rate
// limit has not recovered is not idle, or it could send more than its rate.
func (t *teamState) idle(now time.Time) bool {
	if t.waiting > 0 || t.sent > 0 || now.Sub(t.used) < retention {
		return false
	}
	if t.policy.Rate <= 0 || t.refilled.IsZero() {
		return true
	}
	return t.tokens+t.policy.Rate*now.Sub(t.refilled).Seconds() >= t.policy.Burst
}
