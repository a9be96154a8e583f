package vwdispatch

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// QueueSettings holds the settings of a Queue.
type QueueSettings struct {
	// DataCentre is the entry's own data centre.
	DataCentre vwid.DataCentre
	Policy     Policy
}

// Queue holds the waiting tasks of an entry and the credits that agents granted to it.
type Queue struct {
	settings QueueSettings
	policy   Policy
	services map[vwid.Service]*serviceQueue
	// serviceOrder lists services by first use, so that decisions do not depend on the order of a map.
	serviceOrder []*serviceQueue
	teams        map[vwid.Team]*teamState
	workers      map[vwid.Incarnation]*workerState
	jobs         map[vwid.SubmissionID]*queuedJob
	expired      []ExpiredJob
	sequence     uint64
	waiting      int
	bytes        int
	// lastSweep is when dropIdle last ran.
	lastSweep time.Time
}

// MakeQueue returns an empty queue.
func MakeQueue(settings QueueSettings) *Queue {
	return &Queue{
		settings: settings,
		policy:   settings.Policy,
		services: map[vwid.Service]*serviceQueue{},
		teams:    map[vwid.Team]*teamState{},
		workers:  map[vwid.Incarnation]*workerState{},
		jobs:     map[vwid.SubmissionID]*queuedJob{},
	}
}

// Enqueue adds all tasks of job, or none. An error has the verdict NotRun.
func (q *Queue) Enqueue(now time.Time, job Job) error {
	if q.jobs[job.SubmissionID] != nil {
		return refuse(ErrDuplicate{SubmissionID: job.SubmissionID})
	}
	count, bytes := len(job.Tasks), 0
	for i := range job.Tasks {
		bytes += job.Tasks[i].Bytes
	}
	team := q.team(job.Team)
	team.lastUse = now
	if err := q.admit(now, team, job, bytes); err != nil {
		return refuse(err)
	}
	team.tokens -= float64(count)
	q.insert(now, job, bytes)
	return nil
}

// Requeue puts a task that was sent and has not run back into the queue. The limits were checked for
// its job and do not apply again.
func (q *Queue) Requeue(now time.Time, task Task) {
	team := q.team(task.Team)
	team.lastUse = now
	team.sentTasks = max(0, team.sentTasks-1)
	q.service(task.Service).team(team).correctCharge(0)
	if job := q.jobs[task.SubmissionID]; job != nil {
		job.Tasks = append(job.Tasks[:len(job.Tasks):len(job.Tasks)], task.JobTask)
		job.bytes += task.Bytes
		q.adjustTotals(job.queue, 1, task.Bytes)
		job.queue.waiting++
		return
	}
	job := Job{SubmissionID: task.SubmissionID, Team: task.Team, Service: task.Service, Deadline: task.Deadline, Tasks: []JobTask{task.JobTask}}
	q.insert(now, job, task.Bytes)
}

// Cancel removes the unsent tasks of a submission from the queue and returns them.
func (q *Queue) Cancel(id vwid.SubmissionID) []vwid.TaskID {
	job := q.jobs[id]
	if job == nil {
		return nil
	}
	return q.drop(job)
}

// AddWorker adds a worker. If the incarnation is already present, it is updated and keeps its credits
// and its failure rate, and NextDemand reports demand to its agent anew.
func (q *Queue) AddWorker(worker Worker) {
	credits, old := 0, health{}
	if known := q.workers[worker.Incarnation]; known != nil {
		credits, old = known.credits, known.health
		q.RemoveWorker(worker.Incarnation)
	}
	w := &workerState{Worker: worker, service: q.service(worker.Service), credits: credits, outOfService: q.policy.OutOfService[worker.DataCentre], local: worker.DataCentre == q.settings.DataCentre}
	w.health = old
	w.service.updateImpairedWorkers(false, old.impaired())
	w.service.slots += worker.Slots
	w.service.workers = append(w.service.workers, w)
	q.workers[worker.Incarnation] = w
	q.updateRing(w)
}

// RemoveWorker removes a worker and its credits. Each task that was sent to it still needs a Finish
// or a Requeue.
func (q *Queue) RemoveWorker(worker vwid.Incarnation) {
	w := q.workers[worker]
	if w == nil {
		return
	}
	w.credits = 0
	q.updateRing(w)
	w.service.slots -= w.Slots
	w.service.requestedCredits -= w.requestedCredits
	w.requestedCredits = 0
	w.service.updateImpairedWorkers(w.health.impaired(), false)
	w.service.workers = slices.DeleteFunc(w.service.workers, func(other *workerState) bool { return other == w })
	delete(q.workers, worker)
}

// Grant adds credits of a worker. Credits of an unknown worker are ignored.
func (q *Queue) Grant(worker vwid.Incarnation, count int) {
	if w := q.workers[worker]; w != nil && count > 0 {
		w.credits += count
		w.recordGrant(count)
		q.updateRing(w)
	}
}

