package vwdispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// simPolicy is a dispatch policy of the benchmark: a baseline, or the credit protocol with these
// settings.
type simPolicy struct {
	baseline   func(*rand.Rand) Baseline
	overCommit int
	standing   int
}

var simPolicies = map[string]simPolicy{
	"credits":       {overCommit: DefaultOverCommit},
	"over-commit-0": {},
	"over-commit-2": {overCommit: 2},
	"random":        {baseline: MakeRandom},
	"round-robin":   {baseline: func(*rand.Rand) Baseline { return MakeRoundRobin() }},
	"two-choices":   {baseline: MakeTwoChoices},
}

const simSeed = 20260101

// drawJobs returns the jobs of a scenario; the same seed gives the same jobs for each policy.
func drawJobs(s *scenario, d deployment, seed uint64) []*simJob {
	jobs := s.jobs(rand.New(rand.NewPCG(seed, 2)), s.length)
	for _, job := range jobs {
		job.entry %= d.dataCentres
	}
	return jobs
}

// simulate runs a scenario and returns its metrics.
func simulate(s *scenario, d deployment, policy simPolicy, seed uint64) map[string]float64 {
	c := makeCluster(d, s, policy, seed)
	jobs := drawJobs(s, d, seed)
	c.run(jobs)
	metrics := map[string]float64{"waste": float64(c.messages-c.useful) / float64(max(1, c.starts))}
	metrics["refusals"] = float64(c.refusals) / float64(len(jobs))
	metrics["packets"] = float64(c.messages-c.useful-(c.piggybacked-c.usefulPiggybacked)) / float64(max(1, c.starts))
	measureRatios(metrics, jobs, idealEnds(d, jobs))
	if s.unmeetableDeadlines {
		metrics["in-time"] = inTime(jobs)
		metrics["late-work"] = lateWork(c.busy)
	}
	if s.saturated {
		metrics["unfair"] = unfairness(c.busy, s.length)
	}
	if s.outage.end > 0 {
		metrics["drain-work"] = drainWork(c, s)
		metrics["lost-work"] = 1 - metrics["drain-work"]
		metrics["late-starts"] = lateStarts(c, s)
	}
	if s.failingFrom > 0 {
		metrics["failing-starts"] = failingStarts(c.busy, s)
	}
	return metrics
}

// idealEnds returns when each job would end with one work-conserving queue over all slots in its
// entry's data centre: the queue takes the tasks by the same rules, with no delay in decisions.
func idealEnds(d deployment, jobs []*simJob) []time.Duration {
	c := &cluster{}
	c.events.before = func(a, b simEvent) bool {
		return a.at < b.at || (a.at == b.at && a.sequence < b.sequence)
	}
	queue := MakeQueue(QueueSettings{})
	queue.AddWorker(Worker{Incarnation: "all", Service: simService, Slots: simTotal})
	queue.Grant("all", simTotal)
	ends, byID := make([]time.Duration, len(jobs)), map[vwid.SubmissionID]int{}
	var dispatch func()
	dispatch = func() {
		for sent, ok := queue.Next(simTime(c.now)); ok; sent, ok = queue.Next(simTime(c.now)) {
			i := byID[sent.Task.SubmissionID]
			task := jobs[i].tasks[sent.Task.Index]
			c.schedule(task.actual, func() {
				ends[i] = max(ends[i], c.now+d.localDelay+d.clientDelay)
				queue.Finish(simTime(c.now), "all", jobs[i].team, TaskResult{RunTime: task.actual})
				queue.Grant("all", 1)
				dispatch()
			})
		}
	}
	for i, job := range jobs {
		byID[job.id] = i
		c.schedule(job.arrive+d.clientDelay+d.localDelay, func() {
			queued := Job{SubmissionID: job.id, Team: job.team, Service: simService}
			for index, task := range job.tasks {
				queued.Tasks = append(queued.Tasks, JobTask{Index: index, RunTime: task.actual})
			}
			_ = queue.Enqueue(simTime(c.now), queued)
			dispatch()
		})
		if job.cancel > 0 {
			c.schedule(job.cancel+d.clientDelay, func() { queue.Cancel(job.id) })
		}
	}
	for len(c.events.items) > 0 {
		event := c.events.pop()
		c.now = event.at
		event.run()
	}
	return ends
}

