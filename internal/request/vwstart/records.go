// Package vwstart holds the start records of one agent incarnation: which tasks it has started, under
// which epoch, and their results until the owner acknowledges them. It has no goroutines and no
// clock; the goroutine that owns the agent's state passes the time in.
package vwstart

import (
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

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
	// Records bounds the number of start records. At the bound starts are refused.
	Records int
	// Bytes bounds the payloads and messages of kept results. The oldest are dropped first.
	Bytes int
	// Tombstones bounds the number of acknowledged submissions that are remembered. The oldest are
	// forgotten first; then a first start of a submission as old as the forgotten one is refused.
	Tombstones int
}

// Records are the start records of one agent incarnation. One goroutine owns them.
type Records struct {
	limits      Limits
	submissions map[vwid.SubmissionID]*record
	started     int
	kept        keptResults
	tombstones  tombstones
	// forgotten is the latest time inside the id of any submission whose record or tombstone was
	// dropped. An unknown submission that is not newer may be one of them.
	forgotten time.Time
}

// Make returns empty records.
func Make(limits Limits) *Records {
	return &Records{
		limits:      limits,
		submissions: map[vwid.SubmissionID]*record{},
		kept:        keptResults{limit: limits.Bytes},
		tombstones:  makeTombstones(),
	}
}

// Start records the start of a task, or returns why it must not start. The caller may start the task
// only after a nil error. The error's verdict is NotRun, and MayHaveRun for ErrForgotten.
func (r *Records) Start(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	if err := r.Check(submission, epoch, task); err != nil {
		return err
	}
	found := r.touch(now, submission)
	found.epoch = epoch
	found.running++
	if found.tasks == nil {
		found.tasks = map[vwid.TaskID]*started{}
	}
	found.tasks[task] = &started{}
	r.started++
	return nil
}

// Check returns why Start would refuse a task, without a change.
func (r *Records) Check(submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	if found := r.submissions[submission]; found != nil {
		if err := found.check(submission, epoch, task); err != nil {
			return err
		}
	} else if err := r.checkUnknown(submission, epoch); err != nil {
		return err
	}
	if r.started >= r.limits.Records {
		return refuse(&ErrTooMany{Limit: r.limits.Records})
	}
	return nil
}

// checkUnknown refuses a submission without a record when it was acknowledged, or when its record
// may have been dropped.
func (r *Records) checkUnknown(submission vwid.SubmissionID, epoch vwid.Epoch) error {
	id, err := parse(submission)
	if err != nil {
		return refuse(err)
	}
	if known, found := r.tombstones.find(id); found {
		if epoch < known {
			return refuse(&ErrFenced{SubmissionID: submission, Epoch: epoch, Known: known})
		}
		return vwverdict.Wrap(vwverdict.MayHaveRun, &ErrForgotten{SubmissionID: submission})
	}
	if !timeOf(id).After(r.forgotten) {
		return vwverdict.Wrap(vwverdict.MayHaveRun, &ErrForgotten{SubmissionID: submission})
	}
	return nil
}

func parse(submission vwid.SubmissionID) (uuid.UUID, error) {
	id, err := uuid.Parse(string(submission))
	if err != nil || id.Version() != 7 {
		return uuid.UUID{}, trace.BadParameter("submission id %q is not a UUIDv7", submission)
	}
	return id, nil
}

func timeOf(id uuid.UUID) time.Time {
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
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
		r.started--
		return true
	}
	task.finished = true
	r.kept.add(task, result)
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
		if err := r.checkUnknown(submission, epoch); err != nil {
			return &vwmessage.FenceReply{SubmissionID: submission, Epoch: epoch, Refused: true}
		}
	} else if epoch < found.epoch {
		return &vwmessage.FenceReply{SubmissionID: submission, Epoch: found.epoch, Refused: true}
	}
	found = r.touch(now, submission)
	found.epoch = epoch
	return &vwmessage.FenceReply{SubmissionID: submission, Epoch: epoch, Started: found.list(submission, epoch)}
}

// Cancel refuses the starts of a submission up to epoch from now on, and returns its running tasks.
// It reports false when a higher epoch is known or nothing can be left to cancel.
func (r *Records) Cancel(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) ([]vwid.TaskID, bool) {
	if found := r.submissions[submission]; found != nil {
		if epoch < found.epoch {
			return nil, false
		}
	} else if r.checkUnknown(submission, epoch) != nil {
		return nil, false
	}
	found := r.touch(now, submission)
	found.epoch = epoch
	found.cancelled = epoch
	return found.runningTasks(), true
}

// Acknowledge drops the tasks and results of a submission. A tombstone stays for Lifetime, so that
// a delayed start cannot start a task again. It reports false when a higher epoch is known.
func (r *Records) Acknowledge(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) bool {
	id, err := parse(submission)
	if err != nil {
		return false
	}
	if found := r.submissions[submission]; found != nil {
		if epoch < found.epoch {
			return false
		}
		r.drop(submission, found)
	}
	r.tombstones.put(now, id, epoch)
	r.bury(now)
	return true
}

// Expire drops the records whose last change is older than Lifetime and none of whose tasks runs.
func (r *Records) Expire(now time.Time) {
	for submission, found := range r.submissions {
		if found.running > 0 || now.Sub(found.touched) < Lifetime {
			continue
		}
		if id, err := parse(submission); err == nil {
			r.forget(id)
		}
		r.drop(submission, found)
	}
	r.bury(now)
}

// bury drops the tombstones that are too old or too many.
func (r *Records) bury(now time.Time) {
	for {
		id, found := r.tombstones.popOlder(now.Add(-Lifetime), r.limits.Tombstones)
		if !found {
			return
		}
		r.forget(id)
	}
}

func (r *Records) forget(id uuid.UUID) {
	if at := timeOf(id); at.After(r.forgotten) {
		r.forgotten = at
	}
}

func (r *Records) drop(submission vwid.SubmissionID, found *record) {
	for _, task := range found.tasks {
		r.kept.drop(task)
	}
	r.started -= len(found.tasks)
	r.kept.compact()
	delete(r.submissions, submission)
}

// Started returns the number of start records.
func (r *Records) Started() int {
	return r.started
}

// Tombstones returns the number of remembered acknowledged submissions.
func (r *Records) Tombstones() int {
	return r.tombstones.len()
}

// Bytes returns the size of the kept results.
func (r *Records) Bytes() int {
	return r.kept.bytes
}

// Unacknowledged returns the number of results that are kept.
func (r *Records) Unacknowledged() int {
	return r.kept.count
}
