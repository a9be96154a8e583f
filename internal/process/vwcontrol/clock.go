package vwcontrol

import "time"

// clock turns the monotonic clock into ticks.
type clock struct {
	interval time.Duration
	start    time.Time
	ticks    int64
	// suspended returns how long the machine has been suspended, which the monotonic clock does not count.
	suspended func() time.Duration
	lost      time.Duration
}

func makeClock(interval time.Duration, suspended func() time.Duration) clock {
	return clock{interval: interval, start: time.Now(), suspended: suspended, lost: suspended()}
}

// due returns the number of ticks since the last call, at most limit, and for how long the machine was
// suspended in that time. The runtime's ticker drops ticks while the goroutine is busy, for example with a
// slow sync, so ticks are counted by the time passed.
func (c *clock) due(now time.Time, limit int64) (ticks int64, suspended time.Duration) {
	lost := c.suspended()
	suspended = lost - c.lost
	c.lost = lost
	c.start = c.start.Add(-suspended)
	passed := int64(now.Sub(c.start) / c.interval)
	due := passed - c.ticks
	c.ticks = passed
	return min(due, limit), suspended
}
