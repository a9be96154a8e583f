package vwdispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const simService = vwid.Service("muotoilu")

// deployment describes the data centres and the network delays of a user's installation.
type deployment struct {
	dataCentres             int
	clientDelay             time.Duration
	localDelay, remoteDelay time.Duration
}

const (
	simWorkers = 11
	simSlots   = 8
	simTotal   = simWorkers * simSlots
)

var deployments = map[string]deployment{
	"muotoilu": {3, 3 * time.Millisecond, 250 * time.Microsecond, 1500 * time.Microsecond},
	"pedidos":  {4, time.Millisecond, 250 * time.Microsecond, 1500 * time.Microsecond},
}

// simEvent is one step of the simulation.
type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// message is a message of the credit protocol. It is useful once a credit that it led to is used;
// cause is the message that triggered it.
type message struct {
	useful      bool
	piggybacked bool
	cause       *message
}

// simTask is a task of a simulated job.
type simTask struct {
	job      *simJob
	index    int
	actual   time.Duration
	declared time.Duration
}

// simJob is a job of a scenario and its outcome.
type simJob struct {
	id       vwid.SubmissionID
	team     vwid.Team
	arrive   time.Duration
	deadline time.Duration // relative to arrive; zero means none
	entry    int
	tasks    []simTask
	cancel   time.Duration // absolute; zero means never
	retries  int

	unfinishedTasks int
	failed          bool
	refused         bool
	end             time.Duration
}

// cluster runs entries and workers over links with delays on a simulated clock.
type cluster struct {
	deployment
	scenario *scenario
	policy   simPolicy
	now      time.Duration
	sequence int
	events   heap[simEvent]
	entries  []*simEntry
	workers  []*simWorker
	random   *rand.Rand

	// piggybacked counts the grants and recalls that share the packet of a result that leaves at the
	// same time.
	messages, useful               int
	piggybacked, usefulPiggybacked int
	starts, refusals               int
	busy                           []span
}

// span is the time that a task occupied a slot.
type span struct {
	job        *simJob
	worker     int
	begin, end time.Duration
}

// simEntry simulates an entry process with a real Queue.
type simEntry struct {
	c             *cluster
	index         int
	dc            vwid.DataCentre
	queue         *Queue
	jobs          map[vwid.SubmissionID]*simJob
	credits       [][]*message
	loads         []int
	choose        Baseline
	tickScheduled bool
}

// simWorker simulates an agent process with a real Granter, and the slots of its backend server.
type simWorker struct {
	c              *cluster
	index          int
	dc             vwid.DataCentre
	granter        *Granter
	running        int
	waiting        []simStart
	demand         []*message
	out            bool
	slowdown       float64
	failing        bool
	retryScheduled bool
	lastAnswer     []time.Duration
}

// simStart is a task that an entry sent to a worker.
type simStart struct {
	task  simTask
	entry int
}

func makeCluster(d deployment, s *scenario, policy simPolicy, seed uint64) *cluster {
	c := &cluster{deployment: d, scenario: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1))}
	c.events.before = func(a, b simEvent) bool {
		return a.at < b.at || (a.at == b.at && a.sequence < b.sequence)
	}
	for i := range d.dataCentres {
		e := &simEntry{c: c, index: i, dc: simDataCentre(i), jobs: map[vwid.SubmissionID]*simJob{}, loads: make([]int, simWorkers), credits: make([][]*message, simWorkers)}
		e.queue = MakeQueue(QueueSettings{DataCentre: e.dc, Policy: s.policy})
		if policy.baseline != nil {
			e.choose = policy.baseline(c.random)
		}
		c.entries = append(c.entries, e)
	}
	for i := range simWorkers {
		c.addWorker(i)
	}
	return c
}

func (c *cluster) addWorker(i int) {
	// Each rack holds three workers; the racks are spread over the data centres.
	w := &simWorker{c: c, index: i, dc: simDataCentre(i / 3 % c.dataCentres), slowdown: 1, demand: make([]*message, len(c.entries)), lastAnswer: make([]time.Duration, len(c.entries))}
	if c.dataCentres == 3 && i >= 9 {
		w.dc = simDataCentre(i - 9) // the fourth rack holds two workers in two data centres
	}
	w.granter = MakeGranter(GranterSettings{Slots: simSlots, OverCommit: c.policy.overCommit, StandingCredits: c.policy.standing, DataCentre: w.dc})
	for _, e := range c.entries {
		w.granter.AddEntry(vwid.Incarnation(fmt.Sprint(e.index)), e.dc)
		e.queue.AddWorker(Worker{Incarnation: vwid.Incarnation(fmt.Sprint(i)), Service: simService, DataCentre: w.dc, Slots: simSlots})
	}
	c.workers = append(c.workers, w)
}

func simDataCentre(i int) vwid.DataCentre {
	return vwid.DataCentre(fmt.Sprintf("dc%d", i))
}

func simTime(at time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(at)
}

func (c *cluster) schedule(delay time.Duration, run func()) {
	c.sequence++
	c.events.push(simEvent{at: c.now + delay, sequence: c.sequence, run: run})
}

