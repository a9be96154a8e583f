package vwplace

import (
	"slices"
	"time"
)

// forecastMargin is the part of the forecast capacity that jobs may wait for. A job that waits in vain is refused late.
const forecastMargin = 0.9

// forecastWarmUp is the time after the most recent LinkUp in which no job is refused by forecast. After a restart of
// the whole system all workers are linked within that time, each with its whole capacity free.
const forecastWarmUp = 100 * time.Millisecond

// refuseByForecast refuses new jobs that would wait too long for capacity, or whose tasks fit no worker. After an immediate
// refusal the caller can still go elsewhere; one that follows a wait is of no use to it. The first job in the queue is
// refused only if it fits no worker: an entry without running tasks cannot forecast the wait. A dispatched job is never
// refused, as its work would be lost. What jobs of higher levels are expected to take meanwhile is not counted as available
// to a job: they come first, and it would be refused late.
func (q *Queue) refuseByForecast(now time.Time) {
	if now.Before(q.lastLinkedAt.Add(forecastWarmUp)) || !slices.ContainsFunc(q.waiting, func(j *job) bool { return !j.admitted }) {
		return
	}
	rate := q.releaseRate()
	ahead := 0.0
	for _, j := range slices.Clone(q.waiting) {
		if !j.admitted && !j.isDispatched() && q.fitsNoWorker(j) {
			q.refuseOrGiveUp(now, j, "no worker has the capacity for a task")
			continue
		}
		cpu := float64(j.waitingTasks) * float64(j.Needs.CPU)
		if !j.admitted && !j.isDispatched() && ahead > 0 && ahead+cpu > q.expectedRelease(now, rate, j) {
			q.refuseOrGiveUp(now, j, "more waits than can start in time")
			continue
		}
		j.admitted = true
		ahead += cpu
	}
}

// expectedRelease returns the capacity that a job can count on within its longest useful wait, in thousandths of a core.
func (q *Queue) expectedRelease(now time.Time, rate float64, j *job) float64 {
	return forecastMargin * (rate - q.arrivals.reservedAbove(now, j.Level)) * j.maxQueueTime().Seconds()
}

// releaseRate returns the CPU that the running tasks of this entry are expected to release per second, in thousandths
// of a core. Freed capacity goes to the most urgent tasks of all entries; under overload each entry gets about as much
// as its own tasks release.
func (q *Queue) releaseRate() float64 {
	sum := 0.0
	for _, w := range q.workerOrder {
		for j, count := range w.running {
			sum += float64(count) * float64(j.Needs.CPU) / j.expectedRun.Seconds()
		}
	}
	return sum
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
