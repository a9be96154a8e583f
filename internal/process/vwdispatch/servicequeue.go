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
	workers []*workerState
	// told is the number of credits that agents are asked for and have not granted.
	told int
	// saturated is when tasks began to wait, and throughput what the service gives to the entry.
	saturated  time.Time
	throughput throughput
	// impaired counts the workers that are ejected because of their failures or on their way back.
	impaired int
	// dry tells that an agent may know of no waiting task. While many wait, each is to know of some,
	// or its slots stay idle.
	dry bool
	// starved is the last time at which a task was sent or none waited.
	starved time.Time
	// mistaken lists workers whose agents may grant credits for tasks that are gone.
	mistaken []*workerState
	ranked   []*teamQueue
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
		if team.waiting > 0 && team.team.underQuota() && team.precedes(best) {
			best = team
		}
	}
	return best
}

// clearReserved lets any team use the credits that are left.
func (s *serviceQueue) clearReserved() {
	for _, team := range s.order {
		team.reserved = 0
	}
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

// outlier reports whether w fails much more often than the other workers, and few enough workers
// are impaired that the others can take its work.
func (s *serviceQueue) outlier(w *workerState) bool {
	if w.health.impaired() {
		return true
	}
	if 2*(s.impaired+1) > len(s.workers) {
		return false
	}
	sum := 0.0
	for _, other := range s.workers {
		if other != w && !other.health.impaired() {
			sum += other.health.rate
		}
	}
	return w.health.rate-sum/float64(len(s.workers)-1-s.impaired) > ejectionMargin
}

func (s *serviceQueue) countImpaired(was, is bool) {
	if was != is && is {
		s.impaired++
	} else if was != is {
		s.impaired--
	}
}

// wait returns how long a team's waiting tasks and work more are likely to take until all are sent.
func (s *serviceQueue) wait(now time.Time, team *teamQueue, work time.Duration) time.Duration {
	rate := s.rate(now)
	if s.unserved() == 0 || rate <= 0 {
		return 0
	}
	weights := team.team.policy.Weight
	for _, other := range s.order {
		if other != team && other.waiting > 0 {
			weights += other.team.policy.Weight
		}
	}
	backlog := team.learned.Seconds()*float64(team.waiting) + work.Seconds()
	return time.Duration(backlog * weights / (rate * team.team.policy.Weight) * float64(time.Second))
}

// rate returns the slot seconds per second to expect from the service. Until tasks have waited for
// a whole window, the measured throughput is only the demand of that time and not the capacity.
func (s *serviceQueue) rate(now time.Time) float64 {
	rate := s.throughput.rate(now)
	if now.Sub(s.saturated) < throughputWindow {
		return max(rate, float64(s.slots))
	}
	return rate
}
