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
	// expiryFactor is the number of objectives after a job's arrival from which on its answer is useless to the caller.
	expiryFactor = 3
	// minAnswerWait is the least time for which the caller of a job without a deadline is assumed to wait.
	minAnswerWait = 30 * time.Second
	// minSlowdown is the lower bound of a worker's slowdown; it limits how fast a worker is assumed to be.
	minSlowdown = 0.5
	// localityWait is how long tasks wait for free capacity near their data before they may run elsewhere.
	localityWait = 10 * time.Millisecond
)

// Settings configure a Queue.
type Settings struct {
	// DataCentre is that of the entry.
	DataCentre vwid.DataCentre
	// RemoteFactor is the factor by which a task runs longer far from its data; values below 1 count as 1.
	RemoteFactor float64
	// MaxWaiting bounds the jobs with waiting tasks; zero means no bound.
	MaxWaiting int
	// Random adds jitter to the ranking of workers, so that entries do not all choose the same one.
	Random rand.Source
	// IsAwaited reports whether a caller still waits for a job. It is asked before tasks of the job are sent; nil means that all
	// jobs are awaited until they are cancelled.
	IsAwaited func(id vwid.SubmissionID) bool
}

// Queue holds the best-effort jobs of an entry and the workers that it can place their tasks on.
type Queue struct {
	settings Settings
	random   *rand.Rand
	jobs     map[vwid.SubmissionID]*job
	// waiting holds the jobs with waiting tasks; only Dispatch sorts it.
	waiting  []*job
	sequence uint64
	workers  map[vwid.Incarnation]*worker
	// workerOrder lists the workers by when they were added, so that placement does not depend on map iteration order.
	workerOrder []*worker
	stale       staleRuns
	arrivals    arrivalRates
	callTimes   callTimes
	costs       refusalCosts
	// excludedDataCentres get no tasks.
	excludedDataCentres map[vwid.DataCentre]bool
	runTimes            map[taskKind]*runTimeEstimate
	answers             []Answer
	sends               []Send
	stops               []Stop
	suspicions          []Suspicion
	requeues            []Requeue
	// teamCrashes holds when a task of a team was last given up, crashRecords the crashes under jobs that were not completed.
	teamCrashes  map[vwid.Team]time.Time
	crashRecords map[vwid.SubmissionID]crashRecord
	wants        []Demand
	retries      *Retries
	retryLoad    retryLoad
	// nextAsked is the place in workerOrder of the worker that is asked next for capacity.
	nextAsked int
	// lastLinkedAt is when a worker was last linked.
	lastLinkedAt time.Time
	// pacesWatchedAt is when watchPaces last ran.
	pacesWatchedAt time.Time
	// runTimesForgottenAt is when forgetRunTimes last ran.
	runTimesForgottenAt time.Time
	// answerBy is the time by which all jobs must be answered; zero while there is none.
	answerBy time.Time
	// abandoned holds the jobs that Dispatch has found to be no longer awaited.
	abandoned []*job
}

// Send is a message that starts tasks at an agent.
type Send struct {
	Worker vwid.Incarnation
	Run    vwmessage.Run
}

// Stop is a message that ends the runs of a job at an agent.
type Stop struct {
	Worker vwid.Incarnation
	Stop   vwmessage.StopRuns
}

// MakeQueue returns a queue without workers.
func MakeQueue(settings Settings) *Queue {
	return &Queue{
		settings:            settings,
		random:              rand.New(settings.Random),
		jobs:                map[vwid.SubmissionID]*job{},
		workers:             map[vwid.Incarnation]*worker{},
		stale:               makeStaleRuns(),
		arrivals:            arrivalRates{},
		callTimes:           callTimes{},
		costs:               makeRefusalCosts(),
		excludedDataCentres: map[vwid.DataCentre]bool{},
		runTimes:            map[taskKind]*runTimeEstimate{},
		teamCrashes:         map[vwid.Team]time.Time{},
		crashRecords:        map[vwid.SubmissionID]crashRecord{},
		retries:             MakeRetries(settings.Random),
	}
}

