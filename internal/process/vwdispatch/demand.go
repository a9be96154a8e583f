package vwdispatch

import (
	"cmp"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// hedgeInterval is how long tasks wait without a new credit before one more credit per task is
// requested. It bounds the delay caused by a request to an agent whose slots all run long tasks.
const hedgeInterval = 20 * time.Millisecond

// deepBacklogPerSlot is how many tasks must wait per slot before the demand is reported to all agents
// and credits are used for the teams that they are granted for. With 2, the metric "mean" of the
// policy benchmark's scenario steady-95, the mean ratio to the ideal queue, exceeds 1.10 with seed 2.
const deepBacklogPerSlot = 8

// refreshInterval is the interval of the reports to each agent while the backlog is deep.
const refreshInterval = 250 * time.Millisecond

// NextDemand returns the next worker to whose agent demand must be reported, and the report. The
// owner calls it after Next until it reports false, and sends each report at once.
func (q *Queue) NextDemand(now time.Time) (vwid.Incarnation, vwmessage.Demand, bool) {
	for _, s := range q.serviceOrder {
		if w, count := s.nextDemandTarget(now); w != nil {
			s.requestedCredits += count - w.requestedCredits
			w.requestedCredits = count
			return w.Incarnation, vwmessage.Demand{Service: s.name, Teams: s.makeDemand(now, count)}, true
		}
	}
	return "", vwmessage.Demand{}, false
}

// nextDemandTarget returns the worker to report demand to, or nil, and the number of credits that
// are requested from its agent from now on.
func (s *serviceQueue) nextDemandTarget(now time.Time) (*workerState, int) {
	unmet := s.unmetDemand()
	if unmet == 0 {
		s.lastProgress = now
		return s.nextStaleDemand(), 0
	}
	if w := s.nextRefresh(now); w != nil {
		return w, min(unmet, max(w.requestedCredits, unmet/2))
	}
	missing := s.creditsPerTask(now)*unmet - s.requestedCredits
	coverAll := s.agentWithoutDemand && unmet >= len(s.workers)
	if !coverAll && s.requestsSuffice(missing) {
		return nil, 0
	}
	w := s.leastRequested()
	if w == nil {
		return nil, 0
	}
	if coverAll && w.requestedCredits == 0 {
		missing = max(missing, unmet)
	}
	s.agentWithoutDemand = coverAll && w.requestedCredits == 0
	// A report lists only waiting tasks. If requestedCredits exceeded the reported tasks, the
	// difference would never be granted.
	count := min(unmet, w.requestedCredits+max(1, (missing+len(s.workers)-1)/len(s.workers)))
	if count <= w.requestedCredits {
		return nil, 0
	}
	return w, count
}

// hasDeepBacklog reports whether so many tasks wait that the shares of the teams matter more than the
// order of single tasks.
func (s *serviceQueue) hasDeepBacklog() bool {
	return s.waiting > deepBacklogPerSlot*s.slots
}

// nextRefresh returns a worker to whose agent the demand is to be reported again because of a deep
// backlog, or nil. An agent with demand of only a few teams divides its slots among these alone.
func (s *serviceQueue) nextRefresh(now time.Time) *workerState {
	if !s.hasDeepBacklog() {
		return nil
	}
	for _, w := range s.workers {
		if !w.blocked() && now.Sub(w.lastRefresh) >= refreshInterval {
			w.lastRefresh = now
			return w
		}
	}
	return nil
}

// creditsPerTask returns how many credits to request per waiting task.
func (s *serviceQueue) creditsPerTask(now time.Time) int {
	waited := now.Sub(s.lastProgress)
	if s.requestedCredits > s.slots && waited < 10*hedgeInterval {
		return 1
	}
	return 1 + min(int(waited/hedgeInterval), len(s.workers))
}

// requestsSuffice reports whether no further report is needed. A report is always needed for a team
// with sendable tasks whose demand was not reported. Otherwise it is needed if credits are missing, or,
// while the requested credits exceed twice the slots and all agents have enough demand, if at least as
// many credits are missing as are requested.
func (s *serviceQueue) requestsSuffice(missing int) bool {
	for _, team := range s.teamOrder {
		if team.sendable() > 0 && !team.demandReported {
			return false
		}
	}
	return missing <= 0 || (s.requestedCredits > 2*s.slots && missing < s.requestedCredits)
}

// nextStaleDemand returns a worker whose agent may still grant credits for tasks that no longer wait,
// or nil.
func (s *serviceQueue) nextStaleDemand() *workerState {
	for len(s.staleDemandWorkers) > 0 {
		w := s.staleDemandWorkers[len(s.staleDemandWorkers)-1]
		s.staleDemandWorkers = s.staleDemandWorkers[:len(s.staleDemandWorkers)-1]
		if w.staleDemand = false; w.requestedCredits > 0 && w.credits > 0 {
			return w
		}
	}
	return nil
}

// leastRequested returns the worker with the fewest requested credits, or nil. Among equals, one in
// the entry's own data centre is preferred.
func (s *serviceQueue) leastRequested() *workerState {
	var best *workerState
	for _, w := range s.workers {
		if w.blocked() {
			continue
		}
		if best == nil || w.requestedCredits < best.requestedCredits || (w.requestedCredits == best.requestedCredits && w.local && !best.local) {
			best = w
		}
	}
	return best
}

// unmetDemand returns the number of tasks that wait for lack of a credit.
func (s *serviceQueue) unmetDemand() int {
	if s.nextWorker() != nil {
		return 0
	}
	sum := 0
	for _, team := range s.teamOrder {
		sum += team.sendable()
	}
	return sum
}

// makeDemand divides count waiting tasks among the teams, those not reported to any agent first.
func (s *serviceQueue) makeDemand(now time.Time, count int) []vwmessage.TeamDemand {
	s.rankedTeams = s.rankedTeams[:0]
	for _, team := range s.teamOrder {
		if team.sendable() > 0 {
			s.rankedTeams = append(s.rankedTeams, team)
		}
	}
	slices.SortStableFunc(s.rankedTeams, func(a, b *teamQueue) int {
		if a.demandReported != b.demandReported {
			return cmp.Compare(boolRank(a.demandReported), boolRank(b.demandReported))
		}
		return cmp.Compare(boolRank(!a.ranksBefore(b)), boolRank(!b.ranksBefore(a)))
	})
	teams := make([]vwmessage.TeamDemand, len(s.rankedTeams))
	for i, team := range s.rankedTeams {
		part := min(team.sendable(), (count+len(s.rankedTeams)-i-1)/(len(s.rankedTeams)-i))
		count -= part
		team.demandReported = team.demandReported || part > 0
		teams[i] = vwmessage.TeamDemand{Team: team.team.name, Waiting: part, OldestMilliseconds: team.firstJobAge(now).Milliseconds()}
	}
	for i, team := range s.rankedTeams {
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

// recordGrant subtracts granted credits from the requested ones, as the agent does from its unmet
// demand.
func (w *workerState) recordGrant(count int) {
	count = min(count, w.requestedCredits)
	w.requestedCredits -= count
	w.service.requestedCredits -= count
	w.service.agentWithoutDemand = w.service.agentWithoutDemand || w.requestedCredits == 0
	if w.requestedCredits > 0 && !w.staleDemand {
		w.staleDemand = true
		w.service.staleDemandWorkers = append(w.service.staleDemandWorkers, w)
	}
}