func (c *cluster) linkDelay(a, b vwid.DataCentre) time.Duration {
	if a == b {
		return c.localDelay
	}
	return c.remoteDelay
}

// send counts a message of the credit protocol and returns its record.
func (c *cluster) send(cause *message) *message {
	c.messages++
	return &message{cause: cause}
}

func (c *cluster) markUseful(m *message) {
	for ; m != nil && !m.useful; m = m.cause {
		m.useful = true
		c.useful++
		if m.piggybacked {
			c.usefulPiggybacked++
		}
	}
}

// simEnd ends a run in which some tasks are never served.
const simEnd = time.Hour

// run simulates the jobs and the scenario's events until no event is left or simEnd is reached.
func (c *cluster) run(jobs []*simJob) {
	for _, job := range jobs {
		job.unfinishedTasks = len(job.tasks)
		c.schedule(job.arrive+c.clientDelay, func() { c.entries[job.entry].submit(job) })
		if job.cancel > 0 {
			c.schedule(job.cancel+c.clientDelay, func() { c.entries[job.entry].cancel(job) })
		}
	}
	if c.policy.baseline == nil {
		for _, w := range c.workers {
			w.decide(nil)
		}
	}
	for _, event := range c.scenario.events {
		c.schedule(event.at, func() { event.run(c) })
	}
	for len(c.events.items) > 0 && c.now < simEnd {
		event := c.events.pop()
		c.now = event.at
		event.run()
	}
	for _, e := range c.entries {
		for _, held := range e.credits {
			for i, m := range held {
				if i == 0 || held[i-1] != m { // a message with an unused credit at the end is not wasted
					c.markUseful(m)
				}
			}
		}
	}
}

func (e *simEntry) submit(job *simJob) {
	e.jobs[job.id] = job
	if e.choose != nil {
		for _, task := range job.tasks {
			e.start(e.choose(e.loads), task, nil)
		}
		return
	}
	queued := Job{SubmissionID: job.id, Team: job.team, Service: simService}
	if job.deadline > 0 {
		queued.Deadline = simTime(job.arrive + job.deadline)
	}
	for i, task := range job.tasks {
		queued.Tasks = append(queued.Tasks, JobTask{TaskID: vwid.TaskID(fmt.Sprint(i)), Index: i, RunTime: task.declared, Bytes: 100})
	}
	if err := e.queue.Enqueue(simTime(e.c.now), queued); err != nil {
		e.refuse(job)
		return
	}
	e.dispatch()
}

// refuse handles a job that was not accepted: the caller retries until its retries are used up.
func (e *simEntry) refuse(job *simJob) {
	e.c.refusals++
	if job.retries > 0 {
		job.retries--
		e.c.schedule(100*time.Millisecond+2*e.c.clientDelay, func() { e.submit(job) })
		return
	}
	job.refused, job.end = true, e.c.now+e.c.clientDelay
}

func (e *simEntry) cancel(job *simJob) {
	job.unfinishedTasks -= len(e.queue.Cancel(job.id))
	job.failed = true
}

// dispatch does the work of an entry after an event: it sends the tasks that have a credit, reports
// demand and ends the expired jobs.
func (e *simEntry) dispatch() {
	now := simTime(e.c.now)
	for sent, ok := e.queue.Next(now); ok; sent, ok = e.queue.Next(now) {
		worker := e.workerIndex(sent.Worker)
		m := e.credits[worker][0]
		e.credits[worker] = e.credits[worker][1:]
		e.start(worker, e.jobs[sent.Task.SubmissionID].tasks[sent.Task.Index], m)
	}
	for worker, demand, ok := e.queue.NextDemand(now); ok; worker, demand, ok = e.queue.NextDemand(now) {
		w, m := e.c.workers[e.workerIndex(worker)], e.c.send(nil)
		e.c.schedule(e.c.linkDelay(e.dc, w.dc), func() {
			if w.granter.entries[vwid.Incarnation(fmt.Sprint(e.index))].unmetDemand > 0 {
				m.cause = w.demand[e.index] // the new report includes the unmet demand of the previous one
			}
			w.demand[e.index] = m
			w.granter.SetDemand(vwid.Incarnation(fmt.Sprint(e.index)), demand)
			w.decide(m)
		})
	}
	e.tick()
	for _, expired := range e.queue.TakeExpired(now) {
		job := e.jobs[expired.SubmissionID]
		job.unfinishedTasks -= len(expired.Tasks)
		job.failed, job.end = true, e.c.now+e.c.clientDelay
	}
}

// tick repeats dispatch every 10 ms while tasks wait, as the entry process does.
func (e *simEntry) tick() {
	if e.queue.Waiting() > 0 && !e.tickScheduled {
		e.tickScheduled = true
		e.c.schedule(10*time.Millisecond, func() {
			e.tickScheduled = false
			e.dispatch()
		})
	}
}

func (e *simEntry) workerIndex(incarnation vwid.Incarnation) int {
	var worker int
	_, _ = fmt.Sscan(string(incarnation), &worker)
	return worker
}

