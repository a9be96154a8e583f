package vwentry

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	codeDeadline  = vwapi.CodeDeadline
	codeOwnerLost = vwapi.CodeOwnerLost
	codeCancelled = vwapi.CodeCancelled
)

// job is a job that this entry owns. It does not change after done is closed, so any goroutine may read it
// from then on.
type job struct {
	*vwjob.Job
	digest string
	// hasRecord is set if control has a record of the job.
	hasRecord bool
	// ownershipLost is set if another entry may own the job, so that its owner must be read from control.
	ownershipLost bool
	// handedOver is set if the tasks that have started go on after the job has failed here, for the next owner.
	handedOver bool
	// acceptance identifies the call that control accepted; empty after a takeover.
	acceptance    vwid.Acceptance
	createdAt     time.Time
	done          chan struct{}
	deadlineTimer *time.Timer
	endedAt       time.Time
	resultBytes   int
	// retryAfter is when the caller should return after the queue has refused the job; zero if it was not.
	retryAfter time.Duration
	// recovery is set while start records are collected after a takeover.
	recovery *recovery
}

func makeJob(spec vwjob.Spec, epoch vwid.Epoch, digest string, hasRecord bool) (*job, error) {
	state, err := vwjob.Make(spec, epoch)
	if err != nil {
		return nil, err
	}
	return &job{Job: state, digest: digest, hasRecord: hasRecord, createdAt: time.Now(), done: make(chan struct{})}, nil
}

// queuedTask returns the task at index in the form that the queue takes.
func (j *job) queuedTask(index int) vwdispatch.Task {
	return vwdispatch.Task{
		JobTask:      j.jobTask(index),
		SubmissionID: j.SubmissionID,
		Team:         j.Team,
		Service:      j.Service,
		Deadline:     j.Deadline,
	}
}

func (j *job) jobTask(index int) vwdispatch.JobTask {
	spec := &j.Tasks[index]
	return vwdispatch.JobTask{TaskID: spec.ID, Index: index, RunTime: spec.Declared, Bytes: len(spec.Payload)}
}

// startTask returns the task at index in the form that is sent to an agent. Its timeout does not exceed
// the job's deadline.
func (j *job) startTask(now time.Time, index int) vwmessage.StartTask {
	spec := &j.Tasks[index]
	timeout := spec.Timeout
	if !j.Deadline.IsZero() {
		remaining := max(j.Deadline.Sub(now), time.Millisecond)
		if timeout == 0 || timeout > remaining {
			timeout = remaining
		}
	}
	return vwmessage.StartTask{TaskID: spec.ID, Payload: spec.Payload, TimeoutMilliseconds: timeout.Milliseconds()}
}

// enqueue puts the waiting tasks of j into the queue.
func (e *Entry) enqueue(now time.Time, j *job) error {
	return e.queue.Enqueue(now, j.queuedJob())
}

// queuedJob returns the tasks of j that wait, in the form that the queue takes.
func (j *job) queuedJob() vwdispatch.Job {
	waiting := j.Waiting()
	tasks := make([]vwdispatch.JobTask, 0, len(waiting))
	for _, index := range waiting {
		tasks = append(tasks, j.jobTask(index))
	}
	return vwdispatch.Job{
		SubmissionID: j.SubmissionID,
		Team:         j.Team,
		Service:      j.Service,
		Deadline:     j.Deadline,
		Tasks:        tasks,
	}
}

// addJob adds j to the entry's jobs and starts its deadline timer.
func (e *Entry) addJob(j *job) {
	e.jobs[j.SubmissionID] = j
	e.activeJobs++
	if !j.Deadline.IsZero() {
		j.deadlineTimer = time.AfterFunc(time.Until(j.Deadline), func() {
			e.post(func() { e.expireJob(j) })
		})
	}
}

// expireJob fails a job whose deadline has passed. The queue and the job's own timer report this in either
// order, so the message must not depend on which of them is first.
func (e *Entry) expireJob(j *job) {
	if j.MayHaveStarted() {
		e.failJob(j, codeDeadline, "the deadline passed before the whole answer was there")
		return
	}
	e.failJob(j, codeDeadline, "the deadline passed before the tasks could start")
}

// failJob fails a job unless it has already ended.
func (e *Entry) failJob(j *job, code, message string) {
	j.Fail(code, message)
	e.finishIfEnded(j)
}

// abandonJob fails a job that another entry may own by now. It leaves the record in control unchanged.
func (e *Entry) abandonJob(j *job) {
	j.hasRecord, j.ownershipLost = false, true
	j.FailWithVerdict(codeOwnerLost, vwverdict.MayHaveRun, "another entry may have taken the job over; submit it again to get its answer")
	e.finishIfEnded(j)
}

