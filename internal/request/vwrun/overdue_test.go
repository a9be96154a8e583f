package vwrun

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// startExpecting starts tasks of a job that are expected to run for 50 ms.
func (d *driver) startExpecting(t *testing.T, job vwid.SubmissionID, tasks int) {
	t.Helper()
	d.update(func(now time.Time) {
		for i := range tasks {
			task := vwworker.Task{Job: job, Index: i}
			d.worker.Needs(task, small)
			require.NoError(t, d.tracker.Start(now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: small, Expected: 50 * time.Millisecond}))
		}
	})
}

// Runs that hang must be counted as overdue, once for each job, and end when they are stopped. Runs that take only three
// times their expected time must not be counted.
func TestOverdueRuns(t *testing.T) {
	cases := map[string]struct {
		run  time.Duration
		want int
	}{
		"hangs":       {time.Hour, 2},
		"three times": {150 * time.Millisecond, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return c.run }
				d.startExpecting(t, "a", 3)
				d.startExpecting(t, "b", 1)
				time.Sleep(600 * time.Millisecond)
				d.update(func(now time.Time) {
					require.Equal(t, c.want, d.tracker.TakeOverdueJobs())
					require.Zero(t, d.tracker.TakeOverdueJobs())
					d.tracker.StopOverdue(now, "test")
				})
				time.Sleep(100 * time.Millisecond)
				require.Zero(t, w.Running())
				if c.want > 0 {
					require.Equal(t, []Outcome{OutcomeStopped, OutcomeStopped, OutcomeStopped}, d.outcomes("a"))
				}
			})
		})
	}
}

// The overdue runs of a worker that is slow but still finishes runs must not be stopped, because the work done would be
// lost.
func TestSlowRunsGoOn(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(task vwworker.Task) time.Duration {
			if task.Job == "short" {
				return 100 * time.Millisecond
			}
			return 550 * time.Millisecond
		}
		d.startExpecting(t, "a", 1)
		d.startExpecting(t, "short", 1)
		time.Sleep(450 * time.Millisecond)
		d.update(func(now time.Time) {
			require.Equal(t, 1, d.tracker.TakeOverdueJobs())
			d.tracker.StopOverdue(now, "test")
		})
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("a"))
	})
}

// An agent that was stalled must not take its runs for overdue: the report that it then reads was made before the stall.
// If the agent's own clock counted, the time of the stall would count as run time.
func TestStalledAgentFindsNoOverdueRun(t *testing.T) {
	begun := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	life := vwworker.Life{ID: "w", Born: 1}
	tracker := Make(DefaultSettings(), 1, slog.New(slog.DiscardHandler))
	tracker.Announce(begun, Announcement{Life: life, Capacity: capacity})
	orders := tracker.TakeOrders(begun)
	require.Len(t, orders, 1)
	tracker.HoldAnswered(begun, orders[0], vwworker.Report{Answer: vwworker.Answer{Now: 1000}, Born: 1}, nil)
	require.NoError(t, tracker.Start(begun, Spec{Task: vwworker.Task{Job: "a"}, Attempt: 1, Owner: "e", Needs: small, Expected: 50 * time.Millisecond}))
	orders = tracker.TakeOrders(begun)
	require.Len(t, orders, 2)
	tracker.StartAnswered(begun, orders[0], vwworker.Answer{Now: 1001}, nil)
	running := []vwworker.Run{orders[0].Start.Run}
	woken := begun.Add(2 * time.Second)
	tracker.HoldAnswered(woken, orders[1], vwworker.Report{Answer: vwworker.Answer{Now: 1010}, Born: 1, Running: running}, nil)
	require.Zero(t, tracker.TakeOverdueJobs())
	orders = tracker.TakeOrders(woken)
	tracker.HoldAnswered(woken, orders[0], vwworker.Report{Answer: vwworker.Answer{Now: 3010}, Born: 1, Running: running}, nil)
	require.Equal(t, 1, tracker.TakeOverdueJobs(), "a report made after the stall shows that the run is overdue")
}
