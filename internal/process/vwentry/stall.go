package vwentry

import "time"

const (
	// stallLimit is the longest pause between two passes of the control loop that is not taken for a stall. The loop
	// passes at least once in each tickInterval.
	stallLimit = 250 * time.Millisecond
	// stallPause is how long nothing is sent after a stall. The ends of connections that came meanwhile are read by
	// then: callers whose connections broke have sent their jobs to other entries.
	stallPause = 100 * time.Millisecond
)

// stallGuard tells whether the process has stood still lately, as a machine that was frozen does.
type stallGuard struct {
	last, until time.Time
}

// pass notes a pass of the control loop. It reports the length of a stall that has just ended, else zero.
func (g *stallGuard) pass(now time.Time) time.Duration {
	gap := now.Sub(g.last)
	first := g.last.IsZero()
	g.last = now
	if first || gap < stallLimit {
		return 0
	}
	g.until = now.Add(stallPause)
	return gap
}

// holds reports whether nothing may be sent yet.
func (g *stallGuard) holds(now time.Time) bool {
	return now.Before(g.until)
}