func measureRatios(metrics map[string]float64, jobs []*simJob, ideal []time.Duration) {
	var ratios, times, ideals []float64
	sum := 0.0
	for i, job := range jobs {
		if job.refused || job.failed || job.cancel > 0 || ideal[i] == 0 {
			continue
		}
		ratio := float64(job.end-job.arrive) / float64(ideal[i]-job.arrive)
		ratios = append(ratios, ratio)
		times = append(times, float64(job.end-job.arrive))
		ideals = append(ideals, float64(ideal[i]-job.arrive))
		sum += ratio
	}
	metrics["answered"] = float64(len(ratios)) / float64(len(jobs))
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	slices.Sort(times)
	slices.Sort(ideals)
	// The ratio of the p99 of both distributions measures the tail regardless of the order in which
	// single jobs are served.
	metrics["tail99"] = times[len(times)*99/100] / ideals[len(ideals)*99/100]
	metrics["mean"] = sum / float64(len(ratios))
	for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
		metrics[name] = ratios[int(q*float64(len(ratios)-1))]
	}
}

// inTime returns the share of the jobs that were answered before their deadline.
func inTime(jobs []*simJob) float64 {
	count := 0.0
	for _, job := range jobs {
		if !job.refused && !job.failed && job.end-job.arrive <= job.deadline {
			count++
		}
	}
	return count / float64(len(jobs))
}

// lateWork returns the share of the work that was done for jobs that missed their deadline.
func lateWork(busy []span) float64 {
	late, all := 0.0, 0.0
	for _, b := range busy {
		all += (b.end - b.begin).Seconds()
		if b.job.failed || b.job.end-b.job.arrive > b.job.deadline {
			late += (b.end - b.begin).Seconds()
		}
	}
	return late / all
}

// overlap returns how much of s lies between begin and end.
func (s span) overlap(begin, end time.Duration) time.Duration {
	return max(0, min(s.end, end)-max(s.begin, begin))
}

// unfairness returns the largest deviation of a team from its equal share over any 2 s.
func unfairness(busy []span, length time.Duration) float64 {
	worst := 0.0
	for begin := warmUp; begin+2*time.Second <= length; begin += 250 * time.Millisecond {
		used, total := map[vwid.Team]float64{}, 0.0
		for _, s := range busy {
			seconds := s.overlap(begin, begin+2*time.Second).Seconds()
			used[s.job.team] += seconds
			total += seconds
		}
		for _, seconds := range used {
			worst = max(worst, math.Abs(seconds*float64(len(used))/total-1))
		}
	}
	return worst
}

// drainWork returns the work from the start of the outage to one second after its end, as a share of
// the capacity of the workers in service.
func drainWork(c *cluster, s *scenario) float64 {
	end := s.outage.end + time.Second
	done, possible := 0.0, 0.0
	for _, w := range c.workers {
		begin := s.outage.begin
		if w.dc == simDataCentre(0) {
			begin = s.outage.end
		}
		possible += (end - begin).Seconds() * simSlots
		for _, b := range c.busy {
			if b.worker == w.index {
				done += b.overlap(begin, end).Seconds()
			}
		}
	}
	return done / possible
}

// lateStarts returns the number of starts in data centre 0 during its outage, except for the first
// 50 ms, within which each process applies the change.
func lateStarts(c *cluster, s *scenario) float64 {
	count := 0.0
	for _, b := range c.busy {
		if c.workers[b.worker].dc == simDataCentre(0) && b.begin > s.outage.begin+50*time.Millisecond && b.begin < s.outage.end {
			count++
		}
	}
	return count
}

// failingStarts returns the share of starts at the failing worker after its first second.
func failingStarts(busy []span, s *scenario) float64 {
	failing, all := 0.0, 0.0
	for _, b := range busy {
		if b.begin > s.failingFrom+time.Second && b.begin < s.length {
			all++
			if b.worker == 0 {
				failing++
			}
		}
	}
	return failing / all
}

// BenchmarkPolicy reports the metrics of each scenario, deployment and policy. One iteration is
// enough, as the simulation is deterministic:
//
//	go test -run '^$' -bench Policy -benchtime 1x ./internal/process/vwdispatch/...
func BenchmarkPolicy(b *testing.B) {
	for name, s := range scenarios {
		for user, d := range deployments {
			for title, policy := range simPolicies {
				b.Run(name+"/"+user+"/"+title, func(b *testing.B) {
					var metrics map[string]float64
					for range b.N {
						metrics = simulate(s, d, policy, simSeed)
					}
					b.ReportMetric(0, "ns/op")
					for unit, value := range metrics {
						b.ReportMetric(value, unit)
					}
				})
			}
		}
	}
}