func (e *simEntry) start(worker int, task simTask, credit *message) {
	e.c.markUseful(credit)
	e.c.starts++
	e.loads[worker]++
	w := e.c.workers[worker]
	e.c.schedule(e.c.linkDelay(e.dc, w.dc), func() { w.receive(simStart{task: task, entry: e.index}) })
}

func (e *simEntry) receiveGrant(worker int, m *message, action Action) {
	for range action.Grant {
		e.credits[worker] = append(e.credits[worker], m)
	}
	e.queue.GrantFor(vwid.Incarnation(fmt.Sprint(worker)), action.Team, action.Grant)
	e.dispatch()
}

func (e *simEntry) receiveRecall(worker int, cause *message, count int) {
	n := e.queue.ReturnCredits(vwid.Incarnation(fmt.Sprint(worker)), count)
	e.credits[worker] = e.credits[worker][:len(e.credits[worker])-n]
	w, m := e.c.workers[worker], e.c.send(cause)
	e.c.schedule(e.c.linkDelay(e.dc, w.dc), func() {
		w.granter.CreditsReturned(vwid.Incarnation(fmt.Sprint(e.index)), n)
		w.decide(m)
	})
}

// result records the end of a task. A task that the agent did not start is sent or queued again.
func (e *simEntry) result(worker int, task simTask, failed, ran bool) {
	job := task.job
	e.loads[worker]--
	if ran {
		e.queue.Finish(simTime(e.c.now), vwid.Incarnation(fmt.Sprint(worker)), job.team, TaskResult{Failed: failed, RunTime: task.actual})
		e.finishTask(job, failed)
	} else if e.choose != nil {
		e.start(e.choose(e.loads), task, nil)
	} else {
		e.queue.Requeue(simTime(e.c.now), Task{JobTask: JobTask{TaskID: vwid.TaskID(fmt.Sprint(task.index)), Index: task.index, RunTime: task.declared, Bytes: 100}, SubmissionID: job.id, Team: job.team, Service: simService})
	}
	if e.choose == nil {
		e.dispatch()
	}
}

func (e *simEntry) finishTask(job *simJob, failed bool) {
	job.unfinishedTasks--
	job.failed = job.failed || failed
	if job.unfinishedTasks == 0 {
		job.end = e.c.now + e.c.clientDelay
	}
}

func (w *simWorker) receive(start simStart) {
	if w.c.policy.baseline == nil {
		w.granter.CreditsUsed(vwid.Incarnation(fmt.Sprint(start.entry)), 1)
	}
	if w.out {
		w.c.messages++ // the refusal of the start
		w.freeSlot()
		w.answer(start, false, false)
		return
	}
	w.waiting = append(w.waiting, start)
	w.startWaiting()
}

func (w *simWorker) startWaiting() {
	for w.running < simSlots && len(w.waiting) > 0 {
		start := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.running++
		runTime := time.Duration(float64(start.task.actual) * w.slowdown)
		if w.failing {
			runTime = time.Millisecond
		}
		begin, failed := w.c.now, w.failing
		w.c.schedule(runTime, func() {
			w.running--
			w.c.busy = append(w.c.busy, span{start.task.job, w.index, begin, w.c.now})
			start.task.actual = runTime
			w.answer(start, failed, true)
			w.startWaiting()
			w.finish(start.task.job.team, runTime)
		})
	}
}

func (w *simWorker) answer(start simStart, failed, ran bool) {
	e := w.c.entries[start.entry]
	w.lastAnswer[start.entry] = w.c.now
	w.c.schedule(w.c.linkDelay(e.dc, w.dc), func() { e.result(w.index, start.task, failed, ran) })
}

func (w *simWorker) freeSlot() {
	if w.c.policy.baseline == nil {
		w.granter.SlotsFreed(1)
		w.decide(nil)
	}
}

func (w *simWorker) finish(team vwid.Team, runTime time.Duration) {
	if w.c.policy.baseline == nil {
		w.granter.Finished(team, runTime)
		w.decide(nil)
	}
}

// decide sends the Granter's decisions; cause is the message that led to them, if any.
func (w *simWorker) decide(cause *message) {
	for _, action := range w.granter.Decide(simTime(w.c.now)) {
		var index int
		_, _ = fmt.Sscan(string(action.Entry), &index)
		e, trigger := w.c.entries[index], cause
		if trigger == nil {
			trigger = w.demand[index]
		}
		m := w.c.send(trigger)
		if m.piggybacked = w.lastAnswer[index] == w.c.now; m.piggybacked {
			w.c.piggybacked++
		}
		w.c.schedule(w.c.linkDelay(e.dc, w.dc), func() {
			if action.Recall > 0 {
				e.receiveRecall(w.index, m, action.Recall)
			} else {
				e.receiveGrant(w.index, m, action)
			}
		})
	}
	if at, ok := w.granter.NextDecision(); ok && !w.retryScheduled {
		w.retryScheduled = true
		w.c.schedule(at.Sub(simTime(w.c.now)), func() {
			w.retryScheduled = false
			w.decide(nil)
		})
	}
}
