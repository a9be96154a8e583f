package vwentry

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwboot"
)

const (
	// stallLimit is the shortest gap between two iterations of the event loop that counts as a stall. The loop iterates
	// at least once per tickInterval.
	stallLimit = 250 * time.Millisecond
	// stallPause is how long no best-effort task is sent after a stall. In this time the operating system of a machine that was
	// suspended receives the first connection ends of callers that have left, and the entry those of links to agents.
	stallPause = 100 * time.Millisecond
)

// stallGuard detects that the process was suspended, for example with its machine, and imposes a pause after it.
type stallGuard struct {
	detector vwboot.StallDetector
	pauseEnd time.Time
	// resumedAt is when the last suspension of the machine was noticed, and suspension how long it was.
	resumedAt  time.Time
	suspension time.Duration
}

// observe records an iteration of the event loop, before which the machine has been suspended for the given time in all. It
// returns the length of a stall that has just ended, else zero.
func (g *stallGuard) observe(now time.Time, suspended time.Duration) time.Duration {
	stalled := g.detector.Observe(now, suspended, stallLimit)
	if stalled > 0 {
		g.pauseEnd = now.Add(stallPause)
	}
	if by := g.detector.Suspension(); by > 0 {
		g.resumedAt, g.suspension = now, by
	}
	return stalled
}

// suspensionSince returns for how long the machine was last suspended, if that was noticed after the given time, else zero. It is zero
// as well for the zero time.
func (g *stallGuard) suspensionSince(at time.Time) time.Duration {
	if !at.IsZero() && at.Before(g.resumedAt) {
		return g.suspension
	}
	return 0
}

// inPause reports whether the pause after a stall is still running, so that no best-effort task may be sent.
func (g *stallGuard) inPause(now time.Time) bool {
	return now.Before(g.pauseEnd)
}
