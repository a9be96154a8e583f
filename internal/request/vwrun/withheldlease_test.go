package vwrun

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// A run whose stop orders are lost must end within MaxTimeToEnd, also while other entries go on starting runs: a start order
// extends the lease of everything at the worker, and the entry of the run requeues its task after that time.
func TestStartsDoNotExtendTheLeaseOfARunThatDoesNotStop(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		long := vwworker.Task{Job: "long"}
		w.RunTime = func(task vwworker.Task) time.Duration {
			if task == long {
				return time.Minute
			}
			return 50 * time.Millisecond
		}
		require.NoError(t, d.start(long.Job, small))
		time.Sleep(100 * time.Millisecond)
		w.SetFaults(func(call string) vwworkertest.Fault { return vwworkertest.Fault{Dropped: call == "stop"} })
		d.stopTask(long.Job)
		stopped := time.Now()
		for i := 0; time.Since(stopped) < DefaultSettings().MaxTimeToEnd(); i++ {
			_ = d.start(vwid.SubmissionID(fmt.Sprint("short", i)), small)
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		require.False(t, w.Runs(long))
		require.Equal(t, []Outcome{OutcomeLost}, d.outcomes(long.Job))
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, d.start("next", small))
	})
}
