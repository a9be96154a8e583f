package vwdispatch

import (
	"math"
	"time"
)

// throughputWindow is the time constant of the measured throughput.
const throughputWindow = time.Second

// throughput measures the slot time per second that a service gives to an entry.
type throughput struct {
	work float64
	last time.Time
}

func (t *throughput) add(now time.Time, work time.Duration) {
	t.decay(now)
	t.work += work.Seconds()
}

func (t *throughput) decay(now time.Time) {
	if elapsed := now.Sub(t.last); elapsed > 0 {
		t.work *= math.Exp(-elapsed.Seconds() / throughputWindow.Seconds())
		t.last = now
	}
}

// rate returns the slot seconds per second over about the last window.
func (t *throughput) rate(now time.Time) float64 {
	t.decay(now)
	return t.work / throughputWindow.Seconds()
}
