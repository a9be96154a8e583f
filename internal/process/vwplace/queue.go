package vwplace

import (
	"math/rand/v2"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// lateFactor is how many objectives after its arrival an answer is of no more use to a caller.
	lateFactor = 3
	// longestWait is how long the answer of a job without a deadline is waited for at least.
	longestWait = 30 * time.Second
	// slowdownFloor bounds how much faster than expected a worker is taken to be.
	slowdownFloor = 0.5
	// localPatience is how long tasks wait for room near their data before they run elsewhere.
	localPatience = 10 * time.Millisecond
	// retryAfter is when callers may come back after a refusal for lack of room: about the time in which a full
	// service has answered most of what it runs.
	retryAfter = time.Second
)

// Settings hold what a Queue must know at its start.
type Settings struct {
	// DataCentre is the entry's own.
	DataCentre vwid.DataCentre
	// RemoteFactor is how much longer a task runs far from its data.
	RemoteFactor float64
	// MaxWaiting bounds the jobs that wait.
	MaxWaiting int
	// Random breaks ties between workers, so that entries do not all choose the same one.
	Random rand.Source
}

// Queue holds the best-effort jobs of an entry.
type Queue struct {
	settings Settings
	random   *rand.Rand
	jobs     map[vwid.SubmissionID]*job
	// waiting are the jobs with tasks to send, unordered.
	waiting  []*job
	sequence uint64
	workers  map[vwid.Incarnation]*worker
	// order lists the workers by when they came, so that decisions do not depend on the order of a map.
	order   []*worker
	out     map[vwid.DataCentre]bool
	learned map[vwid.Team]*estimate
	answers []Answer
	sends   []Send
	stops   []Stop
	wants   []Want
	// joinedAt is when a worker was linked last.
	joinedAt time.Time
}

// Send is a message for an agent.
type Send struct {
	Worker vwid.Incarnation
	Run    vwmessage.Run
}

// Stop tells an agent to end the runs of a job.
type Stop struct {
	Worker vwid.Incarnation
	Stop   vwmessage.StopRuns
}

// MakeQueue returns a queue without workers.
func MakeQueue(settings Settings) *Queue {
	return &Queue{
		settings: settings,
		random:   rand.New(settings.Random),
		jobs:     map[vwid.SubmissionID]*job{},
		workers:  map[vwid.Incarnation]*worker{},
		out:      map[vwid.DataCentre]bool{},
		learned:  map[vwid.Team]*estimate{},
	}
}

// Submit adds a job, or refuses it with the verdict NotRun.
func (q *Queue) Submit(now time.Time, spec Job) error {
	switch {
	case q.jobs[spec.ID] != nil:
		return vwverdict.Wrap(vwverdict.NotRun, ErrActive{JobID: spec.ID})
	case spec.Count < 1:
		return vwverdict.Errorf(vwverdict.NotRun, "a job needs at least one task, not %d", spec.Count)
	case q.settings.MaxWaiting > 0 && len(q.waiting) >= q.settings.MaxWaiting:
		return vwverdict.Wrap(vwverdict.NotRun, ErrBusy{RetryAfter: retryAfter})
	}
	q.sequence++
	j := &job{
		Job: spec, arrived: now, sequence: q.sequence, tasks: make([]task, spec.Count), waiting: spec.Count,
		expected: q.expect(spec.Team, spec.Estimate),
	}
	j.remoteAt = now.Add(localPatience)
	q.jobs[spec.ID] = j
	q.waiting = append(q.waiting, j)
	return nil
}

// Cancel ends a job whose caller has left.
func (q *Queue) Cancel(now time.Time, id vwid.SubmissionID, reason string) {
	if j := q.jobs[id]; j != nil {
		q.end(now, j, OutcomeCancelled, reason)
	}
}

// CancelAll ends all jobs.
func (q *Queue) CancelAll(now time.Time, reason string) {
	for _, j := range q.jobs {
		q.giveUp(now, j, reason)
	}
}

// Len returns the number of jobs.
func (q *Queue) Len() int {
	return len(q.jobs)
}

// Waiting returns the number of a team's jobs of which no task was sent.
func (q *Queue) Waiting(team vwid.Team) int {
	count := 0
	for _, j := range q.waiting {
		if j.Team == team && !j.begun() {
			count++
		}
	}
	return count
}

// WaitingTasks returns the number of tasks that wait to be sent.
func (q *Queue) WaitingTasks() int {
	count := 0
	for _, j := range q.waiting {
		count += j.waiting
	}
	return count
}

// SetOut says which data centres get no tasks.
func (q *Queue) SetOut(out []vwid.DataCentre) {
	clear(q.out)
	for _, dataCentre := range out {
		q.out[dataCentre] = true
	}
}

// TakeAnswers returns the ends of jobs since the last call.
func (q *Queue) TakeAnswers() []Answer {
	answers := q.answers
	q.answers = nil
	return answers
}

// TakeStops returns what to tell agents about jobs that have ended.
func (q *Queue) TakeStops() []Stop {
	stops := q.stops
	q.stops = nil
	return stops
}

// Tick ends the jobs whose time is over and the runs that have certainly ended at agents without a link.
func (q *Queue) Tick(now time.Time) {
	// loseWorker takes workers off the list, so it is walked from its end.
	for i := len(q.order) - 1; i >= 0; i-- {
		w := q.order[i]
		if !w.linked && !w.settleAt.IsZero() && !now.Before(w.settleAt) {
			q.loseWorker(now, w)
		}
	}
	for _, j := range q.jobs {
		q.checkTime(now, j)
	}
}

