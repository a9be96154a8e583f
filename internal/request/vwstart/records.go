// Package vwstart holds the start records of one agent incarnation: which tasks it has started, at which
// epoch, and their results until the owner acknowledges them. It has no goroutines and no clock; the
// goroutine that owns the agent's state passes the time in.
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

// Lifetime is how long a record is kept after its last change. Control drops a submission after
// vwstate.SubmissionRetention by its own clock, which may differ from the caller's by vwstate.MaxClockSkew.
const Lifetime = vwstate.SubmissionRetention + vwstate.MaxClockSkew

// MessageResultGone is the message that replaces a result evicted by Limits.Bytes.
const MessageResultGone = "the task ran; its result is no longer kept"

// Limits bound the memory of the records.
type Limits struct {
	// Records bounds the number of start records. Starts beyond it are refused with ErrTooMany.
	Records int
	// Bytes bounds the payloads and messages of kept results, with an overhead for each result. The
	// oldest are evicted first.
	Bytes int
	// Tombstones bounds the number of tombstones of acknowledged submissions. The oldest are evicted
	// first. Then a start of an unknown submission is refused if its id is no newer than an evicted one.
	Tombstones int
}

// Records holds the start records of one agent incarnation. It is not safe for concurrent use.
type Records struct {
	limits      Limits
	submissions map[vwid.SubmissionID]*submissionRecord
	startCount  int
	results     resultStore
	tombstones  tombstones
	// newestDropped is the latest UUIDv7 timestamp of a submission whose expired record or whose
	// tombstone was dropped. An unknown submission that is not newer may be one of them.
	newestDropped time.Time
}

// Make returns empty records.
func Make(limits Limits) *Records {
	return &Records{
		limits:      limits,
		submissions: map[vwid.SubmissionID]*submissionRecord{},
		results:     resultStore{maxBytes: limits.Bytes},
		tombstones:  makeTombstones(),
	}
}

// Start records the start of a task, or returns why it must not start. The caller may start the task
// only after a nil error. The error's verdict is NotRun, except MayHaveRun for ErrForgotten.
func (r *Records) Start(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	if err := r.Check(submission, epoch, task); err != nil {
		return err
	}
	record := r.update(now, submission)
	record.epoch = epoch
	record.runningCount++
	if record.tasks == nil {
		record.tasks = map[vwid.TaskID]*startRecord{}
	}
	record.tasks[task] = &startRecord{}
	r.startCount++
	return nil
}