// GrantFor adds credits of a worker that its agent granted for the tasks of a team. While the backlog
// is deep, they are reserved: until Next reports false, it uses them for that team before others of
// the same priority.
func (q *Queue) GrantFor(worker vwid.Incarnation, team vwid.Team, count int) {
	q.Grant(worker, count)
	w := q.workers[worker]
	if w == nil || !w.usable() || !w.service.hasDeepBacklog() {
		return
	}
	if queue := w.service.teams[team]; queue != nil {
		queue.reservedCredits += max(0, count)
	}
}

// ReturnCredits removes up to count unused credits of a worker, to be returned to its agent, and returns how
// many.
func (q *Queue) ReturnCredits(worker vwid.Incarnation, count int) int {
	w := q.workers[worker]
	if w == nil {
		return 0
	}
	returned := max(0, min(count, w.credits))
	w.credits -= returned
	q.updateRing(w)
	return returned
}

// Next takes the next task and uses one credit for it. It reports false when no task can be sent.
func (q *Queue) Next(now time.Time) (Assignment, bool) {
	for _, service := range q.serviceOrder {
		q.readmitWorkers(now, service)
		w := service.nextWorker()
		if w == nil || service.waiting == 0 {
			continue
		}
		if team, job := q.nextJob(now, service); job != nil {
			return q.send(now, w, team, job), true
		}
	}
	for _, service := range q.serviceOrder {
		service.clearReservations()
	}
	return Assignment{}, false
}

// Finish records the result of a task that was sent to worker, and may eject the worker.
func (q *Queue) Finish(now time.Time, worker vwid.Incarnation, team vwid.Team, result TaskResult) {
	state := q.team(team)
	state.lastUse = now
	state.sentTasks = max(0, state.sentTasks-1)
	if w := q.workers[worker]; w != nil {
		w.service.team(state).correctCharge(result.RunTime)
		was := w.health.impaired()
		if w.health.recordResult(result.Failed) && w.service.shouldEject(w) {
			w.health.eject(now)
		}
		w.service.updateImpairedWorkers(was, w.health.impaired())
		q.updateRing(w)
	}
}

// readmitWorkers unblocks the workers of the service whose ejection or probe has timed out.
func (q *Queue) readmitWorkers(now time.Time, service *serviceQueue) {
	if service.impairedWorkers == 0 {
		return
	}
	for _, w := range service.workers {
		if w.health.readmit(now) {
			q.updateRing(w)
		}
	}
}