// Submit adds a job. An error has the verdict NotRun: the job's id is in use, it has no tasks, the queue is full, or the job
// cannot end before all jobs must be answered.
func (q *Queue) Submit(now time.Time, spec Job) error {
	q.retries.CountSubmitted(now, spec.Team, spec.work())
	switch {
	case q.jobs[spec.ID] != nil:
		return vwverdict.Wrap(vwverdict.NotRun, ErrActive{JobID: spec.ID})
	case spec.Count < 1:
		return vwverdict.Errorf(vwverdict.NotRun, "a job needs at least one task, not %d", spec.Count)
	case q.settings.MaxWaiting > 0 && len(q.waiting) >= q.settings.MaxWaiting:
		return vwverdict.Wrap(vwverdict.NotRun, ErrBusy{RetryAfter: q.adviseReturn(now, &spec)})
	}
	q.sequence++
	j := &job{
		Job: spec, arrivedAt: now, sequence: q.sequence, tasks: make([]task, spec.Count), waitingTasks: spec.Count,
		repeated: q.callTimes.isRepeatedCall(now, &spec), expectedRun: q.expectedRunTime(&spec),
	}
	j.remoteAllowedAt = now.Add(localityWait)
	if q.limitDeadline(j); j.endsWithQueue && !j.canFinishInTime(now, 1) {
		return vwverdict.Wrap(vwverdict.NotRun, ErrStopping{RetryAfter: MinRetryAfter})
	}
	q.jobs[spec.ID] = j
	q.arrivals.record(now, j)
	q.costs.record(j)
	q.waiting = append(q.waiting, j)
	q.restoreBlame(now, j)
	return nil
}

// Cancel ends a job whose caller no longer waits for it. It does nothing if the job has ended.
func (q *Queue) Cancel(now time.Time, id vwid.SubmissionID, reason string) {
	if j := q.jobs[id]; j != nil {
		q.endJob(now, j, OutcomeCancelled, reason)
	}
}

// CancelAll ends all jobs as refused or given up.
func (q *Queue) CancelAll(now time.Time, reason string) {
	for _, j := range q.jobs {
		q.refuseOrGiveUp(now, j, reason)
	}
}

// AnswerBy sets the time by which all jobs must be answered, because the entry stops then. Jobs that cannot end by then
// are refused or given up without waiting for it, and the others when it has come.
func (q *Queue) AnswerBy(at time.Time) {
	q.answerBy = at
	for _, j := range q.jobs {
		q.limitDeadline(j)
	}
}

// limitDeadline moves the deadline of a job to the time by which all jobs must be answered, if it is later.
func (q *Queue) limitDeadline(j *job) {
	if !q.answerBy.IsZero() && q.answerBy.Before(j.answerDeadline()) {
		j.Deadline, j.endsWithQueue = q.answerBy, true
	}
}

// Suspended counts the time for which the machine was suspended, which now does not, as time for which the callers of all jobs have
// waited. Jobs whose time is over end.
func (q *Queue) Suspended(now time.Time, suspension time.Duration) {
	for _, j := range q.jobs {
		j.arrivedAt = j.arrivedAt.Add(-suspension)
		if !j.Deadline.IsZero() {
			j.Deadline = j.Deadline.Add(-suspension)
		}
		q.checkTime(now, j)
	}
}

// Len returns the number of jobs.
func (q *Queue) Len() int {
	return len(q.jobs)
}

// WaitingJobs returns the number of a team's jobs of which no task was ever sent.
func (q *Queue) WaitingJobs(team vwid.Team) int {
	count := 0
	for _, j := range q.waiting {
		if j.Team == team && !j.isDispatched() {
			count++
		}
	}
	return count
}

// WaitingTasks returns the number of tasks that wait to be sent.
func (q *Queue) WaitingTasks() int {
	count := 0
	for _, j := range q.waiting {
		count += j.waitingTasks
	}
	return count
}

