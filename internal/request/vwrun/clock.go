package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// workerClock relates the clock of a worker to the agent's own. It keeps one pair of times of which the
// worker's is certainly not too high, because each answer was on its way for some time.
type workerClock struct {
	// drift is how much slower the worker's clock may run, as a share.
	drift float64
	at    time.Time
	value vwworker.Clock
}

func (c *workerClock) known() bool {
	return !c.at.IsZero()
}

// observe takes over a time that the worker told, when it says more than what is known.
func (c *workerClock) observe(received time.Time, value vwworker.Clock) {
	if value <= 0 {
		return
	}
	if !c.known() || float64(value) > float64(c.value)+(1-c.drift)*milliseconds(received.Sub(c.at)) {
		c.at, c.value = received, value
	}
}

// estimate returns what the worker's clock shows at now if it runs as fast as the agent's.
func (c *workerClock) estimate(now time.Time) vwworker.Clock {
	return c.value + vwworker.Clock(now.Sub(c.at)/time.Millisecond)
}

// latest returns the time at which the worker's clock certainly shows value.
func (c *workerClock) latest(value vwworker.Clock) time.Time {
	slowest := float64(value-c.value) / (1 - c.drift)
	// One more millisecond covers the rounding of the worker's clock.
	return c.at.Add(time.Duration((slowest + 1) * float64(time.Millisecond)))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
