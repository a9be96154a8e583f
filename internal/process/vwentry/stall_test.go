package vwentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that, after a stall, sends tasks of jobs whose callers have moved to another entry during it.
func TestStallGuard(t *testing.T) {
	begun := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	g := &stallGuard{}
	require.Zero(t, g.observe(begun, 0), "the first iteration must not count as a stall")
	now := begun
	for range 100 {
		now = now.Add(tickInterval)
		require.Zero(t, g.observe(now, 0))
		require.False(t, g.inPause(now))
	}
	now = now.Add(2 * time.Second)
	require.Equal(t, 2*time.Second, g.observe(now, 0))
	require.True(t, g.inPause(now))
	for passed := time.Duration(0); passed < stallPause; passed += tickInterval {
		require.True(t, g.inPause(now))
		now = now.Add(tickInterval)
		require.Zero(t, g.observe(now, 0))
	}
	require.False(t, g.inPause(now))
}

// The clock of the process does not count the time for which its machine was suspended, and the tasks that it would send then
// may run elsewhere all the same.
func TestStallGuardCountsSuspension(t *testing.T) {
	const before = time.Minute
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	g := &stallGuard{}
	require.Zero(t, g.observe(now, before), "suspensions before the start do not count")
	now = now.Add(tickInterval)
	require.Equal(t, 3*time.Second+tickInterval, g.observe(now, before+3*time.Second))
	require.True(t, g.inPause(now))
	require.Equal(t, 3*time.Second, g.suspensionSince(now.Add(-1)), "a call that came before it")
	require.Zero(t, g.suspensionSince(now), "a call that came after it")
	require.Zero(t, g.observe(now.Add(stallPause), before+3*time.Second))
	require.False(t, g.inPause(now.Add(stallPause)))
}
