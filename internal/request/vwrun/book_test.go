package vwrun

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// on runs a scenario on the fake clock with a worker whose clock is as slow as it may be.
func on(t *testing.T, scenario func(t *testing.T, w *vwworkertest.Worker, d *driver)) {
	synctest.Test(t, func(t *testing.T) {
		w := vwworkertest.Make("w1")
		w.Rate = 0.98
		d := drive(t, w, 1, nil)
		defer func() {
			d.stop()
			w.Crash()
			// Late calls of the faults must end inside of the bubble.
			time.Sleep(time.Minute)
		}()
		d.announce()
		time.Sleep(10 * time.Millisecond)
		require.True(t, d.ready())
		scenario(t, w, d)
	})
}

// faultOnce makes the next call of a kind misbehave.
func faultOnce(w *vwworkertest.Worker, call string, fault vwworkertest.Fault) {
	var done atomic.Bool
	w.SetFaults(func(name string) vwworkertest.Fault {
		if name != call || done.Swap(true) {
			return vwworkertest.Fault{}
		}
		return fault
	})
}

// Runs of any length must end as the worker says, with the lease extended while they go on.
func TestRunsEnd(t *testing.T) {
	cases := map[string]struct {
		run   time.Duration
		fails bool
		want  Outcome
	}{
		"short":  {20 * time.Millisecond, false, OutcomeDone},
		"long":   {10 * time.Second, false, OutcomeDone},
		"failed": {50 * time.Millisecond, true, OutcomeFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return c.run }
				w.Fails = func(vwworker.Task) bool { return c.fails }
				require.NoError(t, d.start("a", small))
				time.Sleep(c.run + 10*time.Millisecond)
				require.Equal(t, []Outcome{c.want}, d.outcomes("a"))
				require.Equal(t, room, d.book.Free())
			})
		})
	}
}

// A worker that starts all that it is told to must never be told to start more than fits. What is being
// stopped counts until its end is listed.
func TestRoomIsKept(t *testing.T) {
	on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.StopTime = 50 * time.Millisecond
		for i := range 10 {
			require.NoError(t, d.start(vwid.SubmissionID(rune('a'+i)), small))
		}
		err := d.start("x", small)
		require.True(t, vwverdict.IsNotRun(err))
		time.Sleep(10 * time.Millisecond)
		d.stopTask("a")
		require.Error(t, d.start("x", small))
		time.Sleep(30 * time.Millisecond)
		require.Error(t, d.start("x", small))
		time.Sleep(30 * time.Millisecond)
		require.NoError(t, d.start("x", small))
		time.Sleep(time.Second)
		require.Equal(t, vwresource.Amount{CPU: 30000}, w.Peak())
	})
}

// Each way in which an order or its answer gets lost must end in a true result.
func TestLostOrders(t *testing.T) {
	cases := map[string]struct {
		call  string
		fault vwworkertest.Fault
		run   time.Duration
		// within is when the result must be there.
		within time.Duration
		want   Outcome
		starts int
	}{
		"start answered late":    {"start", vwworkertest.Fault{Delay: 100 * time.Millisecond}, 300 * time.Millisecond, 450 * time.Millisecond, OutcomeDone, 1},
		"start without answer":   {"start", vwworkertest.Fault{Lost: true}, 300 * time.Millisecond, 350 * time.Millisecond, OutcomeDone, 1},
		"start never arrives":    {"start", vwworkertest.Fault{Dropped: true}, 300 * time.Millisecond, 300 * time.Millisecond, OutcomeRefused, 0},
		"start carried out late": {"start", vwworkertest.Fault{Delay: 2 * time.Second}, 300 * time.Millisecond, 300 * time.Millisecond, OutcomeRefused, 0},
		"start rejected":         {"start", vwworkertest.Fault{Reject: vwworker.Unhealthy}, 300 * time.Millisecond, 10 * time.Millisecond, OutcomeRefused, 0},
		"hold without answer":    {"hold", vwworkertest.Fault{Lost: true}, 300 * time.Millisecond, 550 * time.Millisecond, OutcomeDone, 1},
		"hold never arrives":     {"hold", vwworkertest.Fault{Dropped: true}, 2 * time.Second, 2100 * time.Millisecond, OutcomeDone, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return c.run }
				faultOnce(w, c.call, c.fault)
				require.NoError(t, d.start("a", small))
				time.Sleep(c.within)
				require.Equal(t, []Outcome{c.want}, d.outcomes("a"))
				time.Sleep(15 * time.Second)
				require.Equal(t, c.starts, w.Starts(vwworker.Task{Job: "a"}), "the task must not start after its result")
			})
		})
	}
}

// An end must not wait for the time-out of an order for the list that was lost, nor must the worker be taken for
// silent while it answers other orders.
func TestLostListIsAskedForAgain(t *testing.T) {
	for name, fault := range map[string]vwworkertest.Fault{"order": {Dropped: true}, "answer": {Lost: true}} {
		t.Run(name, func(t *testing.T) {
			on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return 60 * time.Millisecond }
				faultOnce(w, "hold", fault)
				d.do(func(now time.Time) {
					task := vwworker.Task{Job: "a"}
					w.Needs(task, small)
					require.NoError(t, d.book.Start(now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: small, Expected: 60 * time.Millisecond}))
				})
				settings := DefaultSettings()
				time.Sleep(60*time.Millisecond + settings.Quiet + 30*time.Millisecond)
				require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("a"))
				for range 10 {
					time.Sleep(settings.Renew / 4)
					require.True(t, d.ready(), "the worker has answered since")
				}
			})
		})
	}
}

