package vwplace

import (
	"math"
	"time"

	"vanillawind.example/vanillawind/pkg/vwresource"
)

// arrivalWindow is the time constant of the mean arrival rate of a level.
const arrivalWindow = 500 * time.Millisecond

// arrivalRates holds the work that arrives at each level.
type arrivalRates map[int]*arrivalRate

// arrivalRate is an exponentially decaying mean of arriving work, in thousandths of a core that start per second.
type arrivalRate struct {
	rate float64
	at   time.Time
}

// record adds a job.
func (r arrivalRates) record(now time.Time, j *job) {
	level := r[j.Level]
	if level == nil {
		level = &arrivalRate{at: now}
		r[j.Level] = level
	}
	level.decay(now)
	level.rate += float64(len(j.tasks)) * float64(j.Needs.CPU) / arrivalWindow.Seconds()
}

// expectedAbove returns the capacity that the jobs of higher levels than the given one that arrive within a time are expected
// to start on.
func (r arrivalRates) expectedAbove(now time.Time, level int, within time.Duration) vwresource.MilliCPU {
	sum := 0.0
	for other, rate := range r {
		if other > level {
			rate.decay(now)
			sum += rate.rate
		}
	}
	return vwresource.MilliCPU(sum * max(within, 0).Seconds())
}

func (r *arrivalRate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.rate *= math.Exp(-elapsed.Seconds() / arrivalWindow.Seconds())
		r.at = now
	}
}
