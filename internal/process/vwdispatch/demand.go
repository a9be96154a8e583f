package vwdispatch

import (
	"cmp"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// patience is how long waiting tasks see no credit before one more credit per task is asked for. It
// bounds the harm of asking an agent whose slots are all held by long tasks.
const patience = 20 * time.Millisecond

// deepBacklog is how many tasks must wait per slot before all agents are told what waits and credits
// are used for the teams that they are granted for. With 2, the mean ratio of steady-95 exceeds 1.10
// with the seed 2.
const deepBacklog = 8

// refresh is how often an agent is told what waits while the backlog is deep.
const refresh = 250 * time.Millisecond

// NextDemand returns the next worker whose agent must learn what waits for it, and the report to
// send. The owner calls it after Next until it reports false, and sends each report at once.
func (q *Queue) NextDemand(now time.Time) (vwid.Incarnation, vwmessage.Demand, bool) {
	for _, s := range q.order {
		if w, count := s.nextAsked(now); w != nil {
			s.told += count - w.told
			w.told = count
			return w.Incarnation, vwmessage.Demand{Service: s.name, Teams: s.demand(now, count)}, true
		}
	}
	return "", vwmessage.Demand{}, false
}

// nextAsked returns a worker and for how many tasks its agent is to grant credits from now on.
func (s *serviceQueue) nextAsked(now time.Time) (*workerState, int) {
	unserved := s.unserved()
	if unserved == 0 {
		s.starved = now
		return s.nextMistaken(), 0
	}
	if w := s.nextRefreshed(now); w != nil {
		return w, min(unserved, max(w.told, unserved/2))
	}
	missing := s.hedge(now)*unserved - s.told
	idle := s.dry && unserved >= len(s.workers)
	if !idle && s.covered(missing) {
		return nil, 0
	}
	w := s.leastTold()
	if w == nil {
		return nil, 0
	}
	if idle && w.told == 0 {
		missing = max(missing, unserved)
	}
	s.dry = idle && w.told == 0
	// The report can only list tasks that wait, and told must not exceed what the agent knows of:
	// the difference would be waited for in vain.
	count := min(unserved, w.told+max(1, (missing+len(s.workers)-1)/len(s.workers)))
	if count <= w.told {
		return nil, 0
	}
	return w, count
}

// deep reports whether so many tasks wait that shares matter more than the order of single tasks.
func (s *serviceQueue) deep() bool {
	return s.waiting > deepBacklog*s.slots
}

// nextRefreshed returns a worker whose agent is to learn anew what waits, or nil. An agent that knows
// of a few teams only divides its slots among these.
func (s *serviceQueue) nextRefreshed(now time.Time) *workerState {
	if !s.deep() {
		return nil
	}
	for _, w := range s.workers {
		if !w.blocked() && now.Sub(w.refreshed) >= refresh {
			w.refreshed = now
			return w
		}
	}
	return nil
}

// hedge returns how many credits to ask for per waiting task.
func (s *serviceQueue) hedge(now time.Time) int {
	waited := now.Sub(s.starved)
	if s.told > s.slots && waited < 10*patience {
		return 1
	}
	return 1 + min(int(waited/patience), len(s.workers))
}

// covered reports whether the agents need no further report. While all of them have enough to
// grant for, only a large change matters.
func (s *serviceQueue) covered(missing int) bool {
	for _, team := range s.order {
		if team.sendable() > 0 && !team.reported {
			return false
		}
	}
	return missing <= 0 || (s.told > 2*s.slots && missing < s.told)
}

// nextMistaken returns a worker whose agent grants credits for tasks that are gone, or nil.
func (s *serviceQueue) nextMistaken() *workerState {
	for len(s.mistaken) > 0 {
		w := s.mistaken[len(s.mistaken)-1]
		s.mistaken = s.mistaken[:len(s.mistaken)-1]
		if w.mistaken = false; w.told > 0 && w.credits > 0 {
			return w
		}
	}
	return nil
}

// leastTold returns the worker that was asked for the fewest credits, near ones first, or nil.
func (s *serviceQueue) leastTold() *workerState {
	var best *workerState
	for _, w := range s.workers {
		if w.blocked() {
			continue
		}
		if best == nil || w.told < best.told || (w.told == best.told && w.near && !best.near) {
			best = w
		}
	}
	return best
}

// unserved returns the number of tasks that wait because no credit is left.
func (s *serviceQueue) unserved() int {
	if s.worker() != nil {
		return 0
	}
	sum := 0
	for _, team := range s.order {
		sum += team.sendable()
	}
	return sum
}

// demand lists the teams of count waiting tasks, those that no agent knows of first.
func (s *serviceQueue) demand(now time.Time, count int) []vwmessage.TeamDemand {
	s.ranked = s.ranked[:0]
	for _, team := range s.order {
		if team.sendable() > 0 {
			s.ranked = append(s.ranked, team)
		}
	}
	slices.SortStableFunc(s.ranked, func(a, b *teamQueue) int {
		if a.reported != b.reported {
			return cmp.Compare(boolRank(a.reported), boolRank(b.reported))
		}
		return cmp.Compare(boolRank(!a.ahead(b)), boolRank(!b.ahead(a)))
	})
	teams := make([]vwmessage.TeamDemand, len(s.ranked))
	for i, team := range s.ranked {
		part := min(team.sendable(), (count+len(s.ranked)-i-1)/(len(s.ranked)-i))
		count -= part
		team.reported = team.reported || part > 0
		teams[i] = vwmessage.TeamDemand{Team: team.team.name, Waiting: part, OldestMilliseconds: team.oldest(now).Milliseconds()}
	}
	for i, team := range s.ranked {
		more := min(count, team.sendable()-teams[i].Waiting)
		teams[i].Waiting += more
		count -= more
	}
	return slices.DeleteFunc(teams, func(d vwmessage.TeamDemand) bool { return d.Waiting == 0 })
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// noteGrant follows the agent's own count of tasks that still need a credit.
func (w *workerState) noteGrant(count int) {
	count = min(count, w.told)
	w.told -= count
	w.service.told -= count
	w.service.dry = w.service.dry || w.told == 0
	if w.told > 0 && !w.mistaken {
		w.mistaken = true
		w.service.mistaken = append(w.service.mistaken, w)
	}
}
