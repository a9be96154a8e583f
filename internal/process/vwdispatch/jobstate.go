package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// queuedJob is a job with tasks that are not sent yet.
type queuedJob struct {
	Job
	queue      *teamQueue
	enqueuedAt time.Time
	sequence   uint64
	nextTask   int
	bytes      int
	// dropped marks a job that was cancelled or expired. It is removed from the heap later, so that
	// the cost of a cancellation does not depend on the length of the queue.
	dropped bool
}

// before orders jobs by deadline, those without one last, then by arrival.
func (j *queuedJob) before(other *queuedJob) bool {
	if j.Deadline.Equal(other.Deadline) {
		return j.sequence < other.sequence
	}
	if j.Deadline.IsZero() || other.Deadline.IsZero() {
		return other.Deadline.IsZero()
	}
	return j.Deadline.Before(other.Deadline)
}

func (j *queuedJob) waiting() int {
	return len(j.Tasks) - j.nextTask
}

func (j *queuedJob) expired(now time.Time) bool {
	return !j.Deadline.IsZero() && !now.Before(j.Deadline)
}

// take returns the next task. The caller has checked that one is waiting.
func (j *queuedJob) take() Task {
	task := j.Tasks[j.nextTask]
	j.nextTask++
	j.bytes -= task.Bytes
	return Task{JobTask: task, SubmissionID: j.SubmissionID, Team: j.Team, Service: j.Service, Deadline: j.Deadline}
}

func (j *queuedJob) unsent() []vwid.TaskID {
	ids := make([]vwid.TaskID, 0, j.waiting())
	for _, task := range j.Tasks[j.nextTask:] {
		ids = append(ids, task.TaskID)
	}
	return ids
}
