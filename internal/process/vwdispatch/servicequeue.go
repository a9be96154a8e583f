package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// serviceQueue holds the waiting tasks and the credits of one service.
type serviceQueue struct {
	name  vwid.Service
	teams map[vwid.Team]*teamQueue
	// teamOrder lists teams by first use, so that decisions do not depend on the order of a map.
	teamOrder   []*teamQueue
	waiting     int
	virtualTime float64
	slots       int
	localRing   workerRing
	remoteRing  workerRing
	workers     []*workerState
	// requestedCredits is the sum of workerState.requestedCredits.
	requestedCredits int
	// backlogStart is when tasks began to wait.
	backlogStart time.Time
	throughput   throughput
	// impairedWorkers counts the workers that are ejected or still being probed after an ejection.
	impairedWorkers int
	// agentWithoutDemand reports that an agent may have no demand left. While many tasks wait, each
	// agent needs some demand, or its slots stay idle.
	agentWithoutDemand bool
	// lastProgress is when a task was last sent or none waited for a credit.
	lastProgress time.Time
	// staleDemandWorkers lists workers whose agents may grant credits for tasks that no longer wait.
	staleDemandWorkers []*workerState
	// rankedTeams is the buffer of makeDemand.
	rankedTeams []*teamQueue
}

func (s *serviceQueue) team(state *teamState) *teamQueue {
	found, ok := s.teams[state.name]
	if !ok {
		found = makeTeamQueue(state, s)
		s.teams[state.name] = found
		s.teamOrder = append(s.teamOrder, found)
	}
	return found
}

// nextTeam returns the team to serve next, or nil.
func (s *serviceQueue) nextTeam() *teamQueue {
	var best *teamQueue
	for _, team := range s.teamOrder {
		if team.waiting > 0 && team.team.underQuota() && team.takesCreditBefore(best) {
			best = team
		}
	}
	return best
}

// clearReservations ends all reservations: any team may use the remaining credits.
func (s *serviceQueue) clearReservations() {
	for _, team := range s.teamOrder {
		team.reservedCredits = 0
	}
}

// nextWorker returns the worker whose credit is used next, or nil. Workers in the entry's own data
// centre come first.
func (s *serviceQueue) nextWorker() *workerState {
	if s.localRing.head != nil {
		return s.localRing.head
	}
	return s.remoteRing.head
}

// firstJobAge returns how long the first job of the team has waited.
func (t *teamQueue) firstJobAge(now time.Time) time.Duration {
	if job := t.firstJob(); job != nil {
		return now.Sub(job.enqueuedAt)
	}
	return 0
}

// shouldEject reports whether w is to be ejected: it is impaired already, or it fails much more often
// than the other workers and at most half of the workers would be impaired, so that the others can
// take its work.
func (s *serviceQueue) shouldEject(w *workerState) bool {
	if w.health.impaired() {
		return true
	}
	if 2*(s.impairedWorkers+1) > len(s.workers) {
		return false
	}
	sum := 0.0
	for _, other := range s.workers {
		if other != w && !other.health.impaired() {
			sum += other.health.failureRate
		}
	}
	return w.health.failureRate-sum/float64(len(s.workers)-1-s.impairedWorkers) > ejectionMargin
}

func (s *serviceQueue) updateImpairedWorkers(was, is bool) {
	if was != is && is {
		s.impairedWorkers++
	} else if was != is {
		s.impairedWorkers--
	}
}

// expectedWait returns how long it is likely to take until the team's waiting tasks and further tasks
// with a total run time of work are sent.
func (s *serviceQueue) expectedWait(now time.Time, team *teamQueue, work time.Duration) time.Duration {
	rate := s.expectedThroughput(now)
	if s.unmetDemand() == 0 || rate <= 0 {
		return 0
	}
	weights := team.team.policy.Weight
	for _, other := range s.teamOrder {
		if other != team && other.waiting > 0 {
			weights += other.team.policy.Weight
		}
	}
	backlog := team.meanRunTime.Seconds()*float64(team.waiting) + work.Seconds()
	return time.Duration(backlog * weights / (rate * team.team.policy.Weight) * float64(time.Second))
}

// expectedThroughput returns the slot seconds per second to expect from the service. Until tasks have
// waited for a whole throughputWindow, the measured throughput reflects the demand and not the
// capacity.
func (s *serviceQueue) expectedThroughput(now time.Time) float64 {
	rate := s.throughput.rate(now)
	if now.Sub(s.backlogStart) < throughputWindow {
		return max(rate, float64(s.slots))
	}
	return rate
}