// SetExcludedDataCentres sets the data centres that get no tasks.
func (q *Queue) SetExcludedDataCentres(out []vwid.DataCentre) {
	clear(q.excludedDataCentres)
	for _, dataCentre := range out {
		q.excludedDataCentres[dataCentre] = true
	}
}

// TakeAnswers returns the answers of the jobs that have ended since the last call.
func (q *Queue) TakeAnswers() []Answer {
	answers := q.answers
	q.answers = nil
	return answers
}

// TakeStops returns the messages that stop the runs of jobs that have ended since the last call.
func (q *Queue) TakeStops() []Stop {
	stops := q.stops
	q.stops = nil
	return stops
}

// Tick ends the jobs that can no longer be answered in time, and removes the workers whose link has been down for so
// long that their runs have certainly ended.
func (q *Queue) Tick(now time.Time) {
	// removeWorker deletes from the list, so it is iterated from its end.
	for i := len(q.workerOrder) - 1; i >= 0; i-- {
		w := q.workerOrder[i]
		if !w.linked && !w.runsEndAt.IsZero() && !now.Before(w.runsEndAt) {
			q.removeWorker(now, w, RequeueSettled)
		}
	}
	q.watchPaces(now)
	q.forgetRunTimes(now)
	for _, j := range q.jobs {
		q.checkTime(now, j)
	}
	q.expireCrashes(now)
}

// checkTime ends a job that is past its deadline, can no longer end in time, or has waited too long for its first task.
func (q *Queue) checkTime(now time.Time, j *job) {
	switch {
	case j.endsWithQueue && (!now.Before(j.answerDeadline()) || j.waitingTasks > 0 && now.After(j.latestStart())):
		j.endedByStop = true
		q.refuseOrGiveUp(now, j, reasonStops)
	case !now.Before(j.answerDeadline()):
		q.refuseOrGiveUp(now, j, reasonOver)
	case j.waitingTasks > 0 && now.After(j.latestStart()):
		q.refuseOrGiveUp(now, j, reasonEndsLate)
	case !j.isDispatched() && now.After(j.refusalTime()) && q.stale.has(j.ID):
		q.refuseOrGiveUp(now, j, reasonEarlierRuns)
	case !j.isDispatched() && now.After(j.refusalTime()):
		q.refuseOrGiveUp(now, j, reasonNoRoom)
	}
}

// refuseOrGiveUp ends an incomplete job. It is refused if no task is in flight and none may have run, and otherwise given
// up.
func (q *Queue) refuseOrGiveUp(now time.Time, j *job, reason string) {
	if j.mayHaveRun || j.hasTaskInFlight() {
		q.endJob(now, j, OutcomeGivenUp, reason)
		return
	}
	q.endJob(now, j, OutcomeRefused, reason)
}

// hasTaskInFlight reports whether a task is sent and its end is not known.
func (j *job) hasTaskInFlight() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state == taskSent })
}

// endJob removes a job from the queue, adds its answer, and stops its runs at the agents that are linked. A job that is
// submitted again under its id has to wait for the end of these runs.
func (q *Queue) endJob(now time.Time, j *job, outcome Outcome, reason string) {
	answer := Answer{JobID: j.ID, Outcome: outcome, Reason: reason, Verdict: verdictOf(outcome), TotalTime: now.Sub(j.arrivedAt), EndedByStop: j.endedByStop, Objective: j.objective(), Yield: j.yield, Level: j.Level}
	switch {
	case outcome == OutcomeRefused && j.endedByStop:
		answer.RetryAfter = MinRetryAfter
	case outcome == OutcomeRefused:
		answer.RetryAfter = q.adviseReturn(now, &j.Job)
		answer.Cause = causeOf(reason)
	case outcome == OutcomeFailed && !j.hasRun:
		answer.Verdict = vwverdict.MayHaveRun
	}
	if outcome != OutcomeCompleted {
		q.keepBlame(now, j)
	}
	if outcome == OutcomeRefused {
		q.costs.decided(j, false)
	}
	if j.isDispatched() {
		answer.QueueTime = j.firstSentAt.Sub(j.arrivedAt)
	}
	if outcome != OutcomeCompleted {
		answer.Unfinished = j.unfinished(now)
		answer.Workers, answer.MaxFree = q.UsableWorkers(), maxAmount(q.mostFree(), vwresource.Amount{})
	}
	q.answers = append(q.answers, answer)
	j.ended = true
	delete(q.jobs, j.ID)
	q.waiting = slices.DeleteFunc(q.waiting, func(other *job) bool { return other == j })
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskSent && t.worker != nil {
			q.stale.add(t.worker, vwmessage.RunRef{JobID: j.ID, Index: i, Attempt: t.attempt})
			t.worker.releaseSuspect(t)
		}
	}
	for _, w := range q.workerOrder {
		if w.running[j] == 0 {
			continue
		}
		delete(w.running, j)
		if w.linked {
			q.stops = append(q.stops, Stop{Worker: w.Incarnation, Stop: vwmessage.StopRuns{JobID: j.ID, Reason: reason}})
		}
	}
}

