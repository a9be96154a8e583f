package vwplace

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

const (
	// demandInterval is the interval at which an agent is sent the demand again. When capacity is reserved, the entry uses
	// it for the task that is most urgent by then, so the demand that the agent holds need not be exact.
	demandInterval = 50 * time.Millisecond
	// maxDemandTasks bounds the tasks in the demand sent to one agent, and so what the agent reserves for one entry.
	maxDemandTasks = 4
)

// workerDemand is the demand of the entry for one worker.
type workerDemand struct {
	tasks       int
	needs       vwresource.Amount
	startBefore time.Time
}

// Demand is a message that carries the demand of the entry to an agent.
type Demand struct {
	Worker  vwid.Incarnation
	Message vwmessage.Want
}

// Demands returns the demand messages for agents: while Dispatch has left tasks waiting, and once when none wait any
// more. The slice is valid until the next call.
func (q *Queue) Demands(now time.Time) []Demand {
	q.wants = q.wants[:0]
	for _, w := range q.workerOrder {
		if !w.linked {
			continue
		}
		next := q.demandFor(now, w)
		if (next.tasks > 0) == (w.lastDemand.tasks > 0) && (next.tasks == 0 || now.Sub(w.lastDemandAt) < demandInterval) {
			continue
		}
		w.lastDemand, w.lastDemandAt = next, now
		message := vwmessage.Want{Tasks: next.tasks, Needs: next.needs}
		if next.tasks > 0 {
			message.WithinMilliseconds = max(next.startBefore.Sub(now).Milliseconds(), 0)
		}
		q.wants = append(q.wants, Demand{Worker: w.Incarnation, Message: message})
	}
	return q.wants
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
