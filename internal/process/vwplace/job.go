package vwplace

import (
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Job is a best-effort job of one step.
type Job struct {
	ID      vwid.SubmissionID
	Service vwid.Service
	Team    vwid.Team
	// Level orders the jobs that wait for their first task; a higher level comes first.
	Level   int
	Payload []byte
	// Count is the number of tasks.
	Count int
	Needs vwresource.Amount
	// Estimate is the caller's estimate of the run time of one task.
	Estimate time.Duration
	// RequiredLabel is a label that a worker must have; empty means none.
	RequiredLabel string
	// PreferredLabel is a label of the workers near the task's data. A task runs longer on other workers.
	PreferredLabel string
	// MaxPerWorker bounds the tasks on one worker; zero means no bound.
	MaxPerWorker int
	// Slowdown and Target define the response time objective: Slowdown times the run time plus Target.
	Slowdown float64
	Target   time.Duration
	// MaxFailures is the number of failures of one task at which the job fails.
	MaxFailures int
	// ReceivedAt is when the call came to this machine; zero means when it is submitted.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting; zero means that it is not known.
	Deadline time.Time
	// CallTime is the least time for which callers wait for the answer to a first call; zero means that it is not known.
	CallTime time.Duration
}

// Outcome is the way in which a job ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeCompleted means that all tasks are done.
	OutcomeCompleted Outcome = iota + 1
	// OutcomeFailed means that a task has used up its attempts.
	OutcomeFailed
	// OutcomeRefused means that no task has started and none will.
	OutcomeRefused
	// OutcomeGivenUp means that the job cannot be completed in time, and tasks of it may have run.
	OutcomeGivenUp
	// OutcomeCancelled means that the caller no longer waits for the job.
	OutcomeCancelled
)

var outcomeNames = map[Outcome]string{
	OutcomeCompleted: "Completed", OutcomeFailed: "Failed", OutcomeRefused: "Refused", OutcomeGivenUp: "GivenUp", OutcomeCancelled: "Cancelled",
}

// String returns the name that is logged.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Answer is the result of a job.
type Answer struct {
	JobID   vwid.SubmissionID
	Outcome Outcome
	Verdict vwverdict.Verdict
	Reason  string
	// RetryAfter is how long the caller should wait before it retries a refused job; zero for other outcomes.
	RetryAfter time.Duration
	// QueueTime is the time until the first task was sent, and TotalTime the time from the job's arrival to its end.
	QueueTime time.Duration
	TotalTime time.Duration
	// EndedByStop is set if the job was ended because its entry stops.
	EndedByStop bool
	// Unfinished lists where the tasks were that had not ended; nil for a completed job.
	Unfinished []Unfinished
	// Workers is the number of linked workers, of any service, that accepted tasks when the job ended, without those in
	// excluded data centres. MaxFree is the maximum of each resource that was free on any of them or on such a worker in
	// an excluded data centre. Both are zero for a completed job.
	Workers int
	MaxFree vwresource.Amount
	// Objective is the response time objective that the queue has assumed for the job.
	Objective time.Duration
	// Cause is why the job was refused; empty for other outcomes. Level is that of the job.
	Cause Cause
	Level int
	// Yield tells why the job was refused in favour of another one; nil if it was not.
	Yield *Yield
}

// Unfinished describes tasks that had not ended when their job did: those that waited, or those at one agent.
type Unfinished struct {
	// Agent is the process that the tasks were sent to; empty for those that waited.
	Agent vwid.Process
	Tasks int
	// Linked reports whether the link to the agent was up.
	Linked bool
	// OldestAge is the time since the first of the tasks was sent.
	OldestAge time.Duration
}

