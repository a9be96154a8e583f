package vwdispatch

import (
	"slices"
	"time"
)

// retention is how long the state of an idle team is kept: its mean run time and the slot time that
// it used beyond its share.
const retention = time.Minute

// dropIdle deletes the state of teams that were idle for the retention and of services without teams
// and workers, so that memory does not grow with every name ever received. It runs once per
// retention.
func (q *Queue) dropIdle(now time.Time) {
	if now.Sub(q.lastSweep) < retention {
		return
	}
	q.lastSweep = now
	for _, service := range q.serviceOrder {
		service.dropIdle(now)
	}
	for name, team := range q.teams {
		if team.idle(now) {
			delete(q.teams, name)
		}
	}
	q.serviceOrder = slices.DeleteFunc(q.serviceOrder, func(s *serviceQueue) bool {
		unused := len(s.teamOrder) == 0 && len(s.workers) == 0
		if unused {
			delete(q.services, s.name)
		}
		return unused
	})
}

func (s *serviceQueue) dropIdle(now time.Time) {
	clear(s.rankedTeams[:cap(s.rankedTeams)])
	s.teamOrder = slices.DeleteFunc(s.teamOrder, func(t *teamQueue) bool {
		idle := t.team.idle(now)
		if idle {
			delete(s.teams, t.team.name)
		}
		return idle
	})
}

// idle reports whether no later decision needs the state of the team. A team whose token bucket is
// not full is not idle: with a new bucket it could exceed its rate.
func (t *teamState) idle(now time.Time) bool {
	if t.waiting > 0 || t.sentTasks > 0 || now.Sub(t.lastUse) < retention {
		return false
	}
	if t.policy.Rate <= 0 || t.lastRefill.IsZero() {
		return true
	}
	return t.tokens+t.policy.Rate*now.Sub(t.lastRefill).Seconds() >= t.policy.Burst
}
