package vwplace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// promiseTime is the time from the arrival of a job after which a refusal no longer counts as prompt for its caller, less
	// what a message takes: a refusal of a job that has waited so long costs more.
	promiseTime = 6 * time.Millisecond
	// warmUp is the time after the most recent LinkUp in which no job is refused by forecast. After a restart of
	// the whole system all workers are linked within that time, each with its whole capacity free.
	warmUp = 100 * time.Millisecond
	// maxVictims bounds the jobs that are refused to let one job wait.
	maxVictims = 4
)

// admission decides which of the waiting jobs can start in time.
type admission struct {
	queue  *Queue
	now    time.Time
	supply *supply
	// planned are the jobs that can start in time, in the order of service, and left is what they leave of the supply.
	planned []*job
	left    *supply
}

// refuseWhatCannotStart refuses, among the jobs of which no task was sent, those that cost the callers least, until the others
// are forecast to start in time. It answers an overload: a caller that is refused at once can go elsewhere, and one that is
// refused after a wait cannot. It decides whenever a job has come that found no capacity, and in calm never. The first job is
// refused only if it fits no worker: an entry without running tasks cannot forecast the wait. A dispatched job is never
// refused, as its work would be lost.
func (q *Queue) refuseWhatCannotStart(now time.Time) {
	isUndecided := func(j *job) bool { return !j.admitted && !j.isDispatched() }
	if now.Before(q.lastLinkedAt.Add(warmUp)) || !slices.ContainsFunc(q.waiting, isUndecided) {
		return
	}
	s := q.forecastSupply(now)
	a := admission{queue: q, now: now, supply: s, left: s.clone()}
	for _, j := range slices.Clone(q.waiting) {
		switch {
		case j.isDispatched():
			a.plan(j)
		case !j.admitted && q.fitsNoWorker(j):
			q.refuseOrGiveUp(now, j, reasonFitsNoWorker)
		case len(a.planned) > 0 && !a.tryPlan(j) && !a.displaceFor(j):
			if !j.isPromised(now) {
				q.refuse(now, j, reasonTooMuchWaits, a.planned[len(a.planned)-1])
				continue
			}
			a.plan(j)
		case len(a.planned) == 0:
			a.plan(j)
		}
	}
}

// isPromised reports whether a job has waited so long that its caller counts on it.
func (j *job) isPromised(now time.Time) bool {
	return now.Sub(j.arrivedAt) >= promiseTime
}

// plan adds a job whether it can start in time or not.
func (a *admission) plan(j *job) {
	j.admitted = true
	a.planned = append(a.planned, j)
	a.left.startJob(j)
}

// tryPlan adds a job if it can start in time after those that are planned.
func (a *admission) tryPlan(j *job) bool {
	left := a.left.clone()
	if !a.canStart(left, j) {
		return false
	}
	j.admitted = true
	a.planned, a.left = append(a.planned, j), left
	return true
}

// canStart starts a job and reports whether its last task starts in time, also if the jobs of higher levels that are still to
// come get their part. A promised job does not leave capacity to them any more.
func (a *admission) canStart(left *supply, j *job) bool {
	window := time.Duration(a.queue.costs.waitMargin() * float64(j.arrivedAt.Add(j.maxQueueTime()).Sub(a.now)))
	if !j.isPromised(a.now) {
		above := float64(a.queue.arrivals.expectedAbove(a.now, j.Level, window))
		probe := left.clone()
		if !probe.reserve(above * a.queue.costs.reservedPart(j.Level)) {
			return false
		}
		if last, ok := probe.startJob(j); !ok || last > window {
			return false
		}
	}
	last, ok := left.startJob(j)
	return ok && last <= window
}

// displaceFor refuses planned jobs that cost less than a job if it can start in time without them.
func (a *admission) displaceFor(j *job) bool {
	loss := a.queue.costs.lossPerWork(a.now, j)
	lossOf := map[*job]float64{}
	var cheaper []*job
	for _, other := range a.planned {
		if lossOf[other] = a.queue.costs.lossPerWork(a.now, other); !other.isDispatched() && lossOf[other] < loss {
			cheaper = append(cheaper, other)
		}
	}
	slices.SortStableFunc(cheaper, func(x, y *job) int { return cmp.Compare(lossOf[x], lossOf[y]) })
	for count := 1; count <= min(len(cheaper), maxVictims); count++ {
		victims := cheaper[:count]
		kept := slices.DeleteFunc(slices.Clone(a.planned), func(other *job) bool { return slices.Contains(victims, other) })
		left := a.supply.clone()
		for _, other := range kept {
			left.startJob(other)
		}
		if !a.canStart(left, j) {
			continue
		}
		j.admitted = true
		a.planned, a.left = append(kept, j), left
		for _, victim := range victims {
			a.queue.refuse(a.now, victim, reasonDisplaced, j)
		}
		return true
	}
	return false
}

// Yield tells why a job was refused in favour of another one.
type Yield struct {
	// Level, Work and LossPerWork are those of the refused job, in core seconds and as the callers' loss for each of them. The
	// others are those of the job that it yielded to: the last one that comes before it.
	Level, ToLevel             int
	Work, ToWork               float64
	LossPerWork, ToLossPerWork float64
}

// refuse refuses a job that yields to another one.
func (q *Queue) refuse(now time.Time, j *job, reason string, other *job) {
	j.yield = &Yield{
		Level: j.Level, ToLevel: other.Level, Work: j.work(), ToWork: other.work(),
		LossPerWork: q.costs.lossPerWork(now, j), ToLossPerWork: q.costs.lossPerWork(now, other),
	}
	q.refuseOrGiveUp(now, j, reason)
}
