package vwagent

import (
	"math"
	"time"

	"vanillawind.example/vanillawind/internal/request/vwrun"
)

const (
	// failureWeight is the weight of one run in the failure rate. With ejectionThreshold, five failures in a
	// row eject a healthy worker.
	failureWeight     = 0.15
	ejectionThreshold = 0.5
	// overdueWeight is the weight of a job with overdue runs. Two such jobs in a row eject, because each is
	// detected only after several times its expected run time.
	overdueWeight = 0.3
	// The first ejection lasts minEjection. Each one that follows a failed probation lasts twice as long as the
	// one before, up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// requiredProbes is how many runs must succeed after an ejection, one at a time, before the worker gets its
	// full capacity again.
	requiredProbes = 3
	// slowdownWeight is the weight of one run in the measured slowdown.
	slowdownWeight = 0.2
	// maxSlowdown bounds the slowdown that one run contributes to the mean.
	maxSlowdown = 10
	// A measured slowdown stays for slowdownHold after the last run and then decays exponentially with the time
	// constant slowdownDecay. Without the decay a worker that has recovered might stay avoided, because entries
	// send a slow worker no runs that would show it.
	slowdownHold  = time.Second
	slowdownDecay = 2 * time.Second
)

// health tracks the failure rate and the slowdown of a worker and decides when to eject it.
type health struct {
	failureRate float64
	// ejectedUntil is the end of the last ejection, and ejectionDuration its length.
	ejectedUntil     time.Time
	ejectionDuration time.Duration
	// remainingProbes is the number of runs that must still succeed after an ejection.
	remainingProbes int
	// meanSlowdown is the moving mean of the ratio of actual to expected run time, zero before the first run.
	meanSlowdown float64
	// measuredAt is when a run last updated meanSlowdown.
	measuredAt time.Time
}

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// onProbation reports whether runs must still succeed after an ejection.
func (h *health) onProbation() bool {
	return h.remainingProbes > 0
}

// slowdown returns the current ratio of actual to expected run time, 1 before the first run.
func (h *health) slowdown(now time.Time) float64 {
	if h.meanSlowdown == 0 {
		return 1
	}
	age := max(now.Sub(h.measuredAt)-slowdownHold, 0)
	return 1 + (h.meanSlowdown-1)*math.Exp(-age.Seconds()/slowdownDecay.Seconds())
}

// recordResult updates the health with the result of a run. A run that is done but overdue counts neither as a
// success nor as a failure.
func (h *health) recordResult(now time.Time, result *vwrun.Result) {
	switch {
	case result.Outcome == vwrun.OutcomeDone:
		h.recordRunTime(now, result)
		if !result.Overdue {
			h.recordSuccess()
		}
	case result.Outcome == vwrun.OutcomeFailed:
		h.recordFailure(now, failureWeight)
	}
}

// recordOverdue counts a failure for each job with overdue runs.
func (h *health) recordOverdue(now time.Time, jobs int) {
	for range jobs {
		h.recordFailure(now, overdueWeight)
	}
}

func (h *health) recordSuccess() {
	h.failureRate -= failureWeight * h.failureRate
	h.remainingProbes = max(0, h.remainingProbes-1)
	if h.remainingProbes == 0 {
		h.ejectionDuration = 0
	}
}

func (h *health) recordFailure(now time.Time, weight float64) {
	h.failureRate += weight * (1 - h.failureRate)
	if h.failureRate > ejectionThreshold || h.remainingProbes > 0 && !h.isEjected(now) {
		h.eject(now)
	}
}

func (h *health) recordRunTime(now time.Time, result *vwrun.Result) {
	if result.Spec.Expected <= 0 {
		return
	}
	ratio := min(float64(result.RunTime)/float64(result.Spec.Expected), maxSlowdown)
	h.meanSlowdown = h.slowdown(now)
	h.meanSlowdown += slowdownWeight * (ratio - h.meanSlowdown)
	h.measuredAt = now
}

func (h *health) eject(now time.Time) {
	h.ejectionDuration = min(max(2*h.ejectionDuration, minEjection), maxEjection)
	h.ejectedUntil, h.remainingProbes, h.failureRate = now.Add(h.ejectionDuration), requiredProbes, 0
}
