// Package vwjob holds the state of one job at the entry that owns it: the phase, worker and result of each
// task, and the outcome of the job. It is not safe for concurrent use.
package vwjob

import (
	"fmt"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Spec describes a job as the caller submitted it.
type Spec struct {
	SubmissionID vwid.SubmissionID
	Service      vwid.Service
	Team         vwid.Team
	Deadline     time.Time
	Tasks        []TaskSpec
}

// TaskSpec describes one task.
type TaskSpec struct {
	ID       vwid.TaskID
	Payload  []byte
	Declared time.Duration
	Timeout  time.Duration
}

// Phase is the progress of a task as recorded by the owner of its job.
type Phase uint8

// The phases of a task.
const (
	// PhaseWaiting means that the task has no known start and is waiting to be sent to a worker.
	PhaseWaiting Phase = iota
	// PhaseSent means that the task was sent to a worker and has not succeeded or been returned. The task
	// that failed the job stays in it.
	PhaseSent
	// PhaseDone means that the task succeeded and its result is recorded.
	PhaseDone
)

type task struct {
	phase  Phase
	worker vwid.Incarnation
	result []byte
}

// Failure is the reason why a job failed, with the verdict for the whole job.
type Failure struct {
	Code    string
	Verdict vwverdict.Verdict
	Message string
	Tasks   []TaskFailure
}

// TaskFailure is the reason why one task failed.
type TaskFailure struct {
	TaskID  vwid.TaskID
	Verdict vwverdict.Verdict
	Message string
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Message
}

// Job is the state of a job at its owner.
type Job struct {
	Spec
	epoch           vwid.Epoch
	taskIndex       map[vwid.TaskID]int
	tasks           []task
	unfinishedCount int
	// hasAssigned is set while assignedCount is not empty.
	hasAssigned bool
	// priorStartsUnknown is set while an earlier owner may have started tasks unknown to this owner.
	priorStartsUnknown bool
	// assignedCount counts, for each worker, the tasks sent to it, finished ones included, without those that
	// it reported as NotRun or that a fence showed unstarted.
	assignedCount map[vwid.Incarnation]int
	failure       *Failure
}

// ErrDuplicateTask refuses a job in which two tasks have the same id.
type ErrDuplicateTask struct{ TaskID vwid.TaskID }

// Error implements error.
func (e ErrDuplicateTask) Error() string {
	return fmt.Sprintf("task id %q stands twice in the submission", e.TaskID)
}

// Make returns a job whose tasks are all waiting.
func Make(spec Spec, epoch vwid.Epoch) (*Job, error) {
	j := &Job{
		Spec:            spec,
		epoch:           epoch,
		taskIndex:       make(map[vwid.TaskID]int, len(spec.Tasks)),
		tasks:           make([]task, len(spec.Tasks)),
		unfinishedCount: len(spec.Tasks),
		assignedCount:   map[vwid.Incarnation]int{},
	}
	for i := range spec.Tasks {
		id := spec.Tasks[i].ID
		if _, known := j.taskIndex[id]; known {
			return nil, vwverdict.Wrap(vwverdict.NotRun, ErrDuplicateTask{TaskID: id})
		}
		j.taskIndex[id] = i
	}
	return j, nil
}

// Epoch returns the epoch at which this entry owns the job.
func (j *Job) Epoch() vwid.Epoch {
	return j.epoch
}

// SetEpoch records a takeover. Results of earlier epochs are still accepted, because a task starts at
// most once over all epochs, except NotRun, which concerns only the start at its own epoch.
func (j *Job) SetEpoch(epoch vwid.Epoch) {
	j.epoch = epoch
}

// Phase returns the phase of the task at index.
func (j *Job) Phase(index int) Phase {
	return j.tasks[index].phase
}

// Send records that the task at index is sent to worker.
func (j *Job) Send(index int, worker vwid.Incarnation) {
	j.hasAssigned = true
	j.tasks[index].phase = PhaseSent
	j.tasks[index].worker = worker
	j.assignedCount[worker]++
}

// Effect is the effect of a result on a job.
type Effect uint8

// The effects of a result.
const (
	// EffectDropped means that the job did not expect the result and dropped it.
	EffectDropped Effect = iota
	// EffectDone means that the task succeeded, or that it failed and so did the job.
	EffectDone
	// EffectRequeued means that the task has not run and is waiting again.
	EffectRequeued
)

// Apply applies a result from worker and returns the index of its task and the effect.
func (j *Job) Apply(worker vwid.Incarnation, result *vwmessage.Result) (int, Effect) {
	index, known := j.taskIndex[result.TaskID]
	if !known || j.failure != nil || result.Epoch > j.epoch {
		return 0, EffectDropped
	}
	t := &j.tasks[index]
	if t.phase != PhaseSent || t.worker != worker {
		return index, EffectDropped
	}
	switch {
	case result.Verdict == vwverdict.NotRun && result.Epoch != j.epoch:
		// The worker refused a start at an earlier epoch. It may still have accepted the start at this one.
		return index, EffectDropped
	case result.Verdict == vwverdict.NotRun:
		t.phase = PhaseWaiting
		j.unassign(t)
		return index, EffectRequeued
	case result.Verdict == vwverdict.Ran && !result.Failed:
		t.phase = PhaseDone
		t.result = result.Payload
		j.unfinishedCount--
		return index, EffectDone
	}
	j.failTask(result)
	return index, EffectDone
}

func (j *Job) failTask(result *vwmessage.Result) {
	failure := TaskFailure{TaskID: result.TaskID, Verdict: result.Verdict, Message: result.Message}
	code, message := CodeTaskFailed, fmt.Sprintf("task %q failed: %s", result.TaskID, result.Message)
	if result.Verdict == vwverdict.MayHaveRun {
		code, message = CodeWorkerLost, fmt.Sprintf("the outcome of task %q is not known: %s", result.TaskID, result.Message)
	}
	isLast := j.unfinishedCount == 1
	j.fail(Failure{Code: code, Message: message, Tasks: []TaskFailure{failure}})
	if isLast && result.Verdict == vwverdict.Ran {
		// All other tasks are done, so the whole job has run.
		j.failure.Verdict = vwverdict.Ran
	}
}

// Failure codes, as they appear in the problem documents that callers receive.
const (
	CodeTaskFailed = "TaskFailed"
	CodeWorkerLost = "WorkerLost"
)

// Fail ends the job, unless it has ended. The verdict is NotRun only when no task can have started.
func (j *Job) Fail(code, message string) {
	j.fail(Failure{Code: code, Message: message})
}

// FailWithVerdict ends the job, unless it has ended, with a verdict that the job cannot determine itself, for
// example about starts of an earlier owner.
func (j *Job) FailWithVerdict(code string, verdict vwverdict.Verdict, message string) {
	if !j.Ended() {
		j.failure = &Failure{Code: code, Verdict: verdict, Message: message}
	}
}

func (j *Job) fail(failure Failure) {
	if j.Ended() {
		return
	}
	failure.Verdict = j.failureVerdict()
	j.failure = &failure
}

// failureVerdict returns the verdict of a job that fails now: NotRun if no task can have started.
func (j *Job) failureVerdict() vwverdict.Verdict {
	if !j.MayHaveStarted() {
		return vwverdict.NotRun
	}
	return vwverdict.MayHaveRun
}

// MayHaveStarted reports whether a task may have started, under this owner or an earlier one.
func (j *Job) MayHaveStarted() bool {
	return j.hasAssigned || j.priorStartsUnknown
}

// SetPriorStartsUnknown records whether an earlier owner may have started tasks unknown to this owner. While
// set, the verdict of a failure is MayHaveRun.
func (j *Job) SetPriorStartsUnknown(uncertain bool) {
	j.priorStartsUnknown = uncertain
}

// unassign removes the assignment of a task that has not run, and clears hasAssigned when no other task is
// assigned.
func (j *Job) unassign(t *task) {
	if j.assignedCount[t.worker]--; j.assignedCount[t.worker] == 0 {
		delete(j.assignedCount, t.worker)
	}
	t.worker = ""
	j.hasAssigned = len(j.assignedCount) > 0
}

// SentTo returns the indexes of the tasks that are in PhaseSent at worker.
func (j *Job) SentTo(worker vwid.Incarnation) []int {
	var sent []int
	for i := range j.tasks {
		if j.tasks[i].phase == PhaseSent && j.tasks[i].worker == worker {
			sent = append(sent, i)
		}
	}
	return sent
}

// FailLostWorker records that the worker incarnation is permanently lost. The job fails if a task was sent to it and
// has no known outcome, because that task may have run.
func (j *Job) FailLostWorker(worker vwid.Incarnation) {
	for _, index := range j.SentTo(worker) {
		j.failTask(&vwmessage.Result{
			TaskID:  j.Tasks[index].ID,
			Verdict: vwverdict.MayHaveRun,
			Message: fmt.Sprintf("worker incarnation %s is gone", worker),
		})
		return
	}
}

// Reconcile compares the tasks sent to worker with its start records, after a reconnection or a fence.
// The argument sent holds the indexes that SentTo returned when the fence was sent; a task that was sent
// later is not in the reply. Reconcile returns the indexes of the tasks that the worker has not started
// and never will; they are waiting again.
func (j *Job) Reconcile(worker vwid.Incarnation, sent []int, reply *vwmessage.FenceReply) []int {
	if j.Ended() {
		return nil
	}
	started := make(map[vwid.TaskID]bool, len(reply.Started))
	for i := range reply.Started {
		record := &reply.Started[i]
		started[record.TaskID] = true
		j.applyStartRecord(worker, record)
	}
	var unstarted []int
	for _, index := range sent {
		t := &j.tasks[index]
		if started[j.Tasks[index].ID] || t.phase != PhaseSent || t.worker != worker {
			continue
		}
		t.phase = PhaseWaiting
		j.unassign(t)
		unstarted = append(unstarted, index)
	}
	return unstarted
}

// applyStartRecord records a start that the worker reports, and its result if there is one. A waiting
// task, such as one that an earlier owner sent, becomes sent.
func (j *Job) applyStartRecord(worker vwid.Incarnation, record *vwmessage.StartedTask) {
	index, known := j.taskIndex[record.TaskID]
	if !known {
		return
	}
	if j.tasks[index].phase == PhaseWaiting {
		j.Send(index, worker)
	}
	if record.Result != nil {
		j.Apply(worker, record.Result)
	}
}

// Waiting returns the indexes of the tasks in PhaseWaiting.
func (j *Job) Waiting() []int {
	var waiting []int
	for i := range j.tasks {
		if j.tasks[i].phase == PhaseWaiting {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// Workers returns the workers that may hold start records of the job.
func (j *Job) Workers() []vwid.Incarnation {
	workers := make([]vwid.Incarnation, 0, len(j.assignedCount))
	for worker := range j.assignedCount {
		workers = append(workers, worker)
	}
	return workers
}

// Ended reports whether the job has failed or all its tasks are done.
func (j *Job) Ended() bool {
	return j.failure != nil || j.unfinishedCount == 0
}

// Failure returns why the job failed, or nil.
func (j *Job) Failure() *Failure {
	return j.failure
}

// Result returns the result of the task at index of a complete job.
func (j *Job) Result(index int) []byte {
	return j.tasks[index].result
}
