package vwrun

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// announceCapacity announces the worker's current incarnation with another capacity.
func (d *driver) announceCapacity(amount vwresource.Amount) {
	d.update(func(now time.Time) {
		d.tracker.Announce(now, Announcement{Life: d.worker.Life(), Capacity: amount})
	})
}

// Guards against starts beyond a capacity that has shrunk: what runs continues and counts, and no run starts before enough
// of it has ended. After the capacity has grown again, runs start at once.
func TestShrunkCapacityIsNotExceeded(t *testing.T) {
	cases := map[string]vwresource.Amount{
		"half": {CPU: 2 * small.CPU},
		"zero": {},
	}
	for name, shrunk := range cases {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
				for i := range 4 {
					require.NoError(t, d.start(vwid.SubmissionID(rune('a'+i)), small))
				}
				d.announceCapacity(shrunk)
				time.Sleep(time.Second)
				require.Equal(t, 4, w.Running())
				fit := int(shrunk.CPU / small.CPU)
				for i := range 4 {
					require.Equal(t, 4-i < fit, d.start("x"+vwid.SubmissionID(rune('0'+i)), small) == nil)
					d.stopTask(vwid.SubmissionID(rune('a' + i)))
					time.Sleep(100 * time.Millisecond)
				}
				d.announceCapacity(capacity)
				require.NoError(t, d.start("y", capacity.Minus(small)))
			})
		})
	}
}

// Guards against a pending announcement that replaces the capacity of a newer one of the same incarnation.
func TestNewerAnnouncementReplacesPendingOne(t *testing.T) {
	for name, id := range map[string]vwid.Worker{"same id": "w1", "other id": "w2"} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.Restart(id)
				d.update(func(now time.Time) {
					d.tracker.Announce(now, Announcement{Life: w.Life(), Capacity: capacity})
					require.True(t, d.tracker.IsPending())
					d.tracker.MarkGone(now, "test")
					d.tracker.Announce(now, Announcement{Life: w.Life(), Capacity: small})
				})
				time.Sleep(time.Second)
				require.True(t, d.ready())
				require.Equal(t, small, d.tracker.Capacity())
			})
		})
	}
}

// Guards against a pending announcement that changes the capacity of the tracked incarnation.
func TestPendingAnnouncementChangesNoCapacity(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		d.announceCapacity(small)
		for _, life := range []vwworker.Life{{ID: "other", Born: w.Life().Born + 1}, {ID: "w1", Born: w.Life().Born + 1}, {ID: "w1", Born: 1}} {
			d.update(func(now time.Time) { d.tracker.Announce(now, Announcement{Life: life, Capacity: capacity}) })
			require.Equal(t, small, d.tracker.Capacity())
			time.Sleep(time.Second)
			require.Equal(t, small, d.tracker.Capacity())
			require.True(t, d.ready())
		}
	})
}

// Guards against a retried start that exceeds a capacity which has shrunk since the first order.
func TestRetriedStartFitsShrunkCapacity(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		require.NoError(t, d.start("a", small))
		time.Sleep(100 * time.Millisecond)
		faultOnce(w, "start", vwworkertest.Fault{Delay: 50 * time.Millisecond, Reject: vwworker.Superseded})
		require.NoError(t, d.start("b", small))
		d.announceCapacity(small)
		time.Sleep(time.Second)
		require.Equal(t, []Outcome{OutcomeRefused}, d.outcomes("b"))
		require.Zero(t, w.Starts(vwworker.Task{Job: "b"}))
		require.Equal(t, small, w.Peak())
	})
}

// Guards against a start that the next incarnation rejects by its token and that is retried there although its capacity is
// smaller.
func TestFencedStartFitsNextCapacity(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		var holds atomic.Int32
		w.SetFaults(func(call string) vwworkertest.Fault {
			switch call {
			case "start":
				return vwworkertest.Fault{Delay: 50 * time.Millisecond}
			case "hold":
				// The second one raises the token at the worker, but its report is lost.
				return vwworkertest.Fault{Lost: holds.Add(1) == 2}
			}
			return vwworkertest.Fault{}
		})
		d.update(func(now time.Time) {
			require.NoError(t, d.tracker.Start(now, Spec{Task: vwworker.Task{Job: "a"}, Attempt: 1, Owner: "e", Needs: small}))
			w.Restart("w1")
			d.tracker.Announce(now, Announcement{Life: w.Life(), Capacity: vwresource.Amount{CPU: 1000}})
		})
		time.Sleep(time.Second)
		require.Equal(t, w.Life(), d.tracker.Life())
		require.Zero(t, w.Starts(vwworker.Task{Job: "a"}))
		require.Equal(t, []Outcome{OutcomeRefused}, d.outcomes("a"))
	})
}

// Guards against a start that is rejected by its number and retried while another incarnation is announced: it extended the
// lease, and reached the next incarnation, whose capacity may be smaller.
func TestSupersededStartIsNotRetriedWhileAnIncarnationIsPending(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.update(func(now time.Time) {
			require.NoError(t, d.tracker.Start(now, Spec{Task: vwworker.Task{Job: "a"}, Attempt: 1, Owner: "e", Needs: small}))
			sent := d.tracker.TakeOrders(now)
			var start Order
			for _, order := range sent {
				if order.Start != nil {
					start = order
				}
			}
			rejected := vwworker.ErrRejected{Reason: vwworker.Superseded, Now: w.Now()}
			w.Restart("w1")
			d.tracker.Announce(now, Announcement{Life: w.Life(), Capacity: vwresource.Amount{CPU: 1000}})
			leaseEnd := d.tracker.leaseEnd
			d.tracker.StartAnswered(now.Add(50*time.Millisecond), start, vwworker.Answer{}, rejected)
			require.Equal(t, leaseEnd, d.tracker.leaseEnd, "the lease is withheld")
		})
		time.Sleep(time.Second)
		d.update(func(time.Time) { require.Equal(t, w.Life(), d.tracker.Life()) })
		require.Zero(t, w.Starts(vwworker.Task{Job: "a"}))
		require.Equal(t, []Outcome{OutcomeRefused}, d.outcomes("a"))
	})
}

// Guards against a rejected start that is retried beside a run that is not tracked: its size is unknown, so the worker's capacity
// may be exceeded.
func TestRejectedStartIsNotRetriedBesideAForeignRun(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		w.StopTime = 50 * time.Millisecond
		faultOnce(w, "start", vwworkertest.Fault{Delay: 30 * time.Millisecond, Reject: vwworker.Superseded})
		require.NoError(t, d.start("b", capacity))
		time.Sleep(5 * time.Millisecond)
		d.mu.Lock()
		foreign := vwworker.StartOrder{Worker: "w1", Run: vwworker.Run{Task: vwworker.Task{Job: "f"}, Number: 1}, Token: d.tracker.token, Until: w.Now() + 500}
		d.mu.Unlock()
		w.Needs(foreign.Run.Task, small)
		d.group.Run(func(ctx context.Context) { _, _ = w.Start(ctx, foreign) })
		time.Sleep(10 * time.Millisecond)
		d.update(func(time.Time) { d.tracker.pollNow = true })
		time.Sleep(time.Second)
		require.LessOrEqual(t, w.Peak().CPU, capacity.CPU)
	})
}
