package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// workerClock estimates the clock of a worker from the agent's clock. It holds the highest lower bound of the worker's clock
// at the last observation. Each observation is a lower bound, because the answer took time to arrive.
type workerClock struct {
	// maxDrift is the fraction by which the worker's clock may be slower than the agent's.
	maxDrift   float64
	observedAt time.Time
	value      vwworker.Clock
}

func (c *workerClock) known() bool {
	return !c.observedAt.IsZero()
}

// observe records a time of the worker's clock. A late answer gives a lower bound than earlier observations do.
func (c *workerClock) observe(received time.Time, value vwworker.Clock) {
	if value <= 0 {
		return
	}
	if c.known() {
		value = max(value, c.value+vwworker.Clock((1-c.maxDrift)*milliseconds(received.Sub(c.observedAt))))
	}
	c.observedAt, c.value = received, value
}

// estimate returns the time of the worker's clock at now, assuming that it runs as fast as the agent's.
func (c *workerClock) estimate(now time.Time) vwworker.Clock {
	return c.value + vwworker.Clock(now.Sub(c.observedAt)/time.Millisecond)
}

// latestTimeOf returns the latest time at which the worker's clock reaches value.
func (c *workerClock) latestTimeOf(value vwworker.Clock) time.Time {
	slowest := float64(value-c.value) / (1 - c.maxDrift)
	// The worker's clock is rounded to milliseconds, so one is added.
	return c.observedAt.Add(time.Duration((slowest + 1) * float64(time.Millisecond)))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
