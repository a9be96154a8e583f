package vwrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
)

// lateStart is how late the start order of the tests in this file reaches the worker.
const lateStart = 3 * time.Second

// A start order that reaches the worker after its run has a result must start nothing, even if the worker counts the
// requested lease from the arrival of the order: the task may run elsewhere by then.
func TestLateStartIsFencedAfterItsResult(t *testing.T) {
	cases := map[string]struct {
		// dropped tells which calls are lost, by the time since the start order was sent.
		dropped func(call string, since time.Duration) bool
		within  time.Duration
	}{
		"stop orders are lost": {
			dropped: func(call string, _ time.Duration) bool { return call == "stop" },
			within:  time.Second,
		},
		"all orders are lost until the lease has expired": {
			dropped: func(_ string, since time.Duration) bool { return since < 900*time.Millisecond },
			within:  2 * time.Second,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				begin := time.Now()
				w.SetFaults(func(call string) vwworkertest.Fault {
					switch {
					case call == "start":
						return vwworkertest.Fault{Delay: lateStart, Shifted: true}
					case c.dropped(call, time.Since(begin)):
						return vwworkertest.Fault{Dropped: true}
					}
					return vwworkertest.Fault{}
				})
				require.NoError(t, d.start("a", small))
				time.Sleep(c.within)
				require.Len(t, d.outcomes("a"), 1)
				time.Sleep(lateStart)
				require.Zero(t, w.Starts(vwworker.Task{Job: "a"}))
			})
		})
	}
}

// A worker that restarts under its id has seen no fencing token and no stop order, and its clock begins anew. A start order
// to its previous incarnation that arrives before the first hold must start nothing, since its run has a result already.
func TestLateStartAfterRestartUnderSameID(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		faultOnce(w, "start", vwworkertest.Fault{Delay: lateStart})
		require.NoError(t, d.start("a", small))
		time.Sleep(time.Second)
		require.Equal(t, []Outcome{OutcomeRefused}, d.outcomes("a"))
		w.Crash()
		time.Sleep(lateStart - time.Second - time.Millisecond)
		w.Restart(w.Life().ID)
		time.Sleep(2 * time.Millisecond)
		require.Zero(t, w.Starts(vwworker.Task{Job: "a"}))
	})
}
