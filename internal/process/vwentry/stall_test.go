package vwentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry that wakes from a stall must not send tasks of jobs whose callers have gone to another entry meanwhile.
func TestStallGuard(t *testing.T) {
	begun := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	g := &stallGuard{}
	require.Zero(t, g.pass(begun), "the first pass tells of no stall")
	now := begun
	for range 100 {
		now = now.Add(tickInterval)
		require.Zero(t, g.pass(now))
		require.False(t, g.holds(now))
	}
	now = now.Add(2 * time.Second)
	require.Equal(t, 2*time.Second, g.pass(now))
	require.True(t, g.holds(now))
	for passed := time.Duration(0); passed < stallPause; passed += tickInterval {
		require.True(t, g.holds(now))
		now = now.Add(tickInterval)
		require.Zero(t, g.pass(now))
	}
	require.False(t, g.holds(now))
}
