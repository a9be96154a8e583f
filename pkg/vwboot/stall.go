package vwboot

import "time"

// StallDetector tells when a loop that iterates often has stood still, for example with its machine.
type StallDetector struct {
	lastIteration time.Time
	// suspended is for how long the machine had been suspended at the last iteration, which times do not count, and suspension
	// the part of that since the iteration before.
	suspended, suspension time.Duration
}

// Observe records an iteration of the loop, before which the machine has been suspended for the given time in all. It returns
// the time since the previous iteration if that is at least limit, else zero.
func (d *StallDetector) Observe(now time.Time, suspended, limit time.Duration) time.Duration {
	gap := now.Sub(d.lastIteration) + suspended - d.suspended
	first := d.lastIteration.IsZero()
	d.suspension = suspended - d.suspended
	d.lastIteration, d.suspended = now, suspended
	if first || gap < limit {
		return 0
	}
	return gap
}

// Suspension returns for how long the machine was suspended before the last iteration. A permission that ends at a time of the
// clock may have run out meanwhile without notice.
func (d *StallDetector) Suspension() time.Duration {
	return d.suspension
}
