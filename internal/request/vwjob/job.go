// Package vwjob holds one job at the entry that owns it: what is known of each task, which results
// belong to it, and the whole answer. It is plain state that one goroutine owns.
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

// Phase is how far a task has come.
type Phase uint8

// The phases of a task.
const (
	// PhaseWaiting means that the task has not started anywhere.
	PhaseWaiting Phase = iota
	// PhaseSent means that a worker got the task and its end is not known.
	PhaseSent
	// PhaseDone means that the result is here.
	PhaseDone
)

type task struct {
	phase  Phase
	worker vwid.Incarnation
	result []byte
}

// Failure tells why a job failed.
type Failure struct {
	Code    string
	Verdict vwverdict.Verdict
	Message string
	Tasks   []TaskFailure
}

// TaskFailure tells why one task failed.
type TaskFailure struct {
	TaskID  vwid.TaskID
	Verdict vwverdict.Verdict
	Message string
}

// Error implements error.
func (f *Failure) Error() string {
	return f.Message
}

// Job is a job at its owner.
type Job struct {
	Spec
	epoch      vwid.Epoch
	index      map[vwid.TaskID]int
	tasks      []task
	unfinished int
	everSent   bool
	uncertain  bool
	workers    map[vwid.Incarnation]int
	failure    *Failure
}

// ErrDuplicateTask refuses a job with two tasks of one id.
type ErrDuplicateTask struct{ TaskID vwid.TaskID }

// Error implements error.
func (e ErrDuplicateTask) Error() string {
	return fmt.Sprintf("task id %q stands twice in the submission", e.TaskID)
}

// Make returns a job of which nothing has started.
func Make(spec Spec, epoch vwid.Epoch) (*Job, error) {
	j := &Job{
		Spec:       spec,
		epoch:      epoch,
		index:      make(map[vwid.TaskID]int, len(spec.Tasks)),
		tasks:      make([]task, len(spec.Tasks)),
		unfinished: len(spec.Tasks),
		workers:    map[vwid.Incarnation]int{},
	}
	for i := range spec.Tasks {
		id := spec.Tasks[i].ID
		if _, known := j.index[id]; known {
			return nil, vwverdict.Wrap(vwverdict.NotRun, ErrDuplicateTask{TaskID: id})
		}
		j.index[id] = i
	}
	return j, nil
}

// Epoch returns the epoch of the ownership.
func (j *Job) Epoch() vwid.Epoch {
	return j.epoch
}

// SetEpoch records a takeover. Results of earlier epochs still count, because a task starts once
// over all epochs.
func (j *Job) SetEpoch(epoch vwid.Epoch) {
	j.epoch = epoch
}

// Phase returns how far the task at index has come.
func (j *Job) Phase(index int) Phase {
	return j.tasks[index].phase
}

// Send records that the task at index goes to worker.
func (j *Job) Send(index int, worker vwid.Incarnation) {
	j.everSent = true
	j.tasks[index].phase = PhaseSent
	j.tasks[index].worker = worker
	j.workers[worker]++
}

// Match tells what a result meant to a job.
type Match uint8

// The matches of a result.
const (
	// MatchStray means that the result belongs to nothing that is expected; it was dropped.
	MatchStray Match = iota
	// MatchDone means that a task is done, or failed and with it the job.
	MatchDone
	// MatchRequeue means that the task has not run and waits again.
	MatchRequeue
)

// Apply takes a result from worker and returns the index of its task.
func (j *Job) Apply(worker vwid.Incarnation, result *vwmessage.Result) (int, Match) {
	index, known := j.index[result.TaskID]
	if !known || j.failure != nil || result.Epoch > j.epoch {
		return 0, MatchStray
	}
	t := &j.tasks[index]
	if t.phase != PhaseSent || t.worker != worker {
		return index, MatchStray
	}
	switch {
	case result.Verdict == vwverdict.NotRun && result.Epoch != j.epoch:
		// A refusal of an earlier ownership's start says nothing about the start of this one.
		return index, MatchStray
	case result.Verdict == vwverdict.NotRun:
		t.phase = PhaseWaiting
		j.leave(t)
		return index, MatchRequeue
	case result.Verdict == vwverdict.Ran && !result.Failed:
		t.phase = PhaseDone
		t.result = result.Payload
		j.unfinished--
		return index, MatchDone
	}
	j.failTask(result)
	return index, MatchDone
}

func (j *Job) failTask(result *vwmessage.Result) {
	failure := TaskFailure{TaskID: result.TaskID, Verdict: result.Verdict, Message: result.Message}
	code, message := CodeTaskFailed, fmt.Sprintf("task %q failed: %s", result.TaskID, result.Message)
	if result.Verdict == vwverdict.MayHaveRun {
		code, message = CodeWorkerLost, fmt.Sprintf("the outcome of task %q is not known: %s", result.TaskID, result.Message)
	}
	last := j.unfinished == 1
	j.fail(Failure{Code: code, Message: message, Tasks: []TaskFailure{failure}})
	if last && result.Verdict == vwverdict.Ran {
		// Every other task is done, so the whole job has run.
		j.failure.Verdict = vwverdict.Ran
	}
}