// finishIfEnded completes a job that has ended, once: it cancels the remaining tasks, proposes the end to
// control and releases the calls that wait for the answer.
func (e *Entry) finishIfEnded(j *job) {
	if !j.Ended() || !j.endedAt.IsZero() {
		return
	}
	j.endedAt = time.Now()
	if j.deadlineTimer != nil {
		j.deadlineTimer.Stop()
	}
	if j.recovery != nil {
		j.recovery = nil
		e.recoveringJobs--
	}
	e.cancelTasks(j)
	for index := range j.Tasks {
		j.resultBytes += len(j.Result(index))
		// The payload is no longer needed, and the answer may be kept for minutes.
		j.Tasks[index].Payload = nil
	}
	e.counters.countEnd(j.Failure())
	reportDuration(e.observer.Answered, j.endedAt.Sub(j.createdAt))
	for _, w := range e.agents {
		if w.leaving && w.jobs[j.SubmissionID] == j {
			e.acknowledge(w, j)
		}
	}
	e.proposeFinish(j)
	close(j.done)
	e.activeJobs--
	e.signalIdle()
	e.endedJobs.add(j)
}

// cancelTasks drops the queued tasks of a failed job and aborts the running ones.
func (e *Entry) cancelTasks(j *job) {
	if j.Failure() == nil {
		return
	}
	e.queue.Cancel(j.SubmissionID)
	if j.handedOver {
		return
	}
	for _, incarnation := range j.Workers() {
		w := e.agents[incarnation]
		if w == nil {
			continue
		}
		unfinished := len(j.SentTo(incarnation))
		for range unfinished {
			e.queue.Finish(time.Now(), incarnation, j.Team, vwdispatch.TaskResult{Failed: true})
		}
		if unfinished > 0 {
			e.send(w, &vwmessage.Cancel{SubmissionID: j.SubmissionID, Epoch: j.Epoch()})
		}
	}
}

// proposeFinish records the end of j in control in the background. The answer does not wait for this: while
// the record still shows a running job, a resubmission gets the answer from this entry or collects it from
// the agents.
func (e *Entry) proposeFinish(j *job) {
	if !j.hasRecord {
		return
	}
	command := &vwstate.Finish{SubmissionID: j.SubmissionID, Epoch: j.Epoch(), Owner: e.incarnation, Failed: j.Failure() != nil}
	if j.hasNotRun() {
		command.Forget = j.acceptance
	}
	e.activeJobs++
	e.group.Run(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := vweditor.Propose(limited, e.control, vwstate.Command{Finish: command}); err != nil {
			e.log.Warn("end of submission not recorded", "submission", string(command.SubmissionID), "error", err)
		}
		e.post(func() {
			e.activeJobs--
			e.signalIdle()
		})
	})
}

// endedJobList holds ended jobs in the order in which they ended, and the total size of their results.
type endedJobList struct {
	jobs        []*job
	resultBytes int
}

func (l *endedJobList) add(j *job) {
	l.jobs = append(l.jobs, j)
	l.resultBytes += j.resultBytes
}

// forgetAnswers drops answers past their retention, and the oldest ones while the total exceeds
// AnswerBytes, and acknowledges the agents' records of their jobs.
func (e *Entry) forgetAnswers(now time.Time) {
	for len(e.endedJobs.jobs) > 0 {
		j := e.endedJobs.jobs[0]
		if now.Sub(j.endedAt) < j.retention() && e.endedJobs.resultBytes <= int(e.settings.AnswerBytes) {
			return
		}
		e.endedJobs.jobs[0] = nil
		e.endedJobs.jobs = e.endedJobs.jobs[1:]
		e.endedJobs.resultBytes -= j.resultBytes
		e.forgetJob(j)
	}
}

// retention returns how long the answer is kept for resubmissions. A job without a record in control has no
// resubmissions, but its agents must be able to refuse a delayed start for as long as messages may be late.
func (j *job) retention() time.Duration {
	if j.hasRecord {
		return vwstate.SubmissionRetention
	}
	return unrecordedRetention
}

// unrecordedRetention exceeds the longest time that a message can be queued in a link.
const unrecordedRetention = 5 * time.Second

// hasNotRun reports whether the job failed before any task of it started.
func (j *job) hasNotRun() bool {
	return j.Failure() != nil && j.Failure().Verdict == vwverdict.NotRun
}

func (e *Entry) forgetJob(j *job) {
	if e.jobs[j.SubmissionID] == j {
		delete(e.jobs, j.SubmissionID)
	}
	for _, w := range e.agents {
		if w.jobs[j.SubmissionID] == j {
			e.acknowledge(w, j)
		}
	}
}