// A stop whose orders are lost must still end the run, at the latest with the lease.
func TestLostStops(t *testing.T) {
	cases := map[string]struct {
		fault  vwworkertest.Fault
		within time.Duration
	}{
		"answered":    {vwworkertest.Fault{}, 30 * time.Millisecond},
		"lost once":   {vwworkertest.Fault{Dropped: true}, 200 * time.Millisecond},
		"answer lost": {vwworkertest.Fault{Lost: true}, 200 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
				require.NoError(t, d.start("a", small))
				time.Sleep(time.Second)
				faultOnce(w, "stop", c.fault)
				d.stopTask("a")
				time.Sleep(c.within)
				require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("a"))
			})
		})
	}
	t.Run("all lost", func(t *testing.T) {
		on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
			w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
			require.NoError(t, d.start("a", small))
			time.Sleep(time.Second)
			w.SetFaults(func(name string) vwworkertest.Fault { return vwworkertest.Fault{Dropped: name == "stop"} })
			d.stopTask("a")
			time.Sleep(DefaultSettings().Longest() + DefaultSettings().Renew)
			require.Equal(t, []Outcome{OutcomeLost}, d.outcomes("a"))
			require.Zero(t, w.Running())
		})
	})
}

// A worker that no longer answers must lose its runs when its lease has certainly ended, not before and not
// much later, and must be used again once it answers.
func TestSilentWorker(t *testing.T) {
	on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		require.NoError(t, d.start("a", small))
		time.Sleep(time.Second)
		w.SetFaults(func(string) vwworkertest.Fault { return vwworkertest.Fault{Dropped: true} })
		time.Sleep(400 * time.Millisecond)
		require.False(t, d.ready(), "a worker that has not answered gets nothing more")
		for w.Running() > 0 {
			require.Empty(t, d.outcomes("a"), "a run that goes on must not have a result")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeLost}, d.outcomes("a"))
		w.SetFaults(nil)
		time.Sleep(2 * maxSyncInterval)
		require.True(t, d.ready())
		require.NoError(t, d.start("b", small))
	})
}

// A worker whose process has ended must give its runs up at once, and one that begins another life must not
// be taken for the one that had the runs.
func TestAnotherLife(t *testing.T) {
	cases := map[string]func(w *vwworkertest.Worker, d *driver){
		"gone":            func(w *vwworkertest.Worker, _ *driver) { w.Crash() },
		"same id":         func(w *vwworkertest.Worker, _ *driver) { w.Restart("w1") },
		"same, announced": func(w *vwworkertest.Worker, d *driver) { w.Restart("w1"); d.announce() },
		"other id":        func(w *vwworkertest.Worker, _ *driver) { w.Restart("w2") },
		"announced":       func(w *vwworkertest.Worker, d *driver) { w.Restart("w2"); d.announce() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
				require.NoError(t, d.start("a", small))
				time.Sleep(time.Second)
				end(w, d)
				time.Sleep(200 * time.Millisecond)
				require.Equal(t, []Outcome{OutcomeLost}, d.outcomes("a"))
				if name == "gone" {
					w.Restart("w3")
				}
				d.announce()
				time.Sleep(50 * time.Millisecond)
				require.NoError(t, d.start("b", small))
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, 1, w.Starts(vwworker.Task{Job: "b"}))
			})
		})
	}
}

// An announcement that was delayed must not bring an earlier life back.
func TestLateAnnouncement(t *testing.T) {
	on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		earlier := Offer{Life: w.Life(), Capacity: room, Now: w.Now()}
		time.Sleep(time.Second)
		w.Restart("w2")
		d.announce()
		time.Sleep(50 * time.Millisecond)
		d.do(func(now time.Time) { d.book.Announce(now, earlier) })
		require.Equal(t, vwid.Worker("w2"), d.book.Life().ID)
		require.True(t, d.ready())
	})
}

// An agent that restarts must learn what its worker still runs, stop it, and find a token that the worker
// takes although the wall clock was set back.
func TestAgentRestarts(t *testing.T) {
	on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.book.token = 5_000_000
		require.NoError(t, d.start("a", small))
		time.Sleep(100 * time.Millisecond)
		d.stop()
		next := drive(t, w, 1, nil)
		defer next.stop()
		next.announce()
		require.False(t, next.ready())
		time.Sleep(200 * time.Millisecond)
		require.True(t, next.ready())
		require.Zero(t, w.Running())
		require.NoError(t, next.start("a", small))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, 2, w.Starts(vwworker.Task{Job: "a"}), "a higher run number must be found")
	})
}

// A run whose time is over must be stopped although its entry says nothing.
func TestRunEndsBefore(t *testing.T) {
	on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.do(func(now time.Time) {
			require.NoError(t, d.book.Start(now, Spec{Task: vwworker.Task{Job: "a"}, Owner: "e", EndBefore: now.Add(time.Second)}))
		})
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, w.Running())
		time.Sleep(200 * time.Millisecond)
		require.Zero(t, w.Running())
		require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("a"))
	})
}

// The end of an entry must end its runs and no others.
func TestStopOwned(t *testing.T) {
	on(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.do(func(now time.Time) {
			for job, owner := range map[vwid.SubmissionID]vwid.Incarnation{"a": "e1", "b": "e1", "c": "e2"} {
				require.NoError(t, d.book.Start(now, Spec{Task: vwworker.Task{Job: job}, Owner: owner}))
			}
		})
		time.Sleep(100 * time.Millisecond)
		d.do(func(now time.Time) { d.book.StopOwned(now, "e1", "gone") })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("a"))
		require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("b"))
		require.Empty(t, d.outcomes("c"))
		require.Len(t, d.book.Held("e2"), 1)
	})
}
