package vwrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
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

// Guards against a clock of an earlier incarnation that is taken for that of the tracked one: leases that are requested by it
// are granted for longer than the tracker assumes, so runs outlast MaxTimeToEnd.
func TestLateAnswerOfEarlierIncarnationSetsNoClock(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		old := w.Life()
		var hold, start Order
		d.update(func(now time.Time) {
			hold = Order{Sent: now, Hold: &vwworker.HoldOrder{Worker: "w1", Token: d.tracker.token}}
			start = Order{Sent: now, Start: &vwworker.StartOrder{Worker: "w1", Token: d.tracker.token}}
		})
		w.Restart("w1")
		d.announce()
		time.Sleep(200 * time.Millisecond)
		d.update(func(time.Time) { require.Equal(t, w.Life(), d.tracker.Life()) })
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		require.NoError(t, d.start("a", small))
		const hour = vwworker.Clock(3_600_000)
		d.update(func(now time.Time) {
			d.tracker.HoldAnswered(now, hold, vwworker.Report{Answer: vwworker.Answer{Now: hour}, Born: old.Born}, nil)
			d.tracker.StartAnswered(now, start, vwworker.Answer{Now: hour}, nil)
		})
		d.update(func(now time.Time) { require.Less(t, d.tracker.clock.estimate(now), hour/2) })
	})
}
