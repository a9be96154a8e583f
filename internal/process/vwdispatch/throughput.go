package vwdispatch

import (
	"math"
	"time"
)

// throughputWindow is the time constant of the exponential decay of the measured throughput.
const throughputWindow = time.Second

// throughput measures the slot time per second that an entry gets from a service.
type throughput struct {
	slotSeconds float64
	lastDecay   time.Time
}

func (t *throughput) add(now time.Time, work time.Duration) {
	t.decay(now)
	t.slotSeconds += work.Seconds()
}

func (t *throughput) decay(now time.Time) {
	if elapsed := now.Sub(t.lastDecay); elapsed > 0 {
		t.slotSeconds *= math.Exp(-elapsed.Seconds() / throughputWindow.Seconds())
		t.lastDecay = now
	}
}

// rate returns the slot seconds per second, averaged over about the last throughputWindow.
func (t *throughput) rate(now time.Time) float64 {
	t.decay(now)
	return t.slotSeconds / throughputWindow.Seconds()
}
