package vwdispatch

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// QueueSettings holds what a Queue must know at its start.
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
	// order lists services by first use, so that decisions do not depend on the order of a map.
	order    []*serviceQueue
	teams    map[vwid.Team]*teamState
	workers  map[vwid.Incarnation]*workerState
	jobs     map[vwid.SubmissionID]*queuedJob
	expired  []Expired
	sequence uint64
	waiting  int
	bytes    int
	// swept is when idle state was last dropped.
	swept time.Time
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
	team.used = now
	if err := q.admit(now, team, job, bytes); err != nil {
		return refuse(err)
	}
	team.tokens -= float64(count)
	q.insert(now, job, bytes)
	return nil
}

// Requeue puts back a task that was sent and has not run. It is exempt from the limits, which its
// job already passed.
func (q *Queue) Requeue(now time.Time, task Task) {
	team := q.team(task.Team)
	team.used = now
	team.sent = max(0, team.sent-1)
	q.service(task.Service).team(team).settle(0)
	if job := q.jobs[task.SubmissionID]; job != nil {
		job.Tasks = append(job.Tasks[:len(job.Tasks):len(job.Tasks)], task.JobTask)
		job.bytes += task.Bytes
		q.count(job.queue, 1, task.Bytes)
		job.queue.waiting++
		return
	}
	job := Job{SubmissionID: task.SubmissionID, Team: task.Team, Service: task.Service, Deadline: task.Deadline, Tasks: []JobTask{task.JobTask}}
	q.insert(now, job, task.Bytes)
}

// Cancel removes the tasks of a submission that are not sent yet and returns them.
func (q *Queue) Cancel(id vwid.SubmissionID) []vwid.TaskID {
	job := q.jobs[id]
	if job == nil {
		return nil
	}
	return q.drop(job)
}

// AddWorker makes a worker known. A known incarnation is updated; it keeps its credits and its
// failure rate, and its agent is told again what waits.
func (q *Queue) AddWorker(worker Worker) {
	credits, old := 0, health{}
	if known := q.workers[worker.Incarnation]; known != nil {
		credits, old = known.credits, known.health
		q.RemoveWorker(worker.Incarnation)
	}
	w := &workerState{Worker: worker, service: q.service(worker.Service), credits: credits, out: q.policy.Out[worker.DataCentre], near: worker.DataCentre == q.settings.DataCentre}
	w.health = old
	w.service.countImpaired(false, old.impaired())
	w.service.slots += worker.Slots
	w.service.workers = append(w.service.workers, w)
	q.workers[worker.Incarnation] = w
	q.place(w)
}

// RemoveWorker forgets a worker and its credits. The tasks that were sent to it still need a
// Finish or Requeue each.
func (q *Queue) RemoveWorker(worker vwid.Incarnation) {
	w := q.workers[worker]
	if w == nil {
		return
	}
	w.credits = 0
	q.place(w)
	w.service.slots -= w.Slots
	w.service.told -= w.told
	w.told = 0
	w.service.countImpaired(w.health.impaired(), false)
	w.service.workers = slices.DeleteFunc(w.service.workers, func(other *workerState) bool { return other == w })
	delete(q.workers, worker)
}

// Grant adds credits of a worker. Credits of an unknown worker are ignored.
func (q *Queue) Grant(worker vwid.Incarnation, count int) {
	if w := q.workers[worker]; w != nil && count > 0 {
		w.credits += count
		w.noteGrant(count)
		q.place(w)
	}
}

// GrantFor adds credits of a worker that its agent granted for the tasks of a team. While the
// backlog is deep, Next uses them for that team before others of the same priority until it reports false.
func (q *Queue) GrantFor(worker vwid.Incarnation, team vwid.Team, count int) {
	q.Grant(worker, count)
	w := q.workers[worker]
	if w == nil || !w.usable() || !w.service.deep() {
		return
	}
	if queue := w.service.teams[team]; queue != nil {
		queue.reserved += max(0, count)
	}
}

// Recall gives up to count unused credits back and returns how many.
func (q *Queue) Recall(worker vwid.Incarnation, count int) int {
	w := q.workers[worker]
	if w == nil {
		return 0
	}
	returned := max(0, min(count, w.credits))
	w.credits -= returned
	q.place(w)
	return returned
}

// Next takes the next task and uses one credit for it. It reports false when no task can be sent.
func (q *Queue) Next(now time.Time) (Assignment, bool) {
	for _, service := range q.order {
		q.comeBack(now, service)
		w := service.worker()
		if w == nil || service.waiting == 0 {
			continue
		}
		if team, job := q.pick(now, service); job != nil {
			return q.send(now, w, team, job), true
		}
	}
	for _, service := range q.order {
		service.clearReserved()
	}
	return Assignment{}, false
}

// Finish records the end of a task that was sent to worker.
func (q *Queue) Finish(now time.Time, worker vwid.Incarnation, team vwid.Team, info FinishInfo) {
	state := q.team(team)
	state.used = now
	state.sent = max(0, state.sent-1)
	if w := q.workers[worker]; w != nil {
		w.service.team(state).settle(info.RunTime)
		was := w.health.impaired()
		if w.health.finished(info.Failed) && w.service.outlier(w) {
			w.health.eject(now)
		}
		w.service.countImpaired(was, w.health.impaired())
		q.place(w)
	}
}

