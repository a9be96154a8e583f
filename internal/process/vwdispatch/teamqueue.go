package vwdispatch

import (
	"time"
)

// learnTasks is how many tasks the moving mean of run times covers.
const learnTasks = 32

// teamQueue holds the waiting jobs of one team for one service, earliest deadline first.
type teamQueue struct {
	team    *teamState
	service *serviceQueue
	jobs    heap[*queuedJob]
	waiting int
	dropped int
	// reported tells that an agent knows of the waiting tasks.
	reported bool
	// reserved is the number of credits that are to be used for the team first.
	reserved int
	// virtual is the weighted slot time that the team has used, in seconds.
	virtual float64
	// charged is the sum of the expected run times of the sent tasks, and sent their number.
	charged float64
	sent    int
	// learned is the moving mean of actual run times, zero before the first one.
	learned time.Duration
}

func makeTeamQueue(team *teamState, service *serviceQueue) *teamQueue {
	return &teamQueue{team: team, service: service, jobs: heap[*queuedJob]{before: (*queuedJob).before}}
}

func (t *teamQueue) add(job *queuedJob) {
	if t.waiting == 0 {
		// Unused share is not saved up while a team has nothing to run.
		t.virtual = max(t.virtual, t.service.virtual)
	}
	t.compact()
	t.jobs.push(job)
	t.waiting += job.waiting()
}

// compact removes dropped jobs once they are the larger part of the heap. Each dropped job then
// costs a constant share of it.
func (t *teamQueue) compact() {
	if t.dropped*2 <= len(t.jobs.items) {
		return
	}
	t.jobs.retain(func(job *queuedJob) bool { return !job.dropped })
	t.dropped = 0
}

// first returns the job to take from next, or nil.
func (t *teamQueue) first() *queuedJob {
	for len(t.jobs.items) > 0 {
		job := t.jobs.top()
		if !job.dropped && job.waiting() > 0 {
			return job
		}
		if job.dropped {
			t.dropped--
		}
		t.jobs.pop()
	}
	return nil
}

// sendable returns how many waiting tasks the quota of the team permits to send.
func (t *teamQueue) sendable() int {
	if quota := t.team.policy.Quota; quota > 0 {
		return min(t.waiting, max(0, quota-t.team.sent))
	}
	return t.waiting
}

// expected returns the run time to expect of a task. What the team's tasks took lately is a better
// guess than what callers declare, which is often off by a factor of ten.
func (t *teamQueue) expected(declared time.Duration) time.Duration {
	if t.learned > 0 {
		return t.learned
	}
	return declared
}

// charge accounts for a task that is sent and expected to run for cost.
func (t *teamQueue) charge(cost time.Duration) {
	t.service.virtual = max(t.service.virtual, t.virtual)
	t.virtual += cost.Seconds() / t.team.policy.Weight
	t.charged += cost.Seconds()
	t.sent++
}

// settle replaces the expected run time of one sent task, taken as the mean of all sent ones, by
// its actual one. Over all tasks the team is charged for the time that it used.
func (t *teamQueue) settle(actual time.Duration) {
	if t.sent == 0 {
		return
	}
	mean := t.charged / float64(t.sent)
	t.charged -= mean
	t.sent--
	t.virtual += (actual.Seconds() - mean) / t.team.policy.Weight
	switch {
	case actual <= 0: // the task did not run
	case t.learned == 0:
		t.learned = actual
	default:
		t.learned += (actual - t.learned) / learnTasks
	}
}

// precedes reports whether a credit is to be used for t before other.
func (t *teamQueue) precedes(other *teamQueue) bool {
	if other == nil || t.team.policy.Priority != other.team.policy.Priority || (t.reserved > 0) == (other.reserved > 0) {
		return t.ahead(other)
	}
	return t.reserved > 0
}

// ahead reports whether t is to be served before other.
func (t *teamQueue) ahead(other *teamQueue) bool {
	if other == nil || t.team.policy.Priority != other.team.policy.Priority {
		return other == nil || t.team.policy.Priority > other.team.policy.Priority
	}
	return t.virtual < other.virtual
}
