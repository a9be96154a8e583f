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

// job is a job that this entry owns. Once done is closed, the job does not change any more and may be
// read by any goroutine.
type job struct {
	*vwjob.Job
	digest string
	// accepted tells that control has a record of the job.
	accepted bool
	// lost tells that another entry may own the job, so that control must be asked about it.
	lost bool
	// acceptance is the call that control accepted; empty after a takeover.
	acceptance vwid.Acceptance
	begun      time.Time
	done       chan struct{}
	expiry     *time.Timer
	endedAt    time.Time
	bytes      int
	// settlement is set while start records are collected after a takeover.
	settlement *settlement
}

func makeJob(spec vwjob.Spec, epoch vwid.Epoch, digest string, accepted bool) (*job, error) {
	state, err := vwjob.Make(spec, epoch)
	if err != nil {
		return nil, err
	}
	return &job{Job: state, digest: digest, accepted: accepted, begun: time.Now(), done: make(chan struct{})}, nil
}

// queuedTask returns the task at index as the queue holds it.
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

// startTask returns the task at index as it goes to an agent. Its timeout never reaches past the
// job's deadline.
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
	waiting := j.Waiting()
	tasks := make([]vwdispatch.JobTask, 0, len(waiting))
	for _, index := range waiting {
		tasks = append(tasks, j.jobTask(index))
	}
	return e.queue.Enqueue(now, vwdispatch.Job{
		SubmissionID: j.SubmissionID,
		Team:         j.Team,
		Service:      j.Service,
		Deadline:     j.Deadline,
		Tasks:        tasks,
	})
}

// adopt makes j one of the entry's jobs.
func (e *Entry) adopt(j *job) {
	e.jobs[j.SubmissionID] = j
	e.active++
	if !j.Deadline.IsZero() {
		j.expiry = time.AfterFunc(time.Until(j.Deadline), func() {
			e.post(func() { e.expireJob(j) })
		})
	}
}

// expireJob ends a job whose deadline has passed. The queue and the job's own timer find that at about the
// same time, so the text must not depend on which of them is first.
func (e *Entry) expireJob(j *job) {
	if j.HasStarted() {
		e.failJob(j, codeDeadline, "the deadline passed before the whole answer was there")
		return
	}
	e.failJob(j, codeDeadline, "the deadline passed before the tasks could start")
}

// failJob ends a job that has not ended yet.
func (e *Entry) failJob(j *job, code, message string) {
	j.Fail(code, message)
	e.checkEnd(j)
}

// loseJob gives up a job that another entry may own by now. Its record is not touched.
func (e *Entry) loseJob(j *job) {
	j.accepted, j.lost = false, true
	j.FailWith(codeOwnerLost, vwverdict.MayHaveRun, "another entry may have taken the job over; submit it again to get its answer")
	e.checkEnd(j)
}

// checkEnd settles a job whose answer is there.
func (e *Entry) checkEnd(j *job) {
	if !j.Ended() || !j.endedAt.IsZero() {
		return
	}
	j.endedAt = time.Now()
	if j.expiry != nil {
		j.expiry.Stop()
	}
	if j.settlement != nil {
		j.settlement = nil
		e.settling--
	}
	e.cancelTasks(j)
	for index := range j.Tasks {
		j.bytes += len(j.Result(index))
		// The payload is of no more use, and the answer may be kept for minutes.
		j.Tasks[index].Payload = nil
	}
	e.counters.countEnd(j.Failure())
	observe(e.observer.Answered, j.endedAt.Sub(j.begun))
	for _, w := range e.workers {
		if w.leaving && w.jobs[j.SubmissionID] == j {
			e.acknowledge(w, j)
		}
	}
	e.finish(j)
	close(j.done)
	e.active--
	e.signalIdle()
	e.ended.add(j)
}

// cancelTasks drops the queued tasks of a failed job and aborts the running ones.
func (e *Entry) cancelTasks(j *job) {
	if j.Failure() == nil {
		return
	}
	e.queue.Cancel(j.SubmissionID)
	for _, incarnation := range j.Workers() {
		w := e.workers[incarnation]
		if w == nil {
			continue
		}
		owed := len(j.Sent(incarnation))
		for range owed {
			e.queue.Finish(time.Now(), incarnation, j.Team, vwdispatch.FinishInfo{Failed: true})
		}
		if owed > 0 {
			e.send(w, &vwmessage.Cancel{SubmissionID: j.SubmissionID, Epoch: j.Epoch()})
		}
	}
}

// finish records the end in control. The answer does not wait for it: while the record still says that
// the job runs, a resubmission finds the answer here or collects it from the agents.
func (e *Entry) finish(j *job) {
	if !j.accepted {
		return
	}
	command := &vwstate.Finish{SubmissionID: j.SubmissionID, Epoch: j.Epoch(), Owner: e.incarnation, Failed: j.Failure() != nil}
	if j.hasNotRun() {
		command.Forget = j.acceptance
	}
	e.active++
	e.group.Run(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := vweditor.Propose(limited, e.control, vwstate.Command{Finish: command}); err != nil {
			e.log.Warn("end of submission not recorded", "submission", string(command.SubmissionID), "error", err)
		}
		e.post(func() {
			e.active--
			e.signalIdle()
		})
	})
}

// endedJobs lists ended jobs in the order of their ends.
type endedJobs struct {
	jobs  []*job
	bytes int
}

func (l *endedJobs) add(j *job) {
	l.jobs = append(l.jobs, j)
	l.bytes += j.bytes
}

// forgetAnswers drops answers past their retention, the oldest first when they exceed the bound, and
// tells the agents that their records are no longer needed.
func (e *Entry) forgetAnswers(now time.Time) {
	for len(e.ended.jobs) > 0 {
		j := e.ended.jobs[0]
		if now.Sub(j.endedAt) < j.retention() && e.ended.bytes <= int(e.settings.AnswerBytes) {
			return
		}
		e.ended.jobs[0] = nil
		e.ended.jobs = e.ended.jobs[1:]
		e.ended.bytes -= j.bytes
		e.forgetJob(j)
	}
}

// retention returns how long a resubmission may ask for the answer. Nobody can ask for one without a
// record in control, but an agent must refuse a delayed start for as long as messages may be late.
func (j *job) retention() time.Duration {
	if j.accepted {
		return vwstate.Retention
	}
	return unacceptedRetention
}

// unacceptedRetention is above the longest time that a message can wait in a link.
const unacceptedRetention = 5 * time.Second

// hasNotRun reports whether the job failed before any task of it started.
func (j *job) hasNotRun() bool {
	return j.Failure() != nil && j.Failure().Verdict == vwverdict.NotRun
}

func (e *Entry) forgetJob(j *job) {
	if e.jobs[j.SubmissionID] == j {
		delete(e.jobs, j.SubmissionID)
	}
	for _, w := range e.workers {
		if w.jobs[j.SubmissionID] == j {
			e.acknowledge(w, j)
		}
	}
}
