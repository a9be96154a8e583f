package vwcontrol

import "time"

// clock turns the monotonic clock into ticks.
type clock struct {
	interval time.Duration
	start    time.Time
	ticks    int64
}

func makeClock(interval time.Duration) clock {
	return clock{interval: interval, start: time.Now()}
}

// due returns the number of ticks since the last call, at most limit. The runtime's ticker drops ticks
// while the goroutine is busy, for example with a slow sync, so ticks are counted by the time passed.
func (c *clock) due(now time.Time, limit int64) int64 {
	passed := int64(now.Sub(c.start) / c.interval)
	due := passed - c.ticks
	c.ticks = passed
	return min(due, limit)
}
