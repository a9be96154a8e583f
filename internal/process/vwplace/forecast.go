package vwplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillawind.example/vanillawind/pkg/vwresource"
)

const (
	// runTimeSlack is the relative deviation of run times from the expected one up to which a run counts as usual.
	runTimeSlack = 0.4
	// minRemaining is the part of its expected run time that a run which should have ended is still expected to take.
	minRemaining = 0.1
)

// supply is a forecast of when capacity becomes free for an entry, in the order of time. It answers the load of an entry
// whose workers are full: what it can still start within a job's time is what its own running tasks give back by then, and
// what the jobs that come first give back after they have run. Freed capacity goes to the most urgent tasks of all entries;
// under overload each entry gets about as much as its own tasks release.
type supply struct {
	free     vwresource.MilliCPU
	releases []release
}

// release is capacity that becomes free after a time.
type release struct {
	after time.Duration
	cpu   vwresource.MilliCPU
}

// forecastSupply returns the forecast from the running tasks of this entry.
func (q *Queue) forecastSupply(now time.Time) *supply {
	s := &supply{}
	for _, j := range q.jobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == taskSent && t.worker != nil {
				expected := time.Duration(float64(q.expectedRunAt(t.worker, j)) * t.worker.slowdown())
				s.releases = append(s.releases, release{remainingTime(now.Sub(t.sentAt), expected), j.Needs.CPU})
			}
		}
	}
	slices.SortFunc(s.releases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.cpu, b.cpu))
	})
	return s
}

// remainingTime returns how long a run is expected to go on. One that is late by less than runTimeSlack is expected in the
// middle of the rest of that time.
func remainingTime(elapsed, expected time.Duration) time.Duration {
	if elapsed < time.Duration(float64(expected)*(1-runTimeSlack)) {
		return expected - elapsed
	}
	return max((time.Duration(float64(expected)*(1+runTimeSlack))-elapsed)/2, time.Duration(float64(expected)*minRemaining))
}

func (s *supply) clone() *supply {
	return &supply{free: s.free, releases: slices.Clone(s.releases)}
}

// start uses capacity as soon as it is free and returns when that is, and false if it never is. The capacity is free
// again after run.
func (s *supply) start(cpu vwresource.MilliCPU, run time.Duration) (time.Duration, bool) {
	after := time.Duration(0)
	for s.free < cpu {
		if len(s.releases) == 0 {
			return 0, false
		}
		s.free += s.releases[0].cpu
		after = s.releases[0].after
		s.releases = s.releases[1:]
	}
	s.free -= cpu
	s.add(release{after + run, cpu})
	return after, true
}

// add inserts a release in the order of time.
func (s *supply) add(r release) {
	i, _ := slices.BinarySearchFunc(s.releases, r, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	s.releases = slices.Insert(s.releases, i, r)
}

// reserve uses capacity that is not given back, and returns false if there is not as much.
func (s *supply) reserve(cpu float64) bool {
	_, ok := s.start(vwresource.MilliCPU(cpu), math.MaxInt64/2)
	return ok
}

// startJob starts the waiting tasks of a job and returns when the last one starts.
func (s *supply) startJob(j *job) (time.Duration, bool) {
	last := time.Duration(0)
	for range j.waitingTasks {
		after, ok := s.start(j.Needs.CPU, j.expectedRun)
		if !ok {
			return 0, false
		}
		last = max(last, after)
	}
	return last, true
}

// fitsNoWorker reports whether some worker is eligible for a job, but none that is or may become eligible has the capacity
// for one of its tasks, even if nothing else ran there.
func (q *Queue) fitsNoWorker(j *job) bool {
	eligible := false
	for _, w := range q.workerOrder {
		if w.Service != j.Service || q.excludedDataCentres[w.DataCentre] || !w.hasLabel(j.RequiredLabel) {
			continue
		}
		if j.Needs.Fits(w.Capacity) {
			return false
		}
		eligible = eligible || w.usable()
	}
	return eligible
}