// Check returns the error that Start would return, and records nothing.
func (r *Records) Check(submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error {
	if record := r.submissions[submission]; record != nil {
		if err := record.checkStart(submission, epoch, task); err != nil {
			return err
		}
	} else if err := r.checkUnknown(submission, epoch); err != nil {
		return err
	}
	if r.startCount >= r.limits.Records {
		return wrapNotRun(&ErrTooMany{Limit: r.limits.Records})
	}
	return nil
}

// checkUnknown refuses a submission without a record if it was acknowledged or if its record may have
// been dropped.
func (r *Records) checkUnknown(submission vwid.SubmissionID, epoch vwid.Epoch) error {
	id, err := parseSubmissionID(submission)
	if err != nil {
		return wrapNotRun(err)
	}
	if known, found := r.tombstones.find(id); found {
		if epoch < known {
			return wrapNotRun(&ErrFenced{SubmissionID: submission, Epoch: epoch, KnownEpoch: known})
		}
		return vwverdict.Wrap(vwverdict.MayHaveRun, &ErrForgotten{SubmissionID: submission})
	}
	if !timestamp(id).After(r.newestDropped) {
		return vwverdict.Wrap(vwverdict.MayHaveRun, &ErrForgotten{SubmissionID: submission})
	}
	return nil
}

func parseSubmissionID(submission vwid.SubmissionID) (uuid.UUID, error) {
	id, err := uuid.Parse(string(submission))
	if err != nil || id.Version() != 7 {
		return uuid.UUID{}, trace.BadParameter("submission id %q is not a UUIDv7", submission)
	}
	return id, nil
}

func timestamp(id uuid.UUID) time.Time {
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// update returns the record of a submission, created if there is none, and sets its time of change.
func (r *Records) update(now time.Time, submission vwid.SubmissionID) *submissionRecord {
	record := r.submissions[submission]
	if record == nil {
		record = &submissionRecord{}
		r.submissions[submission] = record
	}
	record.updatedAt = now
	return record
}

// Finish keeps the result of a started task. A result of verdict NotRun removes the start record
// instead, because the task did not reach the backend server and may be started again. Finish reports
// false, and keeps nothing, when the task is not recorded as running, for example after its
// acknowledgement. Records retains the pointer, so the caller must not change the result afterwards.
func (r *Records) Finish(now time.Time, result *vwmessage.Result) bool {
	record := r.submissions[result.SubmissionID]
	if record == nil {
		return false
	}
	task := record.tasks[result.TaskID]
	if task == nil || task.finished {
		return false
	}
	record.updatedAt = now
	record.runningCount--
	if result.Verdict == vwverdict.NotRun {
		delete(record.tasks, result.TaskID)
		r.startCount--
		return true
	}
	task.finished = true
	r.results.add(task, result)
	return true
}

// Report returns the result of a started task to send to an entry at epoch, or nil when the task still
// runs or is unknown.
func (r *Records) Report(submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) *vwmessage.Result {
	record := r.submissions[submission]
	if record == nil || record.tasks[task] == nil {
		return nil
	}
	return record.tasks[task].resultFor(submission, epoch, task)
}

// Fence raises the epoch of a submission, so that starts at lower epochs are refused, and lists its
// started tasks. The reply is Refused when a higher epoch is known, when the id is not a UUIDv7, and also
// when the records of the submission were or may have been dropped: its tasks may have run, and an empty
// list would mean that they have not.
func (r *Records) Fence(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) *vwmessage.FenceReply {
	record := r.submissions[submission]
	if record == nil {
		if err := r.checkUnknown(submission, epoch); err != nil {
			return &vwmessage.FenceReply{SubmissionID: submission, Epoch: epoch, Refused: true}
		}
	} else if epoch < record.epoch {
		return &vwmessage.FenceReply{SubmissionID: submission, Epoch: record.epoch, Refused: true}
	}
	record = r.update(now, submission)
	record.epoch = epoch
	return &vwmessage.FenceReply{SubmissionID: submission, Epoch: epoch, Started: record.startedTasks(submission, epoch)}
}

// Cancel cancels a submission, so that starts at epoch or below are refused, and returns its running
// tasks. It reports false when a higher epoch is known, or when the submission has no record and its
// starts are refused anyway, so that nothing is left to cancel.
func (r *Records) Cancel(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) ([]vwid.TaskID, bool) {
	if record := r.submissions[submission]; record != nil {
		if epoch < record.epoch {
			return nil, false
		}
	} else if r.checkUnknown(submission, epoch) != nil {
		return nil, false
	}
	record := r.update(now, submission)
	record.epoch = epoch
	record.cancelledEpoch = epoch
	return record.runningTasks(), true
}

// Acknowledge drops the start records and results of a submission. A tombstone stays for Lifetime, so
// that a delayed start message cannot start a task again. It reports false when the record has a higher
// epoch or the id is invalid.
func (r *Records) Acknowledge(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) bool {
	id, err := parseSubmissionID(submission)
	if err != nil {
		return false
	}
	if record := r.submissions[submission]; record != nil {
		if epoch < record.epoch {
			return false
		}
		r.remove(submission, record)
	}
	r.tombstones.put(now, id, epoch)
	r.evictTombstones(now)
	return true
}

// Expire drops records and tombstones older than Lifetime, except records with a running task.
func (r *Records) Expire(now time.Time) {
	for submission, record := range r.submissions {
		if record.runningCount > 0 || now.Sub(record.updatedAt) < Lifetime {
			continue
		}
		if id, err := parseSubmissionID(submission); err == nil {
			r.noteDropped(id)
		}
		r.remove(submission, record)
	}
	r.evictTombstones(now)
}

// evictTombstones drops the tombstones that are older than Lifetime or exceed Limits.Tombstones.
func (r *Records) evictTombstones(now time.Time) {
	for {
		id, found := r.tombstones.evictOldest(now.Add(-Lifetime), r.limits.Tombstones)
		if !found {
			return
		}
		r.noteDropped(id)
	}
}

// noteDropped raises newestDropped to the timestamp of id.
func (r *Records) noteDropped(id uuid.UUID) {
	if at := timestamp(id); at.After(r.newestDropped) {
		r.newestDropped = at
	}
}

// remove deletes the record of a submission and its results.
func (r *Records) remove(submission vwid.SubmissionID, record *submissionRecord) {
	for _, task := range record.tasks {
		r.results.remove(task)
	}
	r.startCount -= len(record.tasks)
	r.results.compact()
	delete(r.submissions, submission)
}

// StartCount returns the number of start records.
func (r *Records) StartCount() int {
	return r.startCount
}

// TombstoneCount returns the number of acknowledged submissions that have a tombstone.
func (r *Records) TombstoneCount() int {
	return r.tombstones.len()
}

// ResultBytes returns the size of the kept results, as bounded by Limits.Bytes.
func (r *Records) ResultBytes() int {
	return r.results.bytes
}

// ResultCount returns the number of kept results.
func (r *Records) ResultCount() int {
	return r.results.count
}
