package vwrun

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
)

// Guards against confirmed runs without a result: a worker that has restarted answers once and then no more.
func TestRunsEndWithARestartThatTurnsSilent(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		require.NoError(t, d.start("a", small))
		time.Sleep(time.Second)
		w.Restart("w1")
		var answered atomic.Bool
		w.SetFaults(func(string) vwworkertest.Fault {
			return vwworkertest.Fault{Dropped: answered.Swap(true)}
		})
		time.Sleep(10 * time.Second)
		d.update(func(time.Time) { require.Equal(t, w.Life(), d.tracker.Life()) })
		require.Equal(t, []Outcome{OutcomeCrashed}, d.outcomes("a"))
	})
}
