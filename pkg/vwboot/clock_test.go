package vwboot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A fencing token that is made from the time must rise from one run of a process to the next.
func TestTimeRises(t *testing.T) {
	first := Time()
	require.Positive(t, first)
	time.Sleep(2 * time.Millisecond)
	require.Greater(t, Time(), first)
}

// Reading two clocks one after the other must not look like a suspension, which would end leases.
func TestSuspendedIsSteady(t *testing.T) {
	first := Suspended()
	for range 10_000 {
		require.InDelta(t, first, Suspended(), float64(precision))
	}
}
