package vwrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An agent must adapt to workers that grant shorter leases than its default; without this it ended at its start. Leases
// that are too short to be renewed in time are an error.
func TestSettingsWithinGrantedLeases(t *testing.T) {
	cases := map[string]struct {
		granted, lease time.Duration
		refused        bool
	}{
		"longer":    {granted: time.Second, lease: 500 * time.Millisecond},
		"equal":     {granted: 500 * time.Millisecond, lease: 500 * time.Millisecond},
		"shorter":   {granted: 400 * time.Millisecond, lease: 400 * time.Millisecond},
		"fraction":  {granted: 300500 * time.Microsecond, lease: 300500 * time.Microsecond},
		"shortest":  {granted: minLease, lease: minLease},
		"too short": {granted: minLease - time.Millisecond, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			settings, err := DefaultSettings().ForGrantedLease(c.granted)
			if c.refused {
				require.ErrorContains(t, err, "leases of 199ms")
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.lease, settings.LeaseDuration)
			require.LessOrEqual(t, settings.MaxTimeToEnd(), DefaultSettings().MaxTimeToEnd(), "entries wait only as long as the default settings allow for runs to end")
		})
	}
}