// comeBack lets ejected workers have tasks again when their time is over.
func (q *Queue) comeBack(now time.Time, service *serviceQueue) {
	if service.impaired == 0 {
		return
	}
	for _, w := range service.workers {
		if w.health.comeBack(now) {
			q.place(w)
		}
	}
}

// TakeExpired returns the jobs that left the queue since the last call because their deadline passed.
func (q *Queue) TakeExpired(now time.Time) []Expired {
	for _, service := range q.order {
		for _, team := range service.order {
			q.expire(now, team)
		}
	}
	q.dropIdle(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// Demand tells what waits for service and could start now.
func (q *Queue) Demand(now time.Time, service vwid.Service) vwmessage.Demand {
	demand := vwmessage.Demand{Service: service}
	s := q.services[service]
	if s == nil {
		return demand
	}
	for _, team := range s.order {
		if waiting := team.sendable(); waiting > 0 {
			demand.Teams = append(demand.Teams, vwmessage.TeamDemand{Team: team.team.name, Waiting: waiting, OldestMilliseconds: team.oldest(now).Milliseconds()})
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
	for _, service := range q.order {
		for _, w := range service.workers {
			w.out = policy.Out[w.DataCentre]
			q.place(w)
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

// expectedEnd returns when job can be expected to end: its team gets its share of the throughput
// that the service gave lately, and its waiting tasks come first. While nothing waits, and before
// anything was sent, only the run time counts.
func (q *Queue) expectedEnd(now time.Time, job Job) time.Time {
	service := q.service(job.Service)
	queue := service.team(q.team(job.Team))
	var longest, work time.Duration
	for i := range job.Tasks {
		expected := queue.expected(job.Tasks[i].RunTime)
		longest = max(longest, expected)
		work += expected
	}
	return now.Add(longest + service.wait(now, queue, work))
}

func (q *Queue) insert(now time.Time, job Job, bytes int) {
	if len(job.Tasks) == 0 {
		return
	}
	q.sequence++
	queue := q.service(job.Service).team(q.team(job.Team))
	queued := &queuedJob{Job: job, queue: queue, enqueued: now, sequence: q.sequence, bytes: bytes}
	q.jobs[job.SubmissionID] = queued
	if queue.service.waiting == 0 {
		queue.service.saturated, queue.service.starved = now, now
	}
	queue.add(queued)
	q.count(queue, len(job.Tasks), bytes)
}

// count adjusts the totals by tasks and bytes that enter or, when negative, leave the queue.
func (q *Queue) count(queue *teamQueue, tasks, bytes int) {
	q.waiting += tasks
	q.bytes += bytes
	queue.service.waiting += tasks
	queue.team.add(tasks, bytes)
}

func (q *Queue) drop(job *queuedJob) []vwid.TaskID {
	unsent := job.unsent()
	q.count(job.queue, -len(unsent), -job.bytes)
	job.queue.waiting -= len(unsent)
	job.queue.dropped++
	job.dropped = true
	// The heap may hold the job for a while; the tasks need not stay in memory with it.
	job.Tasks, job.next = nil, 0
	delete(q.jobs, job.SubmissionID)
	return unsent
}

// pick returns the job to take from next, after it dropped the jobs whose deadline passed.
func (q *Queue) pick(now time.Time, service *serviceQueue) (*teamQueue, *queuedJob) {
	for {
		team := service.pick()
		if team == nil {
			return nil, nil
		}
		q.expire(now, team)
		if job := team.first(); job != nil {
			return team, job
		}
	}
}

func (q *Queue) expire(now time.Time, team *teamQueue) {
	for job := team.first(); job != nil && job.expired(now); job = team.first() {
		q.expired = append(q.expired, Expired{SubmissionID: job.SubmissionID, Tasks: q.drop(job)})
	}
}

func (q *Queue) send(now time.Time, w *workerState, team *teamQueue, job *queuedJob) Assignment {
	task := job.take()
	expected := team.expected(task.RunTime)
	team.service.throughput.add(now, expected)
	w.service.starved = now
	q.count(team, -1, -task.Bytes)
	team.waiting--
	team.reported = team.reported && team.waiting > 0
	team.team.sent++
	if job.waiting() == 0 {
		team.jobs.pop()
		delete(q.jobs, job.SubmissionID)
	}
	team.reserved = max(0, team.reserved-1)
	team.charge(expected)
	w.credits--
	w.health.sent(now)
	if w.ring != nil {
		w.ring.head = w.next
	}
	q.place(w)
	return Assignment{Worker: w.Incarnation, Task: task}
}

// place puts w into the ring in which its credits are found, or takes it out.
func (q *Queue) place(w *workerState) {
	if w.blocked() {
		// Nothing is to be expected from it, so other agents have to be asked.
		w.service.told -= w.told
		w.told = 0
	}
	switch {
	case w.usable() && w.ring == nil && w.near:
		w.service.near.add(w)
	case w.usable() && w.ring == nil:
		w.service.far.add(w)
	case !w.usable() && w.ring != nil:
		w.ring.remove(w)
	}
}

func (q *Queue) service(name vwid.Service) *serviceQueue {
	found, ok := q.services[name]
	if !ok {
		found = &serviceQueue{name: name, teams: map[vwid.Team]*teamQueue{}}
		q.services[name] = found
		q.order = append(q.order, found)
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
