package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Job is a submission as it enters the queue. The queue keeps the slice of tasks; the caller must
// not change it afterwards.
type Job struct {
	SubmissionID vwid.SubmissionID
	Team         vwid.Team
	Service      vwid.Service
	// Deadline is the latest useful end of the whole job. The zero value means none.
	Deadline time.Time
	Tasks    []JobTask
}

// JobTask is one task of a Job.
type JobTask struct {
	TaskID vwid.TaskID
	// Index is the position of the task in the submission.
	Index int
	// RunTime is the run time declared by the caller. Zero means that none is declared.
	RunTime time.Duration
	Bytes   int
}

// Task is a queued task with the fields of its job.
type Task struct {
	JobTask
	SubmissionID vwid.SubmissionID
	Team         vwid.Team
	Service      vwid.Service
	Deadline     time.Time
}

// Assignment pairs a task with the worker whose credit it uses.
type Assignment struct {
	Worker vwid.Incarnation
	Task   Task
}

// TaskResult is the result of a task that was sent to a worker.
type TaskResult struct {
	Failed  bool
	RunTime time.Duration
}

// ExpiredJob is a job that left the queue because its deadline passed, with its unsent tasks.
type ExpiredJob struct {
	SubmissionID vwid.SubmissionID
	Tasks        []vwid.TaskID
}
