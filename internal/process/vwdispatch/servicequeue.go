package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// serviceQueue holds the waiting tasks and the credits of one service.
type serviceQueue struct {
	name  vwid.Service
	teams map[vwid.Team]*teamQueue
	// order lists teams by first use, so that decisions do not depend on the order of a map.
	order   []*teamQueue
	waiting int
	virtual float64
	slots   int
	near    workerRing
	far     workerRing
	// workers lists all workers, and stale those whose agents may need a new report of demand.
	workers []*workerState
	stale   []*workerState
	// reviewed is the number of waiting tasks at the last report to all workers.
	reviewed int
}

func (s *serviceQueue) team(state *teamState) *teamQueue {
	found, ok := s.teams[state.name]
	if !ok {
		found = makeTeamQueue(state, s)
		s.teams[state.name] = found
		s.order = append(s.order, found)
	}
	return found
}

// pick returns the team to serve next, or nil.
func (s *serviceQueue) pick() *teamQueue {
	var best *teamQueue
	for _, team := range s.order {
		if team.waiting > 0 && team.team.underQuota() && team.ahead(best) {
			best = team
		}
	}
	return best
}

// worker returns the worker whose credit is used next, or nil. Workers in the entry's own data
// centre come first.
func (s *serviceQueue) worker() *workerState {
	if s.near.head != nil {
		return s.near.head
	}
	return s.far.head
}

// oldest returns how long the first task of the team has waited.
func (t *teamQueue) oldest(now time.Time) time.Duration {
	if job := t.first(); job != nil {
		return now.Sub(job.enqueued)
	}
	return 0
}
