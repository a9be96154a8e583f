package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

const (
	// demandInterval is the interval at which an agent is sent the demand again. When capacity is reserved, the entry uses
	// it for the task that is most urgent by then, so the demand that the agent holds need not be exact.
	demandInterval = 50 * time.Millisecond
	// demandValidity is how long an agent keeps a demand that is not sent again. The entry may have turned to others.
	demandValidity = 2 * demandInterval
	// maxDemandTasks bounds the tasks in the demand sent to one agent, and so what the agent reserves for one entry.
	maxDemandTasks = 4
	// minAskedWorkers and askedWorkersPerTask give how many workers hold the demand of an entry. In a large fleet, one task
	// that waits for milliseconds must not cause a message to every linked worker and another one to take it back.
	minAskedWorkers     = 12
	askedWorkersPerTask = 3
)

// workerDemand is the demand of the entry for one worker.
type workerDemand struct {
	tasks       int
	needs       vwresource.Amount
	startBefore time.Time
	// level is the highest level of the waiting tasks.
	level int
}

// Demand is a message that carries the demand of the entry to an agent.
type Demand struct {
	Worker  vwid.Incarnation
	Message vwmessage.RankedWant
}

// Demands returns the demand messages for agents: while Dispatch has left tasks waiting, to some of the workers that may
// run them, and once to those workers when none wait any more. The slice is valid until the next call.
func (q *Queue) Demands(now time.Time) []Demand {
	q.wants = q.wants[:0]
	if len(q.waiting) == 0 {
		q.withdrawDemands(now)
		return q.wants
	}
	missing := q.workersToAsk()
	for _, w := range q.workerOrder {
		if w.holdsDemand(now, demandInterval) {
			missing--
		}
	}
	// Each search begins where the last one ended, so that in turn all workers are asked.
	for range len(q.workerOrder) {
		if missing <= 0 {
			break
		}
		q.nextAsked %= len(q.workerOrder)
		w := q.workerOrder[q.nextAsked]
		q.nextAsked++
		if !w.linked || w.holdsDemand(now, demandInterval) {
			continue
		}
		if next := q.demandFor(now, w); next.tasks > 0 {
			q.sendDemand(now, w, next)
			missing--
		}
	}
	return q.wants
}

// workersToAsk returns how many workers should hold the demand. Where a waiting job needs certain workers, all are asked, as
// those may be few.
func (q *Queue) workersToAsk() int {
	if slices.ContainsFunc(q.waiting, func(j *job) bool { return j.RequiredLabel != "" || j.PreferredLabel != "" }) {
		return len(q.workerOrder)
	}
	return max(minAskedWorkers, askedWorkersPerTask*q.WaitingTasks())
}

// withdrawDemands takes the demand back from the workers that may still hold it.
func (q *Queue) withdrawDemands(now time.Time) {
	for _, w := range q.workerOrder {
		if w.holdsDemand(now, demandValidity) {
			q.sendDemand(now, w, workerDemand{})
		}
	}
}

// holdsDemand reports whether the agent was sent a demand within the given time.
func (w *worker) holdsDemand(now time.Time, within time.Duration) bool {
	return w.linked && w.lastDemand.tasks > 0 && now.Sub(w.lastDemandAt) < within
}

func (q *Queue) sendDemand(now time.Time, w *worker, next workerDemand) {
	w.lastDemand, w.lastDemandAt = next, now
	message := vwmessage.RankedWant{Want: vwmessage.Want{Tasks: next.tasks, Needs: next.needs}, Level: next.level}
	if next.tasks > 0 {
		message.Want.WithinMilliseconds = max(next.startBefore.Sub(now).Milliseconds(), 0)
	}
	q.wants = append(q.wants, Demand{Worker: w.Incarnation, Message: message})
}

// demandFor returns the demand for a worker: the waiting tasks that may run there.
func (q *Queue) demandFor(now time.Time, w *worker) workerDemand {
	found := workerDemand{}
	for _, j := range q.waiting {
		if !q.isEligible(w, j) || q.stale.has(j.ID) || j.PreferredLabel != "" && !w.hasLabel(j.PreferredLabel) && now.Before(j.remoteAllowedAt) && q.hasPreferredWorker(j) {
			continue
		}
		tasks := j.placeableTasks()
		if tasks == 0 {
			continue
		}
		found.level = max(found.level, j.Level)
		found.tasks += tasks
		found.needs = maxAmount(found.needs, j.Needs)
		if found.startBefore.IsZero() || j.dueTime().Before(found.startBefore) {
			found.startBefore = j.dueTime()
		}
		if found.tasks >= maxDemandTasks {
			found.tasks = maxDemandTasks
			break
		}
	}
	return found
}

// maxAmount returns the maximum of each resource.
func maxAmount(a, b vwresource.Amount) vwresource.Amount {
	return vwresource.Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPUs: max(a.GPUs, b.GPUs)}
}
