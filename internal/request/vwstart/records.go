// Package vwstart holds the start records of one agent incarnation: which tasks it has started, under
// which epoch, and their results until the owner acknowledges them. It has no goroutines and no
// clock; the goroutine that owns the agent's state passes the time in.
package vwstart

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Lifetime is how long a record is kept after its last change. Control forgets a submission after
// vwstate.Retention of its own clock, which may differ from the caller's by vwstate.Skew.
const Lifetime = vwstate.Retention + vwstate.Skew

// MessageResultGone is the message of a result that the byte bound has dropped.
const MessageResultGone = "the task ran; its result is no longer kept"

// Limits bound the memory of the records.
type Limits struct {
	// Records bounds the number of start records and tombstones together. At the bound starts are
	// refused; fences, cancellations and acknowledgements are always recorded.
	Records int
	// Bytes bounds the payloads and messages of kept results.
	Bytes int
}

// Records are the start records of one agent incarnation. One goroutine owns them.
type Records struct {
	limits      Limits
	submissions map[vwid.SubmissionID]*record
	// tasks counts the start records, bytes the sizes of the kept results.
	tasks int
	bytes int
	// finished holds the tasks with results, oldest first. Entries whose result is gone are skipped.
	finished []*started
	kept     int
	// forgotten is the latest time inside the id of any expired submission that had starts. An
	// unknown submission that is not newer may be one of them.
	forgotten time.Time
}

// Make returns empty records.
func Make(limits Limits) *Records {
	return &Records{limits: limits, submissions: map[vwid.SubmissionID]*record{}}
}

// Start records the start of a task, or returns why it must not start. The caller may start the task
// only after a nil error. The error's verdict is NotRun, and MayHaveRun for ErrForgotten.
func (r *Records) Start(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	found := r.submissions[submission]
	if found != nil {
		if err := found.check(submission, epoch, task); err != nil {
			return err
		}
	} else if err := r.checkUnknown(submission); err != nil {
		return err
	}
	if r.Len() >= r.limits.Records {
		return refuse(&ErrTooMany{Limit: r.limits.Records})
	}
	found = r.touch(now, submission)
	found.epoch = epoch
	found.hasStarted = true
	found.running++
	if found.tasks == nil {
		found.tasks = map[vwid.TaskID]*started{}
	}
	found.tasks[task] = &started{}
	r.tasks++
	return nil
}

// checkUnknown refuses a submission without a record when the record may have expired.
func (r *Records) checkUnknown(submission vwid.SubmissionID) error {
	at, err := vwid.SubmissionTime(submission)
	if err != nil {
		return refuse(err)
	}
	if !at.After(r.forgotten) {
		return forgotten(submission)
	}
	return nil
}

func forgotten(submission vwid.SubmissionID) error {
	return vwverdict.Wrap(vwverdict.MayHaveRun, &ErrForgotten{SubmissionID: submission})
}

func (r *Records) touch(now time.Time, submission vwid.SubmissionID) *record {
	found := r.submissions[submission]
	if found == nil {
		found = &record{}
		r.submissions[submission] = found
	}
	found.touched = now
	return found
}

// Finish keeps the result of a started task. A result of verdict NotRun removes the start record
// instead, because the task did not reach the backend server and may be started again. Finish reports
// false, and keeps nothing, when the task is not recorded as running, for example after its
// acknowledgement. The records keep the pointer; the caller must not change the result afterwards.
func (r *Records) Finish(now time.Time, result *vwmessage.Result) bool {
	found := r.submissions[result.SubmissionID]
	if found == nil {
		return false
	}
	task := found.tasks[result.TaskID]
	if task == nil || task.finished {
		return false
	}
	found.touched = now
	found.running--
	if result.Verdict == vwverdict.NotRun {
		delete(found.tasks, result.TaskID)
		r.tasks--
		return true
	}
	task.finished = true
	task.result = result
	r.finished = append(r.finished, task)
	r.kept++
	r.bytes += size(result)
	r.trim()
	return true
}

// Report returns the result of a started task as an entry at epoch gets it. It returns nil when the
// task runs or is unknown.
func (r *Records) Report(submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) *vwmessage.Result {
	found := r.submissions[submission]
	if found == nil || found.tasks[task] == nil {
		return nil
	}
	return found.tasks[task].report(submission, epoch, task)
}