// TakeExpired returns the jobs that left the queue since the last call because their deadline passed.
func (q *Queue) TakeExpired(now time.Time) []ExpiredJob {
	for _, service := range q.serviceOrder {
		for _, team := range service.teamOrder {
			q.expire(now, team)
		}
	}
	q.dropIdle(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// Demand returns the demand for service: its waiting tasks within the quotas of their teams.
func (q *Queue) Demand(now time.Time, service vwid.Service) vwmessage.Demand {
	demand := vwmessage.Demand{Service: service}
	s := q.services[service]
	if s == nil {
		return demand
	}
	for _, team := range s.teamOrder {
		if waiting := team.sendable(); waiting > 0 {
			demand.Teams = append(demand.Teams, vwmessage.TeamDemand{Team: team.team.name, Waiting: waiting, OldestMilliseconds: team.firstJobAge(now).Milliseconds()})
		}
	}
	return demand
}

// SetPolicy replaces the policy. Tasks that are already queued stay, even above a lowered limit.
func (q *Queue) SetPolicy(policy Policy) {
	q.policy = policy
	for _, team := range q.teams {
		team.policy = policy.team(team.name)
		team.tokens = min(team.tokens, team.policy.Burst)
	}
	for _, service := range q.serviceOrder {
		for _, w := range service.workers {
			w.outOfService = policy.OutOfService[w.DataCentre]
			q.updateRing(w)
		}
	}
}

// Waiting returns the number of tasks in the queue.
func (q *Queue) Waiting() int {
	return q.waiting
}

func (q *Queue) admit(now time.Time, team *teamState, job Job, bytes int) error {
	count := len(job.Tasks)
	switch {
	case q.policy.QueueTasks > 0 && q.waiting+count > q.policy.QueueTasks:
		return ErrLimit{Team: job.Team, Limit: LimitQueueTasks, Max: float64(q.policy.QueueTasks)}
	case q.policy.QueueBytes > 0 && q.bytes+bytes > q.policy.QueueBytes:
		return ErrLimit{Team: job.Team, Limit: LimitQueueBytes, Max: float64(q.policy.QueueBytes)}
	}
	if expected := q.expectedEnd(now, job); !job.Deadline.IsZero() && expected.After(job.Deadline) {
		return ErrDeadline{SubmissionID: job.SubmissionID, Deadline: job.Deadline, Expected: expected}
	}
	return team.admit(now, count, bytes)
}

// expectedEnd estimates when job ends, on the assumption that its team gets its share of the service's
// recent throughput and that the team's waiting tasks run first. While no task waits for a credit, and
// before a task was sent, only the run time counts.
func (q *Queue) expectedEnd(now time.Time, job Job) time.Time {
	service := q.service(job.Service)
	queue := service.team(q.team(job.Team))
	var longest, work time.Duration
	for i := range job.Tasks {
		expected := queue.expectedRunTime(job.Tasks[i].RunTime)
		longest = max(longest, expected)
		work += expected
	}
	return now.Add(longest + service.expectedWait(now, queue, work))
}

func (q *Queue) insert(now time.Time, job Job, bytes int) {
	if len(job.Tasks) == 0 {
		return
	}
	q.sequence++
	queue := q.service(job.Service).team(q.team(job.Team))
	queued := &queuedJob{Job: job, queue: queue, enqueuedAt: now, sequence: q.sequence, bytes: bytes}
	q.jobs[job.SubmissionID] = queued
	if queue.service.waiting == 0 {
		queue.service.backlogStart, queue.service.lastProgress = now, now
	}
	queue.add(queued)
	q.adjustTotals(queue, len(job.Tasks), bytes)
}

// adjustTotals adjusts the totals by tasks and bytes that enter or, when negative, leave the queue.
func (q *Queue) adjustTotals(queue *teamQueue, tasks, bytes int) {
	q.waiting += tasks
	q.bytes += bytes
	queue.service.waiting += tasks
	queue.team.add(tasks, bytes)
}

func (q *Queue) drop(job *queuedJob) []vwid.TaskID {
	unsent := job.unsent()
	q.adjustTotals(job.queue, -len(unsent), -job.bytes)
	job.queue.waiting -= len(unsent)
	job.queue.droppedJobs++
	job.dropped = true
	// The heap refers to the job until a pop or a compaction; release the memory of the tasks now.
	job.Tasks, job.nextTask = nil, 0
	delete(q.jobs, job.SubmissionID)
	return unsent
}

// nextJob drops expired jobs and returns the job to take the next task from, or nil.
func (q *Queue) nextJob(now time.Time, service *serviceQueue) (*teamQueue, *queuedJob) {
	for {
		team := service.nextTeam()
		if team == nil {
			return nil, nil
		}
		q.expire(now, team)
		if job := team.firstJob(); job != nil {
			return team, job
		}
	}
}

func (q *Queue) expire(now time.Time, team *teamQueue) {
	for job := team.firstJob(); job != nil && job.expired(now); job = team.firstJob() {
		q.expired = append(q.expired, ExpiredJob{SubmissionID: job.SubmissionID, Tasks: q.drop(job)})
	}
}

func (q *Queue) send(now time.Time, w *workerState, team *teamQueue, job *queuedJob) Assignment {
	task := job.take()
	expected := team.expectedRunTime(task.RunTime)
	team.service.throughput.add(now, expected)
	w.service.lastProgress = now
	q.adjustTotals(team, -1, -task.Bytes)
	team.waiting--
	team.demandReported = team.demandReported && team.waiting > 0
	team.team.sentTasks++
	if job.waiting() == 0 {
		team.jobs.pop()
		delete(q.jobs, job.SubmissionID)
	}
	team.reservedCredits = max(0, team.reservedCredits-1)
	team.charge(expected)
	w.credits--
	w.health.recordSent(now)
	if w.ring != nil {
		w.ring.head = w.next
	}
	q.updateRing(w)
	return Assignment{Worker: w.Incarnation, Task: task}
}

// updateRing adds w to the ring of its data centre, local or remote, when it is usable, and removes it
// when it is not.
func (q *Queue) updateRing(w *workerState) {
	if w.blocked() {
		// No task can be sent to the worker, so the credits are requested from other agents.
		w.service.requestedCredits -= w.requestedCredits
		w.requestedCredits = 0
	}
	switch {
	case w.usable() && w.ring == nil && w.local:
		w.service.localRing.add(w)
	case w.usable() && w.ring == nil:
		w.service.remoteRing.add(w)
	case !w.usable() && w.ring != nil:
		w.ring.remove(w)
	}
}

func (q *Queue) service(name vwid.Service) *serviceQueue {
	found, ok := q.services[name]
	if !ok {
		found = &serviceQueue{name: name, teams: map[vwid.Team]*teamQueue{}}
		q.services[name] = found
		q.serviceOrder = append(q.serviceOrder, found)
	}
	return found
}

func (q *Queue) team(name vwid.Team) *teamState {
	found, ok := q.teams[name]
	if !ok {
		found = &teamState{name: name, policy: q.policy.team(name)}
		q.teams[name] = found
	}
	return found
}
