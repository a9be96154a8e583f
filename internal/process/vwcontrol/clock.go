package vwcontrol

import "time"

// clock converts elapsed monotonic time to ticks.
type clock struct {
	interval time.Duration
	start    time.Time
	ticks    int64
	// suspended returns how long the machine has been suspended in total, which the monotonic clock does not count.
	suspended      func() time.Duration
	suspendedTotal time.Duration
}

func makeClock(interval time.Duration, suspended func() time.Duration) clock {
	return clock{interval: interval, start: time.Now(), suspended: suspended, suspendedTotal: suspended()}
}

// elapsedTicks returns the number of ticks since the last call, at most limit, and how long the machine was suspended
// in that time. Ticks are computed from elapsed time, because the runtime's ticker drops ticks while the goroutine is
// busy, for example with a slow sync.
func (c *clock) elapsedTicks(now time.Time, limit int64) (ticks int64, suspended time.Duration) {
	total := c.suspended()
	suspended = total - c.suspendedTotal
	c.suspendedTotal = total
	c.start = c.start.Add(-suspended)
	ticksSinceStart := int64(now.Sub(c.start) / c.interval)
	due := ticksSinceStart - c.ticks
	c.ticks = ticksSinceStart
	return min(due, limit), suspended
}