// checkTime ends a job that can no longer be answered in time.
func (q *Queue) checkTime(now time.Time, j *job) {
	switch {
	case !now.Before(j.endAt()):
		q.giveUp(now, j, "the time for an answer is over")
	case j.waiting > 0 && now.After(j.latestStart()):
		q.giveUp(now, j, "the tasks that wait can no longer end in time")
	case !j.begun() && now.After(j.shedAt()):
		q.giveUp(now, j, "no worker has had room in time")
	}
}

// giveUp ends a job that is not complete. It is a refusal only when no task was ever sent.
func (q *Queue) giveUp(now time.Time, j *job, reason string) {
	if j.started || j.anySent() {
		q.end(now, j, OutcomeGivenUp, reason)
		return
	}
	q.end(now, j, OutcomeRefused, reason)
}

func (j *job) anySent() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == taskSent })
}

// end takes a job out of the queue and stops what still runs of it.
func (q *Queue) end(now time.Time, j *job, outcome Outcome, reason string) {
	answer := Answer{JobID: j.ID, Outcome: outcome, Reason: reason, Verdict: verdictOf(outcome), Took: now.Sub(j.arrived)}
	if outcome == OutcomeRefused {
		answer.RetryAfter = retryAfter
	}
	if j.begun() {
		answer.Waited = j.offered.Sub(j.arrived)
	}
	if outcome != OutcomeCompleted {
		answer.Unfinished = j.unfinished(now)
		answer.Workers, answer.Room = q.Workers(), larger(q.mostFree(), vwresource.Amount{})
	}
	q.answers = append(q.answers, answer)
	j.ended = true
	delete(q.jobs, j.ID)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *job) bool { return other == j })
	for _, w := range q.order {
		if w.running[j] == 0 {
			continue
		}
		delete(w.running, j)
		if w.linked {
			q.stops = append(q.stops, Stop{Worker: w.Incarnation, Stop: vwmessage.StopRuns{JobID: j.ID, Reason: reason}})
		}
	}
}

// unfinished returns where the tasks are that have not ended, those that wait first.
func (j *job) unfinished(now time.Time) []Unfinished {
	var found []Unfinished
	if j.waiting > 0 {
		found = append(found, Unfinished{Tasks: j.waiting})
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskSent || t.worker == nil {
			continue
		}
		at := slices.IndexFunc(found, func(u Unfinished) bool { return u.Agent == t.worker.Process })
		if at < 0 {
			found = append(found, Unfinished{Agent: t.worker.Process, Linked: t.worker.linked})
			at = len(found) - 1
		}
		found[at].Tasks++
		found[at].Longest = max(found[at].Longest, now.Sub(t.sent))
	}
	return found
}

func verdictOf(outcome Outcome) vwverdict.Verdict {
	switch outcome {
	case OutcomeCompleted, OutcomeFailed:
		return vwverdict.Ran
	case OutcomeRefused:
		return vwverdict.NotRun
	default:
		return vwverdict.MayHaveRun
	}
}

// TakeEnd takes the end of a run. It reports whether the run was expected.
func (q *Queue) TakeEnd(now time.Time, incarnation vwid.Incarnation, end *vwmessage.RunEnd) bool {
	w := q.workers[incarnation]
	if w == nil {
		return false
	}
	w.takeLoad(end.Load)
	return q.takeEnd(now, w, end)
}

func (q *Queue) takeEnd(now time.Time, w *worker, end *vwmessage.RunEnd) bool {
	j := q.jobs[end.Ref.JobID]
	if j == nil || end.Ref.Index < 0 || end.Ref.Index >= len(j.tasks) {
		return false
	}
	t := &j.tasks[end.Ref.Index]
	if t.state != taskSent || t.worker != w || t.attempt != end.Ref.Attempt {
		return false
	}
	w.leave(j)
	t.worker = nil
	switch vwrun.Outcome(end.Outcome) {
	case vwrun.OutcomeDone:
		q.finish(now, j, t, time.Duration(end.RunMicroseconds)*time.Microsecond, w)
	case vwrun.OutcomeFailed:
		q.fail(now, j, t, w)
	case vwrun.OutcomeRefused:
		t.avoid = w.Incarnation
		q.requeue(j, t)
	default:
		j.started = true
		t.avoid = w.Incarnation
		q.requeue(j, t)
	}
	return true
}

func (q *Queue) finish(now time.Time, j *job, t *task, ran time.Duration, w *worker) {
	j.started = true
	t.state = taskDone
	j.done++
	q.learn(j, ran, w)
	if j.done == len(j.tasks) {
		q.end(now, j, OutcomeCompleted, "")
	}
}

func (q *Queue) fail(now time.Time, j *job, t *task, w *worker) {
	j.started = true
	t.failed++
	t.avoid = w.Incarnation
	if t.failed >= max(j.Attempts, 1) {
		q.end(now, j, OutcomeFailed, "a task has failed as often as it may")
		return
	}
	q.requeue(j, t)
}

// requeue lets a task wait again.
func (q *Queue) requeue(j *job, t *task) {
	t.state = taskWaiting
	if j.waiting == 0 {
		q.waiting = append(q.waiting, j)
	}
	j.waiting++
}
