package vwboot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The runtime's clock does not count the time for which a virtual machine was suspended. A process that resumes must notice
// it all the same, and must not take a step of the wall clock for a suspension.
func TestMeter(t *testing.T) {
	cases := map[string]struct {
		// wallStep is by how much the wall clock jumps, suspended how long the machine was.
		wallStep, suspended time.Duration
		reads               int
	}{
		"steady":       {0, 0, 1},
		"suspended":    {3 * time.Second, 3 * time.Second, 2},
		"step forward": {3 * time.Second, 0, 2},
		"step back":    {-3 * time.Second, 0, 2},
		"slewed":       {time.Millisecond, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			total, reads := 5*time.Second, 0
			meter := MakeMeter(func() time.Duration { reads++; return total })
			before := meter.Suspended(time.Now())
			total += c.suspended
			meter.advance(time.Second+c.wallStep, time.Second)
			require.Equal(t, c.suspended, meter.Suspended(time.Now())-before)
			require.Equal(t, c.reads, reads)
		})
	}
}
