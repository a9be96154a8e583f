package vwrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
)

// A run that may have crashed its worker must be told apart from one that ended for another reason: tasks are given up
// after crashes, and a sound one must not be because of a drain, a silent worker or an order that never arrived.
func TestCrashedRunsAreToldApart(t *testing.T) {
	hold := DefaultSettings().RenewInterval + DefaultSettings().AnswerTimeout
	cases := map[string]struct {
		faults  func(order string) vwworkertest.Fault
		act     func(w *vwworkertest.Worker, d *driver)
		outcome Outcome
		crashes int
	}{
		"crash":                    {nil, func(w *vwworkertest.Worker, _ *driver) { w.Crash() }, OutcomeCrashed, 1},
		"restart before any order": {nil, func(w *vwworkertest.Worker, d *driver) { w.Restart("w1"); d.announce() }, OutcomeCrashed, 1},
		"crash after the answer to the start was lost": {
			func(order string) vwworkertest.Fault { return vwworkertest.Fault{Lost: order == "start"} },
			func(w *vwworkertest.Worker, d *driver) {
				w.Crash()
				time.Sleep(hold)
				w.Restart("w2")
				d.announce()
			},
			OutcomeCrashed, 1,
		},
		"end of a draining worker": {nil, func(w *vwworkertest.Worker, d *driver) {
			d.update(func(now time.Time) {
				d.tracker.Announce(now, Announcement{Life: w.Life(), Capacity: capacity, Draining: true})
			})
			w.Crash()
		}, OutcomeLost, 0},
		"leave": {nil, func(w *vwworkertest.Worker, d *driver) {
			d.update(func(now time.Time) { d.tracker.MarkGone(now, "the worker has left") })
			w.Crash()
		}, OutcomeLost, 0},
		"silence until the lease has expired": {nil, func(w *vwworkertest.Worker, _ *driver) {
			w.SetFaults(func(string) vwworkertest.Fault { return vwworkertest.Fault{Dropped: true} })
		}, OutcomeLost, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
				w.SetFaults(c.faults)
				require.NoError(t, d.start("a", small))
				time.Sleep(10 * time.Millisecond)
				c.act(w, d)
				time.Sleep(hold + DefaultSettings().MaxTimeToEnd())
				require.Equal(t, []Outcome{c.outcome}, d.outcomes("a"))
				d.update(func(time.Time) { require.Equal(t, c.crashes, d.tracker.TakeCrashes()) })
			})
		})
	}
}

// A task whose start order found no worker must be free to run elsewhere at once, and must not count as crashed.
func TestStartThatFindsNoWorkerIsRefused(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.Crash()
		require.NoError(t, d.start("a", small))
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeRefused}, d.outcomes("a"))
	})
}
