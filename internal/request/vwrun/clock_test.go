package vwrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// Guards against leases that get longer the longer a worker with a slow clock is tracked: the end of a run that cannot be
// stopped is expected within Settings.MaxTimeToEnd. Where the clock runs at the slowest rate, no later answer gave a higher
// bound than the fastest one, so the estimate was extrapolated from an ever older observation.
func TestEstimateFollowsSlowClock(t *testing.T) {
	const (
		answerInterval = 125 * time.Millisecond
		fastest, usual = time.Millisecond, 3 * time.Millisecond
		maxError       = 5
	)
	settings := DefaultSettings()
	for name, rate := range map[string]float64{"slowest": 1 - settings.MaxClockDrift, "slow": 1 - settings.MaxClockDrift/2, "exact": 1} {
		t.Run(name, func(t *testing.T) {
			begun := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
			truth := func(now time.Time) vwworker.Clock { return 1000 + vwworker.Clock(rate*milliseconds(now.Sub(begun))) }
			clock := workerClock{maxDrift: settings.MaxClockDrift}
			clock.observe(begun.Add(fastest), truth(begun))
			for age := answerInterval; age <= time.Minute; age += answerInterval {
				sent := begun.Add(age)
				require.InDelta(t, float64(truth(sent)), float64(clock.estimate(sent)), maxError, "at the age %v", age)
				lease := truth(sent) + 500
				atEnd := clock.latestTimeOf(lease)
				require.GreaterOrEqual(t, truth(atEnd), lease, "at the age %v a lease counts as over too early", age)
				clock.observe(sent.Add(usual), truth(sent))
			}
			// A late answer must not set the estimate back.
			now := begun.Add(time.Minute + time.Second)
			clock.observe(now, truth(begun.Add(time.Minute)))
			require.InDelta(t, float64(truth(now)), float64(clock.estimate(now)), 0.02*1000+maxError)
		})
	}
}
