package vwstart

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// submissionRecord holds the epochs and the start records of a submission that is not acknowledged.
type submissionRecord struct {
	// epoch is the highest epoch of a start, fence or cancellation; starts below it are refused.
	epoch vwid.Epoch
	// cancelledEpoch is the highest cancelled epoch; starts up to it are refused.
	cancelledEpoch vwid.Epoch
	runningCount   int
	tasks          map[vwid.TaskID]*startRecord
	// updatedAt is the time of the last change. The record expires Lifetime after it.
	updatedAt time.Time
}

// startRecord records the start of one task, and its result.
type startRecord struct {
	finished bool
	// result is nil while the task runs and after its eviction.
	result *vwmessage.Result
}

// checkStart returns an error if the task must not start at epoch.
func (r *submissionRecord) checkStart(submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	if _, found := r.tasks[task]; found {
		return wrapNotRun(&ErrAlreadyStarted{SubmissionID: submission, TaskID: task})
	}
	if epoch < r.epoch {
		return wrapNotRun(&ErrFenced{SubmissionID: submission, Epoch: epoch, KnownEpoch: r.epoch})
	}
	if epoch <= r.cancelledEpoch {
		return wrapNotRun(&ErrFenced{SubmissionID: submission, Epoch: epoch, KnownEpoch: r.cancelledEpoch, Cancelled: true})
	}
	return nil
}

// startedTasks returns the start records for a FenceReply. The results carry the given epoch, by which
// the entry that sent the fence correlates them.
func (r *submissionRecord) startedTasks(submission vwid.SubmissionID, epoch vwid.Epoch) []vwmessage.StartedTask {
	tasks := make([]vwmessage.StartedTask, 0, len(r.tasks))
	for id, record := range r.tasks {
		tasks = append(tasks, vwmessage.StartedTask{TaskID: id, Result: record.resultFor(submission, epoch, id)})
	}
	return tasks
}

// runningTasks returns the tasks that have not finished.
func (r *submissionRecord) runningTasks() []vwid.TaskID {
	running := make([]vwid.TaskID, 0, r.runningCount)
	for id, record := range r.tasks {
		if !record.finished {
			running = append(running, id)
		}
	}
	return running
}

// resultFor returns the result to send to an entry at epoch, or nil while the task runs. An evicted
// result is replaced by a failure that says that the task ran.
func (r *startRecord) resultFor(submission vwid.SubmissionID, epoch vwid.Epoch, id vwid.TaskID) *vwmessage.Result {
	if !r.finished {
		return nil
	}
	if r.result == nil {
		return &vwmessage.Result{
			SubmissionID: submission, Epoch: epoch, TaskID: id,
			Verdict: vwverdict.Ran, Failed: true, Message: MessageResultGone,
		}
	}
	copied := *r.result
	copied.Epoch = epoch
	return &copied
}
