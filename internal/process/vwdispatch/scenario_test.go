package vwdispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// scenario is a workload with the rules and the events that go with it.
type scenario struct {
	length time.Duration
	jobs   func(random *rand.Rand, length time.Duration) []*simJob
	policy Policy
	events []scenarioEvent
	// saturated reports that all teams have waiting tasks from warmUp to the end.
	saturated bool
	// outage is the time during which data centre 0 is out of service.
	outage span
	// failingFrom is the time from which worker 0 fails all tasks.
	failingFrom time.Duration
	// unmeetableDeadlines reports that not all deadlines can be met.
	unmeetableDeadlines bool
}

type scenarioEvent struct {
	at  time.Duration
	run func(c *cluster)
}

// warmUp is the time before the first window in which shares are measured.
const warmUp = 2 * time.Second

// workload draws jobs that arrive as a Poisson process.
type workload struct {
	load     float64 // offered slot time as a share of the capacity
	teams    int
	size     func(random *rand.Rand) int
	runTime  func(random *rand.Rand) time.Duration
	declared func(random *rand.Rand, actual time.Duration) time.Duration
	deadline time.Duration
	retries  int
	prefix   string
}

func (w workload) draw(random *rand.Rand, length time.Duration) []*simJob {
	var jobs []*simJob
	mean := w.meanWork(rand.New(rand.NewPCG(7, 7)))
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(mean) / (w.load * simTotal))
		if at >= length {
			return jobs
		}
		jobs = append(jobs, w.job(random, at, len(jobs), w.size(random)))
	}
}

func (w workload) meanWork(random *rand.Rand) time.Duration {
	var sum time.Duration
	const draws = 20_000
	for range draws {
		for range w.size(random) {
			sum += w.runTime(random)
		}
	}
	return sum / draws
}

func (w workload) job(random *rand.Rand, at time.Duration, number, size int) *simJob {
	job := &simJob{id: vwid.SubmissionID(fmt.Sprintf("%s%d", w.prefix, number)), arrive: at, entry: random.IntN(12), deadline: w.deadline, retries: w.retries}
	job.team = vwid.Team(fmt.Sprintf("%steam%d", w.prefix, random.IntN(max(1, w.teams))))
	for i := range size {
		task := simTask{job: job, index: i, actual: w.runTime(random)}
		task.declared = task.actual
		if w.declared != nil {
			task.declared = w.declared(random, task.actual)
		}
		job.tasks = append(job.tasks, task)
	}
	return job
}

// shortTask draws 50 ms to 1 s, log-uniform, and every fiftieth time 2 to 5 s.
func shortTask(random *rand.Rand) time.Duration {
	if random.IntN(50) == 0 {
		return time.Duration((2 + 3*random.Float64()) * float64(time.Second))
	}
	return time.Duration(50 * math.Pow(20, random.Float64()) * float64(time.Millisecond))
}

func uniform(low, high time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration { return low + time.Duration(random.Int64N(int64(high-low)+1)) }
}

// burstSize draws mostly small jobs and every twentieth time one of 20 to 60 tasks.
func burstSize(random *rand.Rand) int {
	if random.IntN(20) == 0 {
		return 20 + random.IntN(41)
	}
	return 1 + random.IntN(6)
}

func fixed(n int) func(*rand.Rand) int {
	return func(*rand.Rand) int { return n }
}

func tenfold(random *rand.Rand, actual time.Duration) time.Duration {
	if random.IntN(2) == 0 {
		return actual / 10
	}
	return actual * 10
}

func mixedTask(random *rand.Rand) time.Duration {
	return []time.Duration{50 * time.Millisecond, time.Second, 4 * time.Second}[min(2, random.IntN(20)/14)]
}

func steady(load float64) *scenario {
	return &scenario{length: 3 * time.Minute, jobs: workload{load: load, teams: 8, size: burstSize, runTime: shortTask}.draw}
}

// backlog draws jobs that arrive within one second and occupy all slots for work seconds.
func backlog(w workload, work float64) func(*rand.Rand, time.Duration) []*simJob {
	return func(random *rand.Rand, _ time.Duration) []*simJob {
		w.load = work
		return w.draw(random, time.Second)
	}
}

func flood(random *rand.Rand, length time.Duration) []*simJob {
	jobs := workload{load: 0.4, teams: 32, size: fixed(2), runTime: uniform(50*time.Millisecond, 200*time.Millisecond)}.draw(random, length)
	return append(jobs, workload{load: 1.5, size: fixed(200), runTime: uniform(50*time.Millisecond, 200*time.Millisecond), prefix: "flood"}.draw(random, length)...)
}

