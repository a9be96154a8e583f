package vwdispatch

import "time"

const (
	// failureWeight is the weight of one result in a worker's failure rate. With
	// ejectionThreshold, four failures in a row eject a healthy worker.
	failureWeight     = 0.2
	ejectionThreshold = 0.5
	// ejectionMargin is how far the rate must exceed the mean rate of the other workers. When all
	// workers fail, the tasks are the cause.
	ejectionMargin = 0.3
	// The first ejection lasts minEjection. Each further one that follows a failed probe lasts twice
	// as long, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// probeTimeout bounds the wait for the result of a probe, which may never have run.
	probeTimeout = 10 * time.Second
	// requiredProbes is how many probes, tasks sent one at a time after an ejection, must succeed
	// before a worker gets more than one task at a time again.
	requiredProbes = 3
)

// health tracks the failure rate of a worker and its ejection.
type health struct {
	failureRate      float64
	ejected          bool
	blockedUntil     time.Time
	ejectionDuration time.Duration
	// remainingProbes is the number of probes that must still succeed after an ejection. While
	// probeInFlight is set, one of them is at the worker; blockedUntil is its deadline.
	remainingProbes int
	probeInFlight   bool
}

// impaired reports whether the worker is ejected or still being probed after an ejection.
func (h *health) impaired() bool {
	return h.ejected || h.remainingProbes > 0
}

// blocked reports whether the worker gets no task now.
func (h *health) blocked() bool {
	return h.ejected || h.probeInFlight
}

func (h *health) recordSent(now time.Time) {
	if h.remainingProbes > 0 {
		h.probeInFlight, h.blockedUntil = true, now.Add(probeTimeout)
	}
}

// recordResult records a result. It reports whether the worker fails so often that it may be ejected.
func (h *health) recordResult(failed bool) bool {
	if h.ejected {
		return false
	}
	result := 0.0
	if failed {
		result = 1
	}
	h.failureRate += failureWeight * (result - h.failureRate)
	if !h.probeInFlight {
		return failed && h.failureRate > ejectionThreshold
	}
	h.probeInFlight = false
	if failed {
		return true
	}
	if h.remainingProbes--; h.remainingProbes == 0 {
		h.failureRate, h.ejectionDuration = 0, 0
	}
	return false
}

func (h *health) eject(now time.Time) {
	h.ejectionDuration = min(max(2*h.ejectionDuration, minEjection), maxEjection)
	h.ejected, h.blockedUntil, h.remainingProbes, h.probeInFlight = true, now.Add(h.ejectionDuration), 0, false
}

// readmit unblocks the worker if blockedUntil, the end of its ejection or of the wait for the result of
// a probe, has passed, and reports whether it did.
func (h *health) readmit(now time.Time) bool {
	if !h.blocked() || now.Before(h.blockedUntil) {
		return false
	}
	if h.ejected {
		h.remainingProbes = requiredProbes
	}
	h.ejected, h.probeInFlight = false, false
	return true
}
