package vwentry

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/process/vwspread"
)

// takesCallers reports whether the entry can run jobs and does not stop, as a readiness check finds it.
func (e *Entry) takesCallers(now time.Time) bool {
	if e.stopping || !e.answerBy.IsZero() {
		return false
	}
	runsBestEffort := e.holder.Current().AllowsBestEffort(now) && e.bestEffort.queue.UsableWorkers() > 0
	return runsBestEffort || e.holder.IsFresh(now) && len(e.agents) > 0
}

// observeRotation applies a view of the entries in rotation.
func (e *Entry) observeRotation(now time.Time, rotation vwspread.Rotation) {
	before := e.spread.Load()
	next := before.Observe(now, rotation)
	e.spread.Store(next)
	if from, to := before.Current(), next.Current(); from != to {
		e.log.Info("entries in rotation have changed", "near", to.Near, "data centres", to.DataCentres, "near before", from.Near,
			"data centres before", from.DataCentres, "callers leave", next.GrownAt().Equal(now), "callers sent on", e.counters.CallersSentOn.Load())
	}
}

// ShouldLeave reports whether the caller of a request should connect again after the answer, because more entries take
// connections now than when it connected, and counts it. It may be called from any goroutine.
func (e *Entry) ShouldLeave(ctx context.Context) bool {
	caller, known := vwcaller.ConnectionOf(ctx)
	if !known || !e.spread.Load().ShouldLeave(time.Now(), vwspread.Caller{ConnectedAt: caller.ConnectedAt, Draw: caller.Draw}) {
		return false
	}
	e.counters.CallersSentOn.Add(1)
	return true
}
