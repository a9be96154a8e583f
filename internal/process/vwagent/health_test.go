package vwagent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/request/vwrun"
)

// Guards against a failing or hanging worker that keeps getting tasks, and against the ejection of a healthy
// one.
func TestHealthEjects(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	done := func(h *health) { h.recordResult(now, &vwrun.Result{Outcome: vwrun.OutcomeDone}) }
	failed := func(h *health) { h.recordResult(now, &vwrun.Result{Outcome: vwrun.OutcomeFailed}) }
	overdue := func(h *health) { h.recordOverdue(now, 1) }
	slowly := func(h *health) { h.recordResult(now, &vwrun.Result{Outcome: vwrun.OutcomeDone, Overdue: true}) }
	cases := map[string]struct {
		events  []func(*health)
		ejected bool
	}{
		"four failures in a row":               {[]func(*health){failed, failed, failed, failed}, false},
		"five failures in a row":               {[]func(*health){failed, failed, failed, failed, failed}, true},
		"failures among runs that are done":    {[]func(*health){failed, done, failed, done, failed, done, failed, done, failed, done}, false},
		"one job that is longer than expected": {[]func(*health){overdue}, false},
		"two jobs that hang":                   {[]func(*health){overdue, overdue}, true},
		"one job in ten is far longer":         {slices.Repeat([]func(*health){overdue, done, done, done, done, done, done, done, done, done}, 10), false},
		"runs that are done too late to count": {[]func(*health){overdue, slowly, slowly, overdue}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &health{}
			for _, event := range c.events {
				event(h)
			}
			require.Equal(t, c.ejected, h.isEjected(now))
		})
	}
}

// Guards against a faulty worker that is probed too often: each failed probation must double the next ejection.
// Runs that succeed must end the probation.
func TestHealthReturns(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	h := &health{}
	h.recordOverdue(now, 2)
	for _, period := range []time.Duration{minEjection, 2 * minEjection, 4 * minEjection, maxEjection, maxEjection} {
		require.Equal(t, period, h.ejectedUntil.Sub(now))
		h.recordOverdue(now, 1)
		require.Equal(t, period, h.ejectedUntil.Sub(now), "a run that started before the ejection extended it")
		now = h.ejectedUntil
		require.True(t, h.onProbation())
		h.recordOverdue(now, 1)
	}
	now = h.ejectedUntil
	for range requiredProbes {
		h.recordResult(now, &vwrun.Result{Outcome: vwrun.OutcomeDone})
	}
	require.False(t, h.onProbation())
	h.recordOverdue(now, 2)
	require.Equal(t, minEjection, h.ejectedUntil.Sub(now))
}

// Guards against a slow worker that is avoided for ever: entries send it no runs that could show its recovery,
// so its slowdown must decay.
func TestSlowdownDecays(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	h := &health{}
	for range 50 {
		h.recordResult(now, &vwrun.Result{Outcome: vwrun.OutcomeDone, RunTime: 6 * time.Second, Spec: vwrun.Spec{Expected: time.Second}})
	}
	require.InDelta(t, 6, h.slowdown(now), 0.1)
	require.InDelta(t, 6, h.slowdown(now.Add(slowdownHold)), 0.1)
	require.Less(t, h.slowdown(now.Add(slowdownHold+2*slowdownDecay)), 2.0)
}