// Fence refuses lower epochs of a submission from now on and lists its started tasks. The reply is
// Refused when a higher epoch is known, and also when the records of the submission are or may be
// gone: then the tasks may have run, and an empty list would claim that they have not.
func (r *Records) Fence(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) *vwmessage.FenceReply {
	found := r.submissions[submission]
	if found == nil {
		if err := r.checkUnknown(submission); err != nil {
			return &vwmessage.FenceReply{SubmissionID: submission, Epoch: epoch, Refused: true}
		}
	} else if epoch < found.epoch || found.acknowledged {
		return &vwmessage.FenceReply{SubmissionID: submission, Epoch: found.epoch, Refused: true}
	}
	found = r.touch(now, submission)
	found.epoch = epoch
	return &vwmessage.FenceReply{SubmissionID: submission, Epoch: epoch, Started: found.list(submission, epoch)}
}

// Cancel refuses the starts of a submission up to epoch from now on, and returns its running tasks.
// It reports false when a higher epoch is known.
func (r *Records) Cancel(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) ([]vwid.TaskID, bool) {
	if found := r.submissions[submission]; found != nil && epoch < found.epoch {
		return nil, false
	}
	found := r.touch(now, submission)
	found.epoch = epoch
	found.cancelled = max(found.cancelled, epoch)
	running := make([]vwid.TaskID, 0, found.running)
	for id, task := range found.tasks {
		if !task.finished {
			running = append(running, id)
		}
	}
	return running, true
}

// Acknowledge drops the tasks and results of a submission. A tombstone stays for Lifetime, so that
// a delayed start cannot start a task again. It reports false when a higher epoch is known.
func (r *Records) Acknowledge(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) bool {
	if found := r.submissions[submission]; found != nil && epoch < found.epoch {
		return false
	}
	found := r.touch(now, submission)
	found.epoch = epoch
	found.acknowledged = true
	r.dropTasks(found)
	return true
}

// Expire drops the records whose last change is older than Lifetime and none of whose tasks runs.
func (r *Records) Expire(now time.Time) {
	for id, found := range r.submissions {
		if found.running > 0 || now.Sub(found.touched) < Lifetime {
			continue
		}
		// Records are made only for ids that carry a time, except by an entry that sends nonsense.
		if at, err := vwid.SubmissionTime(id); err == nil && found.hasStarted && at.After(r.forgotten) {
			r.forgotten = at
		}
		r.dropTasks(found)
		delete(r.submissions, id)
	}
}

// Len returns the number of start records and tombstones.
func (r *Records) Len() int {
	return r.tasks + len(r.submissions)
}

// Bytes returns the size of the kept results.
func (r *Records) Bytes() int {
	return r.bytes
}

// Unacknowledged returns the number of finished tasks whose results are kept.
func (r *Records) Unacknowledged() int {
	return r.kept
}

func (r *Records) dropTasks(found *record) {
	for _, task := range found.tasks {
		r.dropResult(task)
	}
	r.tasks -= len(found.tasks)
	found.tasks = nil
	found.running = 0
	r.compact()
}

func (r *Records) dropResult(task *started) {
	if task.result == nil {
		return
	}
	r.bytes -= size(task.result)
	r.kept--
	task.result = nil
}

// trim drops the oldest results until the rest fits the bound.
func (r *Records) trim() {
	for r.bytes > r.limits.Bytes && len(r.finished) > 0 {
		r.dropResult(r.finished[0])
		r.finished[0] = nil
		r.finished = r.finished[1:]
	}
}

// compactSlack is how many entries without a result the queue may hold before it is compacted.
const compactSlack = 1024

// compact removes entries without a result, so that acknowledged tasks do not pile up in the queue.
func (r *Records) compact() {
	if len(r.finished) <= 2*r.kept+compactSlack {
		return
	}
	live := make([]*started, 0, r.kept)
	for _, task := range r.finished {
		if task.result != nil {
			live = append(live, task)
		}
	}
	r.finished = live
}

// resultOverhead approximates the memory of a kept result beside its payload and message.
const resultOverhead = 200

func size(result *vwmessage.Result) int {
	return resultOverhead + len(result.Payload) + len(result.Message)
}
