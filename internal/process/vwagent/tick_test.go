package vwagent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// The agent ranked all known entries with each tick. With 55 entries that took 55 microseconds and 12 KB, 25 times a second,
// which was a tenth of what an agent used.
func TestTickCostsNoMoreWithMoreEntries(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		allocations := func(entries int) (mean float64) {
			f.agent.do(func(now time.Time) {
				r := f.agent.current
				for i := range entries {
					address := fmt.Sprintf("192.0.2.%d:7720", i)
					r.entriesByAddress[address] = listedEntry{listedAt: now, entry: vwmessage.EntryAddress{
						Incarnation: vwid.Incarnation(address), Process: vwid.Process(address), DataCentre: vwid.DataCentre(fmt.Sprint(i % 5)), Address: address,
					}}
				}
				r.refreshTargets()
				mean = testing.AllocsPerRun(100, func() { f.agent.onTick(now.Add(time.Millisecond)) })
			})
			return mean
		}
		require.InDelta(t, allocations(4), allocations(55), 1)
	})
}