// String returns the text that is logged.
func (u Unfinished) String() string {
	switch {
	case u.Agent == "":
		return fmt.Sprintf("%d waiting", u.Tasks)
	case !u.Linked:
		return fmt.Sprintf("%d at %s without a link, sent %v ago", u.Tasks, u.Agent, u.OldestAge.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d at %s, sent %v ago", u.Tasks, u.Agent, u.OldestAge.Round(time.Millisecond))
}

// taskState is the state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// task is one task of a job.
type task struct {
	state taskState
	// attempt counts how often the task was sent, failures how often it failed.
	attempt  int
	failures int
	worker   *worker
	sentAt   time.Time
	// sentToSlow is set if the worker counted as slow then.
	sentToSlow bool
	// avoidWorker is the worker at which the task last failed, was refused or was lost.
	avoidWorker vwid.Incarnation
	// blame is what the crashes of workers under the task count, until it has ended without a crash. suspect is set from
	// suspectBlame on.
	blame   blame
	suspect bool
}

// job is a job in the queue.
type job struct {
	Job
	arrivedAt time.Time
	// sequence is the order of submission; it breaks ties between jobs.
	sequence uint64
	// repeated is set for a repeated call, from the job's arrival on.
	repeated     bool
	expectedRun  time.Duration
	tasks        []task
	waitingTasks int
	doneTasks    int
	// suspects is the number of tasks that are suspects, clearedSuspects that of those that no longer are.
	suspects, clearedSuspects int
	// firstSentAt is when the first task was sent; zero before that.
	firstSentAt time.Time
	// mayHaveRun is set once a task has run or may have run.
	mayHaveRun bool
	// hasRun is set once a task is done or has failed.
	hasRun bool
	ended  bool
	// endsWithQueue is set once Deadline is the time by which all jobs of the queue must be answered.
	endsWithQueue bool
	endedByStop   bool
	// size is the size class of the job in its team, and accounted is set once it counts as served or turned away.
	size      sizeClass
	accounted bool
	// awaitedAt is when the job was last known to be awaited by a caller, and abandoned is set once it no longer is.
	awaitedAt time.Time
	abandoned bool
	// admitted is set once the job may wait for capacity, and yield once it was refused in favour of another one.
	admitted bool
	yield    *Yield
	// remoteAllowedAt is the time from which tasks may run far from their data.
	remoteAllowedAt time.Time
}

// objective returns the response time objective of the job.
func (j *job) objective() time.Duration {
	return time.Duration(float64(j.expectedRun)*j.Slowdown) + j.Target
}

// refusalDivisor is the divisor of the objective that gives how long a job may wait for capacity before its first task
// is sent. About half of the jobs that wait longer miss their objective.
const refusalDivisor = 3

// refusalTime returns when a job is refused if none of its tasks was sent.
func (j *job) refusalTime() time.Time {
	return j.arrivedAt.Add(j.objective() / refusalDivisor)
}

// maxQueueTime returns how long the last task of a job may wait if the job is to meet its objective.
func (j *job) maxQueueTime() time.Duration {
	return j.objective() - j.expectedRun
}

// answerDeadline returns when the caller stops waiting for the answer. Without a Deadline this is an assumption.
func (j *job) answerDeadline() time.Time {
	if j.Deadline.IsZero() {
		return j.arrivedAt.Add(max(expiryFactor*j.objective(), minAnswerWait))
	}
	return j.Deadline
}

// latestStart returns the last time at which a task of the expected run time can start and end before the answer is
// useless to the caller.
func (j *job) latestStart() time.Time {
	useful := j.arrivedAt.Add(expiryFactor * j.objective())
	if end := j.answerDeadline(); end.Before(useful) {
		useful = end
	}
	return useful.Add(-j.expectedRun)
}

// canFinishInTime reports whether a task that starts now can end before the answer is useless, at a worker where it
// takes cost times the expected run time.
func (j *job) canFinishInTime(now time.Time, cost float64) bool {
	longer := time.Duration(float64(j.expectedRun) * (cost - 1))
	return !now.Add(max(longer, 0)).After(j.latestStart())
}

// isDispatched reports whether any task of the job was ever sent.
func (j *job) isDispatched() bool {
	return !j.firstSentAt.IsZero()
}

// dueTime returns the time by which jobs are ordered, the earliest first. Dispatched jobs are ordered by their arrival,
// others by the time at which they are refused.
func (j *job) dueTime() time.Time {
	if j.isDispatched() {
		return j.arrivedAt
	}
	return j.refusalTime()
}

// before reports whether the job comes before another in the queue. Dispatched jobs come before all others: the capacity
// that they have used is wasted if their last tasks end too late. Repeated calls come last. The others are ordered by level:
// where the objective of a higher level is short, its jobs are refused first if they have to wait for less urgent ones.
func (j *job) before(other *job) bool {
	switch {
	case j.isDispatched() != other.isDispatched():
		return j.isDispatched()
	case !j.isDispatched() && j.repeated != other.repeated:
		return other.repeated
	case !j.isDispatched() && j.Level != other.Level:
		return j.Level > other.Level
	case !j.dueTime().Equal(other.dueTime()):
		return j.dueTime().Before(other.dueTime())
	}
	return j.sequence < other.sequence
}
