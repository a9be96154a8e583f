package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/request/vwrun"
)

const (
	// failureWeight is the weight of one run in the failure rate. With ejectionRate, five failures in a row
	// eject a sound worker.
	failureWeight = 0.15
	ejectionRate  = 0.5
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
}

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.until)
}

// onProbation reports whether the worker has yet to show that it no longer fails everything.
func (h *health) onProbation() bool {
	return h.probes > 0
}

// slowdown returns how much longer than expected runs take, 1 before the first one.
func (h *health) slowdown() float64 {
	if h.slow == 0 {
		return 1
	}
	return h.slow
}

// take takes the end of a run.
func (h *health) take(now time.Time, result *vwrun.Result) {
	switch result.Outcome {
	case vwrun.OutcomeDone:
		h.rate -= failureWeight * h.rate
		h.probes = max(0, h.probes-1)
		if h.probes == 0 {
			h.period = 0
		}
		h.takeTime(result)
	case vwrun.OutcomeFailed:
		h.rate += failureWeight * (1 - h.rate)
		if h.rate > ejectionRate || h.probes > 0 {
			h.eject(now)
		}
	default:
	}
}

func (h *health) takeTime(result *vwrun.Result) {
	if result.Spec.Expected <= 0 {
		return
	}
	ratio := min(float64(result.Ran)/float64(result.Spec.Expected), maxSlowdown)
	if h.slow == 0 {
		h.slow = 1
	}
	h.slow += slowdownWeight * (ratio - h.slow)
}

func (h *health) eject(now time.Time) {
	h.period = min(max(2*h.period, firstEjection), longestEjection)
	h.until, h.probes, h.rate = now.Add(h.period), returnProbes, 0
}
