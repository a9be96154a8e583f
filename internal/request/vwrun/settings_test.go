package vwrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A worker that grants shorter leases than ours must be served with those; an agent ended at its start instead. One
// whose leases leave no time to renew them cannot be.
func TestSettingsWithinGrantedLeases(t *testing.T) {
	cases := map[string]struct {
		granted, lease time.Duration
		refused        bool
	}{
		"longer":    {granted: time.Second, lease: 500 * time.Millisecond},
		"equal":     {granted: 500 * time.Millisecond, lease: 500 * time.Millisecond},
		"shorter":   {granted: 400 * time.Millisecond, lease: 400 * time.Millisecond},
		"fraction":  {granted: 300500 * time.Microsecond, lease: 300500 * time.Microsecond},
		"shortest":  {granted: shortestLease, lease: shortestLease},
		"too short": {granted: shortestLease - time.Millisecond, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			settings, err := DefaultSettings().Within(c.granted)
			if c.refused {
				require.ErrorContains(t, err, "leases of 199ms")
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.lease, settings.Lease)
			require.LessOrEqual(t, settings.Longest(), DefaultSettings().Longest(), "entries wait for the default's runs to end")
		})
	}
}
