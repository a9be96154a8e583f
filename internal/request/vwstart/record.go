package vwstart

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// record is what the agent knows of one submission that is not acknowledged.
type record struct {
	epoch vwid.Epoch
	// cancelled is the highest cancelled epoch; starts up to it are refused.
	cancelled vwid.Epoch
	running   int
	tasks     map[vwid.TaskID]*started
	// touched is the time of the last change; the lifetime counts from it.
	touched time.Time
}

// started is one start record.
type started struct {
	finished bool
	// result is nil while the task runs and after the byte bound dropped it.
	result *vwmessage.Result
}

// check returns the reason against a start in this submission.
func (r *record) check(submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	if _, found := r.tasks[task]; found {
		return refuse(&ErrAlreadyStarted{SubmissionID: submission, TaskID: task})
	}
	if epoch < r.epoch {
		return refuse(&ErrFenced{SubmissionID: submission, Epoch: epoch, Known: r.epoch})
	}
	if epoch <= r.cancelled {
		return refuse(&ErrFenced{SubmissionID: submission, Epoch: epoch, Known: r.cancelled, Cancelled: true})
	}
	return nil
}

// list returns the start records as a FenceReply carries them. The results carry epoch, under which
// the asking entry correlates them.
func (r *record) list(submission vwid.SubmissionID, epoch vwid.Epoch) []vwmessage.StartedTask {
	list := make([]vwmessage.StartedTask, 0, len(r.tasks))
	for id, task := range r.tasks {
		list = append(list, vwmessage.StartedTask{TaskID: id, Result: task.report(submission, epoch, id)})
	}
	return list
}

// runningTasks returns the tasks without a result.
func (r *record) runningTasks() []vwid.TaskID {
	running := make([]vwid.TaskID, 0, r.running)
	for id, task := range r.tasks {
		if !task.finished {
			running = append(running, id)
		}
	}
	return running
}

// report returns the result as an entry gets it, or nil while the task runs.
func (t *started) report(submission vwid.SubmissionID, epoch vwid.Epoch, id vwid.TaskID) *vwmessage.Result {
	if !t.finished {
		return nil
	}
	if t.result == nil {
		return &vwmessage.Result{
			SubmissionID: submission, Epoch: epoch, TaskID: id,
			Verdict: vwverdict.Ran, Failed: true, Message: MessageResultGone,
		}
	}
	copied := *t.result
	copied.Epoch = epoch
	return &copied
}
