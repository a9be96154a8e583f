package vwdispatch

import (
	"time"
)

// runTimeWindowTasks is how many tasks the moving mean of run times covers.
const runTimeWindowTasks = 32

// teamQueue holds the waiting jobs of one team for one service, earliest deadline first.
type teamQueue struct {
	team        *teamState
	service     *serviceQueue
	jobs        heap[*queuedJob]
	waiting     int
	droppedJobs int
	// demandReported reports whether demand of the team was sent to an agent since tasks began to
	// wait.
	demandReported bool
	// reservedCredits is the number of credits that are used for the team before others.
	reservedCredits int
	// virtualTime is the slot time that the team has used, divided by its weight, in seconds.
	virtualTime float64
	// chargedSeconds is the sum of the expected run times of the tasks that are sent and have not
	// ended, and chargedTasks their number.
	chargedSeconds float64
	chargedTasks   int
	// meanRunTime is the moving mean of actual run times, zero before the first task ended.
	meanRunTime time.Duration
}

func makeTeamQueue(team *teamState, service *serviceQueue) *teamQueue {
	return &teamQueue{team: team, service: service, jobs: heap[*queuedJob]{before: (*queuedJob).before}}
}

func (t *teamQueue) add(job *queuedJob) {
	if t.waiting == 0 {
		// A team without waiting tasks does not save up unused share.
		t.virtualTime = max(t.virtualTime, t.service.virtualTime)
	}
	t.compact()
	t.jobs.push(job)
	t.waiting += job.waiting()
}

// compact removes dropped jobs once they are more than half of the heap, so that the amortised cost
// per dropped job is constant.
func (t *teamQueue) compact() {
	if t.droppedJobs*2 <= len(t.jobs.items) {
		return
	}
	t.jobs.retain(func(job *queuedJob) bool { return !job.dropped })
	t.droppedJobs = 0
}

// firstJob returns the job to take from next, or nil.
func (t *teamQueue) firstJob() *queuedJob {
	for len(t.jobs.items) > 0 {
		job := t.jobs.top()
		if !job.dropped && job.waiting() > 0 {
			return job
		}
		if job.dropped {
			t.droppedJobs--
		}
		t.jobs.pop()
	}
	return nil
}

// sendable returns how many waiting tasks may be sent under the team's quota.
func (t *teamQueue) sendable() int {
	if quota := t.team.policy.Quota; quota > 0 {
		return min(t.waiting, max(0, quota-t.team.sentTasks))
	}
	return t.waiting
}

// expectedRunTime returns the run time to expect of a task. The mean of the team's recent tasks is a
// better estimate than the declared run time, which is often wrong by a factor of ten.
func (t *teamQueue) expectedRunTime(declared time.Duration) time.Duration {
	if t.meanRunTime > 0 {
		return t.meanRunTime
	}
	return declared
}

// charge charges the team for a sent task with an expected run time of cost.
func (t *teamQueue) charge(cost time.Duration) {
	t.service.virtualTime = max(t.service.virtualTime, t.virtualTime)
	t.virtualTime += cost.Seconds() / t.team.policy.Weight
	t.chargedSeconds += cost.Seconds()
	t.chargedTasks++
}

// correctCharge replaces the expected run time of one sent task, taken as the mean over all sent
// tasks, by its actual run time, and updates the mean run time. In total the team is charged for the
// slot time that it used.
func (t *teamQueue) correctCharge(actual time.Duration) {
	if t.chargedTasks == 0 {
		return
	}
	mean := t.chargedSeconds / float64(t.chargedTasks)
	t.chargedSeconds -= mean
	t.chargedTasks--
	t.virtualTime += (actual.Seconds() - mean) / t.team.policy.Weight
	switch {
	case actual <= 0: // the task did not run
	case t.meanRunTime == 0:
		t.meanRunTime = actual
	default:
		t.meanRunTime += (actual - t.meanRunTime) / runTimeWindowTasks
	}
}

// takesCreditBefore reports whether a credit is to be used for t before other, which may be nil. At
// the same priority, a team with reserved credits comes first.
func (t *teamQueue) takesCreditBefore(other *teamQueue) bool {
	if other == nil || t.team.policy.Priority != other.team.policy.Priority || (t.reservedCredits > 0) == (other.reservedCredits > 0) {
		return t.ranksBefore(other)
	}
	return t.reservedCredits > 0
}

// ranksBefore reports whether t is to be served before other, which may be nil, by priority and then
// by the least virtual time.
func (t *teamQueue) ranksBefore(other *teamQueue) bool {
	if other == nil || t.team.policy.Priority != other.team.policy.Priority {
		return other == nil || t.team.policy.Priority > other.team.policy.Priority
	}
	return t.virtualTime < other.virtualTime
}
