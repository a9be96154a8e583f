package vwplace

import (
	"cmp"
	"slices"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// RequeueReason is why tasks are placed again although no end of their runs was reported.
type RequeueReason string

// The reasons.
const (
	// RequeueNotHeld means that the agent does not hold the tasks at the beginning of a new link.
	RequeueNotHeld RequeueReason = "the agent does not hold them on its new link"
	// RequeueRestarted means that the agent has restarted.
	RequeueRestarted RequeueReason = "the agent has restarted"
	// RequeueSettled means that the agent has had no link for Worker.SettleTime.
	RequeueSettled RequeueReason = "the agent has had no link for so long that its runs have ended"
)

// Requeue lists the tasks of one job that are placed again without a report of the end of their runs.
type Requeue struct {
	JobID       vwid.SubmissionID
	Agent       vwid.Process
	Incarnation vwid.Incarnation
	Reason      RequeueReason
	// Tasks holds the indexes of the tasks.
	Tasks []int
}

// TakeRequeues returns the tasks that were requeued since the last call.
func (q *Queue) TakeRequeues() []Requeue {
	requeues := q.requeues
	q.requeues = nil
	return requeues
}

// requeueUnreported requeues the tasks of a job that were sent to a worker and for which lost is true. Their runs may have ended
// in any way.
func (q *Queue) requeueUnreported(w *worker, j *job, reason RequeueReason, lost func(index int, t *task) bool) {
	report := Requeue{JobID: j.ID, Agent: w.Process, Incarnation: w.Incarnation, Reason: reason}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskSent || t.worker != w || !lost(i, t) {
			continue
		}
		w.removeTask(j)
		w.releaseSuspect(t)
		t.worker = nil
		j.mayHaveRun = true
		q.requeue(j, t)
		report.Tasks = append(report.Tasks, i)
	}
	if len(report.Tasks) > 0 {
		q.requeues = append(q.requeues, report)
	}
}

// jobsAt returns the jobs with tasks at a worker, in the order of their submission.
func (w *worker) jobsAt() []*job {
	jobs := make([]*job, 0, len(w.running))
	for j := range w.running {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	return jobs
}