// unfinished groups the tasks that have not ended by agent; those that wait come first.
func (j *job) unfinished(now time.Time) []Unfinished {
	var found []Unfinished
	if j.waitingTasks > 0 {
		found = append(found, Unfinished{Tasks: j.waitingTasks})
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
		found[at].OldestAge = max(found[at].OldestAge, now.Sub(t.sentAt))
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

// EndRun handles the end of a run and the load report that comes with it. It returns false for a stray end: the worker
// or the job is not known, or the attempt is not the one in flight.
func (q *Queue) EndRun(now time.Time, incarnation vwid.Incarnation, end *vwmessage.RunEnd) bool {
	w := q.workers[incarnation]
	if w == nil {
		return false
	}
	w.updateLoad(end.Load)
	return q.handleRunEnd(now, w, end)
}

func (q *Queue) handleRunEnd(now time.Time, w *worker, end *vwmessage.RunEnd) bool {
	if q.stale.remove(w, end.Ref) || !q.isInFlight(w, end.Ref) {
		return false
	}
	j := q.jobs[end.Ref.JobID]
	t := &j.tasks[end.Ref.Index]
	w.removeTask(j)
	w.releaseSuspect(t)
	t.worker = nil
	switch vwrun.Outcome(end.Outcome) {
	case vwrun.OutcomeDone:
		q.clearBlame(j, end.Ref.Index, w)
		q.completeTask(now, j, t, time.Duration(end.RunMicroseconds)*time.Microsecond, w)
	case vwrun.OutcomeFailed:
		q.clearBlame(j, end.Ref.Index, w)
		q.failTask(now, j, t, w)
	case vwrun.OutcomeCrashed:
		q.crashTask(now, j, end.Ref.Index, time.Duration(end.RunMicroseconds)*time.Microsecond, w)
	case vwrun.OutcomeRefused:
		t.avoidWorker = w.Incarnation
		q.requeue(j, t)
	default:
		j.mayHaveRun = true
		t.avoidWorker = w.Incarnation
		q.requeue(j, t)
	}
	return true
}

func (q *Queue) completeTask(now time.Time, j *job, t *task, ran time.Duration, w *worker) {
	j.mayHaveRun, j.hasRun = true, true
	t.state = taskDone
	j.doneTasks++
	q.observeRunTime(now, j, t, ran, w)
	if j.doneTasks == len(j.tasks) {
		q.endJob(now, j, OutcomeCompleted, "")
	}
}

func (q *Queue) failTask(now time.Time, j *job, t *task, w *worker) {
	j.mayHaveRun, j.hasRun = true, true
	t.failures++
	t.avoidWorker = w.Incarnation
	if t.failures >= max(j.MaxFailures, 1) {
		q.endJob(now, j, OutcomeFailed, "a task has failed as often as it may")
		return
	}
	q.requeue(j, t)
}

// requeue returns a task to the waiting ones. The caller removes it from its worker.
func (q *Queue) requeue(j *job, t *task) {
	t.state = taskWaiting
	if j.waitingTasks == 0 {
		q.waiting = append(q.waiting, j)
	}
	j.waitingTasks++
}
