package vwplace

import (
	"math"
	"slices"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// paceWindow is the number of jobs that the pace of a worker covers.
	paceWindow = 32
	// paceInterval is the interval at which paces are centred and slow workers are looked for.
	paceInterval = 100 * time.Millisecond
	// slowFactor is the reported slowdown, over the pace of a worker and over the slowdown of the quickest quarter, above which the
	// worker counts as slow. Errors of estimates rarely reach it.
	slowFactor = 1.5
	// slowHold is how long a worker or a fleet counts as slow. What is slow for longer has found its ordinary pace, or the
	// estimates of callers have changed.
	slowHold = 2 * time.Minute
	// centrePart is the part of the paces, around the median, whose mean is the centre. A median alone would jump between two
	// kinds of workers of the same number.
	centrePart = 0.2
)

// paceFactor returns how much longer runs take on the worker than on one of ordinary speed, as a lasting property of the worker.
// A worker is ordinary until shown otherwise.
func (w *worker) paceFactor() float64 {
	if w.pace.jobs == 0 {
		return 1
	}
	return w.pace.value
}

// observePace adds the ratio of an actual run time to that on a worker of ordinary speed, which counts as a part of a job.
func (w *worker) observePace(ratio, part float64) {
	if w.pace.jobs == 0 {
		// The first job must not decide alone.
		w.pace = factorMean{value: 1, jobs: 1}
	}
	w.pace.observe(ratio, part, paceWindow, maxRunTimeError)
}

// slowness tells since when a worker or a fleet has been slow.
type slowness struct {
	since time.Time
}

// watch records whether it is slow now.
func (s *slowness) watch(now time.Time, slow bool) {
	switch {
	case !slow:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// holds reports whether it counts as slow. What has been slow for slowHold is ordinary.
func (s *slowness) holds(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) < slowHold
}

// watchPaces centres the paces of the workers of each service and looks for those that are slow. The centre is the anchor of all
// expected run times: run times alone tell the product of what the team and the worker contribute, and if both were free, the
// one would drift against the other.
func (q *Queue) watchPaces(now time.Time) {
	if now.Sub(q.pacesWatchedAt) < paceInterval {
		return
	}
	q.pacesWatchedAt = now
	fleets := map[vwid.Service][]*worker{}
	for _, w := range q.workerOrder {
		if w.usable() {
			fleets[w.Service] = append(fleets[w.Service], w)
		}
	}
	centres := map[vwid.Service]float64{}
	for service, fleet := range fleets {
		if centre := centrePaces(fleet); centre != 1 {
			centres[service] = centre
		}
		watchSlowdowns(now, fleet)
	}
	q.scaleRunTimes(centres)
}

// scaleRunTimes multiplies the expected run times at the workers of each service by a factor. It goes through the kinds of tasks
// once and not for each service: there may be thousands of kinds, and a service for each worker.
func (q *Queue) scaleRunTimes(factors map[vwid.Service]float64) {
	if len(factors) == 0 {
		return
	}
	for kind, estimate := range q.runTimes {
		if factor, changed := factors[kind.service]; changed {
			estimate.scale(factor)
		}
	}
}

// watchSlowdowns looks for the workers whose agents report more than their pace explains. If a team's run times are not known
// yet, all agents that run its tasks report more, so a worker counts as slow only beside those of the quickest quarter that do
// not, and the fleet if these do.
func watchSlowdowns(now time.Time, fleet []*worker) {
	unexplained := make([]float64, len(fleet))
	for i, w := range fleet {
		unexplained[i] = w.unexplainedSlowdown()
	}
	slices.Sort(unexplained)
	quick := unexplained[len(fleet)/4]
	for _, w := range fleet {
		w.slow.watch(now, w.unexplainedSlowdown() > slowFactor*max(quick, 1))
		w.fleetSlow.watch(now, quick > slowFactor)
	}
}

// unexplainedSlowdown returns the reported slowdown over the pace of the worker. The report of a worker without runs falls back to
// 1, so a pace below that explains none.
func (w *worker) unexplainedSlowdown() float64 {
	return w.slowdown() / max(w.paceFactor(), 1)
}

// centrePaces scales the paces so that those around the median are 1 on average, and returns what they were divided by. Workers
// that are not known don't count.
func centrePaces(fleet []*worker) float64 {
	var paces []float64
	for _, w := range fleet {
		if w.pace.jobs > 0 {
			paces = append(paces, w.pace.value)
		}
	}
	if len(paces) == 0 {
		return 1
	}
	slices.Sort(paces)
	skipped := min(int(math.Round((1-centrePart)/2*float64(len(paces)))), (len(paces)-1)/2)
	middle := paces[skipped : len(paces)-skipped]
	centre := 0.0
	for _, pace := range middle {
		centre += pace / float64(len(middle))
	}
	for _, w := range fleet {
		w.pace.value /= centre
	}
	return centre
}
