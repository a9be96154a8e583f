package vwlink_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
)

// A timing under which one late ping ends a link would cut links on a busy machine.
func TestTimingCheck(t *testing.T) {
	cases := map[string]struct {
		timing vwlink.Timing
		good   bool
	}{
		"default":    {vwlink.DefaultTiming, true},
		"no ping":    {vwlink.Timing{Silence: time.Second}, false},
		"one ping":   {vwlink.Timing{Ping: time.Second, Silence: 1900 * time.Millisecond}, false},
		"two pings":  {vwlink.Timing{Ping: time.Second, Silence: 2 * time.Second}, true},
		"no silence": {vwlink.Timing{Ping: time.Second}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.good, c.timing.Check() == nil)
		})
	}
}