func cancellationWave(random *rand.Rand, length time.Duration) []*simJob {
	jobs := backlog(workload{teams: 8, size: fixed(100), runTime: uniform(50*time.Millisecond, 200*time.Millisecond)}, 40)(random, length)
	for i, job := range jobs {
		if i%10 != 0 {
			job.cancel = 3*time.Second + time.Duration(random.IntN(200))*time.Millisecond
		}
	}
	return jobs
}

// setOut takes data centre 0 out of service or back into service. Each process applies the change
// within 50 ms.
func setOut(out bool) func(*cluster) {
	return func(c *cluster) {
		for _, e := range c.entries {
			c.schedule(time.Duration(c.random.IntN(50))*time.Millisecond, func() {
				policy := e.queue.policy
				policy.OutOfService = map[vwid.DataCentre]bool{simDataCentre(0): out}
				e.queue.SetPolicy(policy)
				e.dispatch()
			})
		}
		for _, w := range c.workers {
			if w.dc == simDataCentre(0) {
				c.schedule(time.Duration(c.random.IntN(50))*time.Millisecond, func() { w.setOut(out) })
			}
		}
	}
}

func (w *simWorker) setOut(out bool) {
	w.out = out
	slots := simSlots
	if out {
		slots = 0
		waiting := w.waiting
		w.waiting = nil
		for _, start := range waiting {
			w.c.messages++
			w.answer(start, false, false)
			w.freeSlot()
		}
	}
	if w.c.policy.baseline == nil {
		w.granter.SetSlots(slots)
		w.decide(nil)
	}
}

func setAllOut(out bool) func(*cluster) {
	return func(c *cluster) {
		for _, w := range c.workers {
			w.setOut(out)
		}
	}
}

var scenarios = map[string]*scenario{
	"steady-50":   steady(0.5),
	"steady-80":   steady(0.8),
	"steady-95":   steady(0.95),
	"burst":       {jobs: backlog(workload{teams: 4, size: fixed(900), runTime: uniform(50*time.Millisecond, 100*time.Millisecond)}, 15)},
	"mixed":       {length: time.Minute, jobs: workload{load: 0.8, teams: 8, size: fixed(4), runTime: mixedTask}.draw},
	"wrong-sizes": {length: 20 * time.Second, saturated: true, jobs: backlog(workload{teams: 8, size: fixed(10), runTime: uniform(50*time.Millisecond, 500*time.Millisecond), declared: tenfold}, 60)},
	"straggler": {
		length: 30 * time.Second, jobs: workload{load: 0.7, teams: 8, size: burstSize, runTime: shortTask}.draw,
		events: []scenarioEvent{{0, func(c *cluster) { c.workers[0].slowdown = 5 }}},
	},
	"failing-worker": {
		length: 20 * time.Second, failingFrom: 2 * time.Second, jobs: workload{load: 0.7, teams: 8, size: burstSize, runTime: shortTask}.draw,
		events: []scenarioEvent{{2 * time.Second, func(c *cluster) { c.workers[0].failing = true }}},
	},
	"flood":         {length: 10 * time.Second, jobs: flood},
	"all-saturated": {length: 20 * time.Second, saturated: true, jobs: backlog(workload{teams: 33, size: fixed(10), runTime: uniform(50*time.Millisecond, 200*time.Millisecond)}, 40)},
	"cancellation":  {jobs: cancellationWave},
	"drain": {
		length: 12 * time.Second, outage: span{begin: 3 * time.Second, end: 8 * time.Second},
		jobs:   workload{load: 1.3, teams: 8, size: burstSize, runTime: shortTask}.draw,
		events: []scenarioEvent{{3 * time.Second, setOut(true)}, {8 * time.Second, setOut(false)}},
	},
	"retry-storm": {
		length: 20 * time.Second, policy: Policy{QueueTasks: 60},
		jobs:   workload{load: 0.75, teams: 8, size: burstSize, runTime: shortTask, retries: 20}.draw,
		events: []scenarioEvent{{5 * time.Second, setAllOut(true)}, {7 * time.Second, setAllOut(false)}},
	},
	"deadlines": {
		length: 20 * time.Second, unmeetableDeadlines: true,
		jobs: workload{load: 1.5, teams: 8, size: burstSize, runTime: uniform(50*time.Millisecond, 500*time.Millisecond), deadline: 2 * time.Second}.draw,
	},
}
