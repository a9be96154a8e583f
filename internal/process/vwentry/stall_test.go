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
	require.Zero(t, g.observe(begun), "the first iteration must not count as a stall")
	now := begun
	for range 100 {
		now = now.Add(tickInterval)
		require.Zero(t, g.observe(now))
		require.False(t, g.inPause(now))
	}
	now = now.Add(2 * time.Second)
	require.Equal(t, 2*time.Second, g.observe(now))
	require.True(t, g.inPause(now))
	for passed := time.Duration(0); passed < stallPause; passed += tickInterval {
		require.True(t, g.inPause(now))
		now = now.Add(tickInterval)
		require.Zero(t, g.observe(now))
	}
	require.False(t, g.inPause(now))
}
