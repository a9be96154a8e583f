package vwagent

import (
	"math"
	"time"

	"vanillawind.example/vanillawind/internal/request/vwrun"
)

const (
	// failureWeight is the weight of one run in the failure rate. With ejectionRate, five failures in a row
	// eject a sound worker.
	failureWeight = 0.15
	ejectionRate  = 0.5
	// overdueWeight is the weight of a job whose runs hang or go on far too long. Two jobs in a row eject: each
	// shows only after several times its run time.
	overdueWeight = 0.3
	// The first ejection lasts firstEjection; each further one that follows a failed return lasts twice as
	// long, up to longestEjection.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// returnProbes is how many runs must succeed, one at a time, before a worker is used in full.
	returnProbes = 3
	// slowdownWeight is the weight of one run in the measured slowdown.
	slowdownWeight = 0.2
	// maxSlowdown bounds what one run says.
	maxSlowdown = 10
	// A measured slowdown holds for slowdownHolds after the last run and fades with slowdownFades then. Entries
	// avoid a slow worker, so that nothing else would show that it has recovered.
	slowdownHolds = time.Second
	slowdownFades = 2 * time.Second
)

// health follows whether a worker fails what it runs, and how long it takes.
type health struct {
	rate float64
	// until is the end of an ejection, and period how long it lasted.
	until  time.Time
	period time.Duration
	// probes counts the runs that are still to succeed after an ejection.
	probes int
	// slow is the moving mean of actual to expected run times, zero before the first run.
	slow float64
	// measured is when a run last told.
	measured time.Time
}

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.until)
}

// onProbation reports whether the worker has yet to show that it no longer fails everything.
func (h *health) onProbation() bool {
	return h.probes > 0
}

// slowdown returns how much longer than expected runs take, 1 before the first one.
func (h *health) slowdown(now time.Time) float64 {
	if h.slow == 0 {
		return 1
	}
	age := max(now.Sub(h.measured)-slowdownHolds, 0)
	return 1 + (h.slow-1)*math.Exp(-age.Seconds()/slowdownFades.Seconds())
}

// take takes the end of a run.
func (h *health) take(now time.Time, result *vwrun.Result) {
	switch {
	case result.Outcome == vwrun.OutcomeDone:
		h.takeTime(now, result)
		if !result.Overdue {
			h.succeed()
		}
	case result.Outcome == vwrun.OutcomeFailed:
		h.fail(now, failureWeight)
	}
}

// takeOverdue takes that runs of so many jobs go on far longer than expected.
func (h *health) takeOverdue(now time.Time, jobs int) {
	for range jobs {
		h.fail(now, overdueWeight)
	}
}

func (h *health) succeed() {
	h.rate -= failureWeight * h.rate
	h.probes = max(0, h.probes-1)
	if h.probes == 0 {
		h.period = 0
	}
}

func (h *health) fail(now time.Time, weight float64) {
	h.rate += weight * (1 - h.rate)
	if h.rate > ejectionRate || h.probes > 0 && !h.isEjected(now) {
		h.eject(now)
	}
}

func (h *health) takeTime(now time.Time, result *vwrun.Result) {
	if result.Spec.Expected <= 0 {
		return
	}
	ratio := min(float64(result.Ran)/float64(result.Spec.Expected), maxSlowdown)
	h.slow = h.slowdown(now)
	h.slow += slowdownWeight * (ratio - h.slow)
	h.measured = now
}

func (h *health) eject(now time.Time) {
	h.period = min(max(2*h.period, firstEjection), longestEjection)
	h.until, h.probes, h.rate = now.Add(h.period), returnProbes, 0
}
