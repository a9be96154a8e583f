package vwrun

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// An answer of an earlier incarnation that arrives after the next one has reported must set neither the clock nor the state
// of a run: leases would be requested far in the future, so that runs outlast MaxTimeToEnd, and the run would seem to have
// been started by the next incarnation.
func TestLateAnswersOfEarlierIncarnationAreIgnored(t *testing.T) {
	const oldClock, newClock = vwworker.Clock(1_000_000), vwworker.Clock(50)
	now := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	tracker := Make(DefaultSettings(), 1, slog.New(slog.DiscardHandler))
	hold := func(born int64, clock vwworker.Clock) {
		for _, order := range tracker.TakeOrders(now) {
			if order.Hold != nil {
				tracker.HoldAnswered(now, order, vwworker.Report{Answer: vwworker.Answer{Now: clock}, Born: born}, nil)
			}
		}
	}
	first := vwworker.Life{ID: "w1", Born: 1}
	tracker.Announce(now, Announcement{Life: first, Capacity: capacity})
	hold(first.Born, oldClock)
	require.True(t, tracker.IsReady())
	require.NoError(t, tracker.Start(now, Spec{Task: vwworker.Task{Job: "a"}, Attempt: 1, Owner: "e", Needs: small}))
	tracker.Stop(now, vwworker.Task{Job: "a"}, "test")
	orders := tracker.TakeOrders(now)
	for _, order := range orders {
		if order.Hold != nil {
			tracker.HoldAnswered(now, order, vwworker.Report{Answer: vwworker.Answer{Now: newClock}, Born: first.Born + 1}, nil)
		}
	}
	require.Equal(t, first.Born+1, tracker.Life().Born)
	for _, order := range orders {
		switch {
		case order.Start != nil:
			tracker.StartAnswered(now, order, vwworker.Answer{Now: oldClock}, nil)
		case order.Stop != nil:
			tracker.StopAnswered(now, order, vwworker.Answer{Now: oldClock}, nil)
		}
	}
	hold(first.Born+1, newClock+1)
	require.Less(t, tracker.clock.estimate(now), oldClock)
	results := tracker.TakeResults()
	require.Len(t, results, 1)
	require.Equal(t, OutcomeCrashed, results[0].Outcome)
}
