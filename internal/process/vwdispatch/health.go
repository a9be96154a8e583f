package vwdispatch

import "time"

const (
	// failureWeight is the weight of one result in a worker's failure rate. With ejectionRate, four
	// failures in a row eject a healthy worker.
	failureWeight = 0.2
	ejectionRate  = 0.5
	// ejectionMargin is how far the rate must exceed that of the other workers. When all fail, the
	// tasks are the cause and not the workers.
	ejectionMargin = 0.3
	// The first ejection lasts firstEjection; each further one that follows a failed return lasts
	// twice as long, up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// probePatience bounds the wait for the result of such a task, which may never have run.
	probePatience = 10 * time.Second
	// returnProbes is how many tasks must succeed, one at a time, before a worker is used in full.
	returnProbes = 3
)

// health follows whether a worker fails what it starts.
type health struct {
	rate    float64
	ejected bool
	until   time.Time
	period  time.Duration
	// probes counts the tasks that are still to succeed after an ejection. While probing, one of
	// them is at the worker, until the time in until at most.
	probes  int
	probing bool
}

// impaired reports whether the worker is ejected or on its way back.
func (h *health) impaired() bool {
	return h.ejected || h.probes > 0
}

// blocked reports whether the worker gets no task now.
func (h *health) blocked() bool {
	return h.ejected || h.probing
}

func (h *health) sent(now time.Time) {
	if h.probes > 0 {
		h.probing, h.until = true, now.Add(probePatience)
	}
}

// finished records a result. It reports whether the worker fails so often that it may be ejected.
func (h *health) finished(failed bool) bool {
	if h.ejected {
		return false
	}
	result := 0.0
	if failed {
		result = 1
	}
	h.rate += failureWeight * (result - h.rate)
	if !h.probing {
		return failed && h.rate > ejectionRate
	}
	h.probing = false
	if failed {
		return true
	}
	if h.probes--; h.probes == 0 {
		h.rate, h.period = 0, 0
	}
	return false
}

func (h *health) eject(now time.Time) {
	h.period = min(max(2*h.period, firstEjection), longestEjection)
	h.ejected, h.until, h.probes, h.probing = true, now.Add(h.period), 0, false
}

// comeBack ends an ejection, or the wait for a probe, whose time is over.
func (h *health) comeBack(now time.Time) bool {
	if !h.blocked() || now.Before(h.until) {
		return false
	}
	if h.ejected {
		h.probes = returnProbes
	}
	h.ejected, h.probing = false, false
	return true
}
