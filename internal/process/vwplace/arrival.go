package vwplace

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the time constant of the mean arrival rate of a level.
	arrivalWindow = 500 * time.Millisecond
	// reservedArrivals is the part of the arriving work of higher levels for which the forecast reserves capacity. The rest
	// of that work is refused itself or finds capacity elsewhere.
	reservedArrivals = 0.6
)

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

// reservedAbove returns the rate at which capacity is reserved for jobs of higher levels than the given one that are still
// to come.
func (r arrivalRates) reservedAbove(now time.Time, level int) float64 {
	sum := 0.0
	for other, rate := range r {
		if other > level {
			rate.decay(now)
			sum += rate.rate
		}
	}
	return reservedArrivals * sum
}

func (r *arrivalRate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.rate *= math.Exp(-elapsed.Seconds() / arrivalWindow.Seconds())
		r.at = now
	}
}