// Codes of failures. They are the codes of the callers' problem documents.
const (
	CodeTaskFailed = "TaskFailed"
	CodeWorkerLost = "WorkerLost"
)

// Fail ends the job. The verdict is NotRun only when no task was ever sent.
func (j *Job) Fail(code, message string) {
	j.fail(Failure{Code: code, Message: message})
}

// FailWith ends the job with a verdict that the caller knows better, for example about starts of an
// earlier owner.
func (j *Job) FailWith(code string, verdict vwverdict.Verdict, message string) {
	if !j.Ended() {
		j.failure = &Failure{Code: code, Verdict: verdict, Message: message}
	}
}

func (j *Job) fail(failure Failure) {
	if j.Ended() {
		return
	}
	failure.Verdict = j.verdict()
	j.failure = &failure
}

// verdict joins the verdicts of all tasks.
func (j *Job) verdict() vwverdict.Verdict {
	if !j.HasStarted() {
		return vwverdict.NotRun
	}
	return vwverdict.MayHaveRun
}

// HasStarted reports whether a task may have started, here or at an earlier owner.
func (j *Job) HasStarted() bool {
	return j.everSent || j.uncertain
}

// SetUncertain records whether an earlier owner may have started tasks that are not known here. While
// it holds, the verdict of a failure is MayHaveRun.
func (j *Job) SetUncertain(uncertain bool) {
	j.uncertain = uncertain
}

// leave drops the task's claim on its worker. A task that has not run does not count as sent when
// no other was.
func (j *Job) leave(t *task) {
	if j.workers[t.worker]--; j.workers[t.worker] == 0 {
		delete(j.workers, t.worker)
	}
	t.worker = ""
	j.everSent = len(j.workers) > 0
}

// Sent returns the indexes of the tasks whose end worker owes.
func (j *Job) Sent(worker vwid.Incarnation) []int {
	var sent []int
	for i := range j.tasks {
		if j.tasks[i].phase == PhaseSent && j.tasks[i].worker == worker {
			sent = append(sent, i)
		}
	}
	return sent
}

// Lose records that worker is gone for good. A task whose end it owed may have run, so the job fails.
func (j *Job) Lose(worker vwid.Incarnation) {
	for _, index := range j.Sent(worker) {
		j.failTask(&vwmessage.Result{
			TaskID:  j.Tasks[index].ID,
			Verdict: vwverdict.MayHaveRun,
			Message: fmt.Sprintf("worker incarnation %s is gone", worker),
		})
		return
	}
}

// Reconcile compares what was sent to worker with the records of worker, after a new link to it or a
// fence. Owed are the indexes that Sent returned when the fence was sent; a task that was sent later is
// not in the reply. It returns the indexes of the tasks that the worker has not started and never
// will; they wait again.
func (j *Job) Reconcile(worker vwid.Incarnation, owed []int, reply *vwmessage.FenceReply) []int {
	if j.Ended() {
		return nil
	}
	started := make(map[vwid.TaskID]bool, len(reply.Started))
	for i := range reply.Started {
		record := &reply.Started[i]
		started[record.TaskID] = true
		j.adopt(worker, record)
	}
	var unstarted []int
	for _, index := range owed {
		t := &j.tasks[index]
		if started[j.Tasks[index].ID] || t.phase != PhaseSent || t.worker != worker {
			continue
		}
		t.phase = PhaseWaiting
		j.leave(t)
		unstarted = append(unstarted, index)
	}
	return unstarted
}

// adopt takes over a start record that the worker reports.
func (j *Job) adopt(worker vwid.Incarnation, record *vwmessage.StartedTask) {
	index, known := j.index[record.TaskID]
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

// Waiting returns the indexes of the tasks that have not started.
func (j *Job) Waiting() []int {
	var waiting []int
	for i := range j.tasks {
		if j.tasks[i].phase == PhaseWaiting {
			waiting = append(waiting, i)
		}
	}
	return waiting
}

// Workers returns the workers that hold records of the job.
func (j *Job) Workers() []vwid.Incarnation {
	workers := make([]vwid.Incarnation, 0, len(j.workers))
	for worker := range j.workers {
		workers = append(workers, worker)
	}
	return workers
}

// Ended reports whether the answer is settled.
func (j *Job) Ended() bool {
	return j.failure != nil || j.unfinished == 0
}

// Failure returns why the job failed, or nil.
func (j *Job) Failure() *Failure {
	return j.failure
}

// Result returns the result of the task at index of a complete job.
func (j *Job) Result(index int) []byte {
	return j.tasks[index].result
}
