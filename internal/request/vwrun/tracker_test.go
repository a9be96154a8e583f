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

// runScenario runs a scenario on the fake clock with a worker whose clock has the greatest drift that is allowed.
func runScenario(t *testing.T, scenario func(t *testing.T, w *vwworkertest.Worker, d *driver)) {
	synctest.Test(t, func(t *testing.T) {
		w := vwworkertest.Make("w1")
		w.Rate = 0.98
		d := startDriver(t, w, 1, nil)
		defer func() {
			d.stop()
			w.Crash()
			// Calls that a fault delays must end inside the synctest bubble.
			time.Sleep(time.Minute)
		}()
		d.announce()
		time.Sleep(10 * time.Millisecond)
		require.True(t, d.ready())
		scenario(t, w, d)
	})
}

// faultOnce injects a fault into the next call of a kind.
func faultOnce(w *vwworkertest.Worker, call string, fault vwworkertest.Fault) {
	var done atomic.Bool
	w.SetFaults(func(name string) vwworkertest.Fault {
		if name != call || done.Swap(true) {
			return vwworkertest.Fault{}
		}
		return fault
	})
}

// Runs of any length must end with the outcome that the worker reports. A lease that is not renewed during a run would
// end a long one early.
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
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return c.run }
				w.Fails = func(vwworker.Task) bool { return c.fails }
				require.NoError(t, d.start("a", small))
				time.Sleep(c.run + 10*time.Millisecond)
				require.Equal(t, []Outcome{c.want}, d.outcomes("a"))
				require.Equal(t, capacity, d.tracker.Free())
			})
		})
	}
}

// A worker that does not check its capacity itself must never get starts that exceed it. A run that is being stopped
// occupies capacity until the worker reports its end.
func TestCapacityIsNotExceeded(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
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

// Whenever a start or hold order or its answer is delayed, lost or rejected, the result must match what the worker did.
func TestLostOrders(t *testing.T) {
	cases := map[string]struct {
		call  string
		fault vwworkertest.Fault
		run   time.Duration
		// within is the time after which the result must exist.
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
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
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

// When a hold order or its answer is lost, the result of a run must not be delayed until the hold times out, and the
// worker must not count as unresponsive while it answers other orders.
func TestLostHoldIsReplaced(t *testing.T) {
	for name, fault := range map[string]vwworkertest.Fault{"order": {Dropped: true}, "answer": {Lost: true}} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return 60 * time.Millisecond }
				faultOnce(w, "hold", fault)
				d.update(func(now time.Time) {
					task := vwworker.Task{Job: "a"}
					w.Needs(task, small)
					require.NoError(t, d.tracker.Start(now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: small, Expected: 60 * time.Millisecond}))
				})
				settings := DefaultSettings()
				time.Sleep(60*time.Millisecond + settings.ReportTimeout + 30*time.Millisecond)
				require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("a"))
				for range 10 {
					time.Sleep(settings.RenewInterval / 4)
					require.True(t, d.ready(), "the worker has answered other orders since the lost one")
				}
			})
		})
	}
}

// A stop must end the run although stop orders or their answers are lost, at the latest when the lease expires.
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
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
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
		runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
			w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
			require.NoError(t, d.start("a", small))
			time.Sleep(time.Second)
			w.SetFaults(func(name string) vwworkertest.Fault { return vwworkertest.Fault{Dropped: name == "stop"} })
			d.stopTask("a")
			time.Sleep(DefaultSettings().MaxTimeToEnd() + DefaultSettings().RenewInterval)
			require.Equal(t, []Outcome{OutcomeLost}, d.outcomes("a"))
			require.Zero(t, w.Running())
		})
	})
}

// The runs of a worker that no longer answers must be settled as lost when its lease has certainly expired, not before
// and not much later. The worker must be used again once it answers.
func TestSilentWorker(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		require.NoError(t, d.start("a", small))
		time.Sleep(time.Second)
		w.SetFaults(func(string) vwworkertest.Fault { return vwworkertest.Fault{Dropped: true} })
		time.Sleep(400 * time.Millisecond)
		require.False(t, d.ready(), "a worker that does not answer must not get new runs")
		for w.Running() > 0 {
			require.Empty(t, d.outcomes("a"), "a run that has not ended must not have a result")
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

// The runs of a worker whose process has ended must be settled as crashed at once, and a new incarnation must not be
// credited with the runs of the previous one.
func TestNewIncarnation(t *testing.T) {
	cases := map[string]func(w *vwworkertest.Worker, d *driver){
		"gone":            func(w *vwworkertest.Worker, _ *driver) { w.Crash() },
		"same id":         func(w *vwworkertest.Worker, _ *driver) { w.Restart("w1") },
		"same, announced": func(w *vwworkertest.Worker, d *driver) { w.Restart("w1"); d.announce() },
		"other id":        func(w *vwworkertest.Worker, _ *driver) { w.Restart("w2") },
		"announced":       func(w *vwworkertest.Worker, d *driver) { w.Restart("w2"); d.announce() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
				require.NoError(t, d.start("a", small))
				time.Sleep(time.Second)
				end(w, d)
				time.Sleep(200 * time.Millisecond)
				require.Equal(t, []Outcome{OutcomeCrashed}, d.outcomes("a"))
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

// A delayed announcement of an earlier incarnation must not replace the current one.
func TestLateAnnouncement(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		earlier := Announcement{Life: w.Life(), Capacity: capacity}
		time.Sleep(time.Second)
		w.Restart("w2")
		d.announce()
		time.Sleep(50 * time.Millisecond)
		d.update(func(now time.Time) { d.tracker.Announce(now, earlier) })
		for range 10 {
			require.Equal(t, vwid.Worker("w2"), d.tracker.Life().ID)
			require.True(t, d.ready())
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// falseLives are incarnations that another writer may announce beside that of the worker.
func falseLives(current vwworker.Life) map[string]vwworker.Life {
	return map[string]vwworker.Life{
		"other id, later":   {ID: "other", Born: current.Born + 1},
		"other id, earlier": {ID: "other", Born: current.Born - 1},
		"other id, largest": {ID: "other", Born: 1 << 53},
		"same id, later":    {ID: current.ID, Born: current.Born + 1},
		"same id, largest":  {ID: current.ID, Born: 1 << 53},
		"same id, earlier":  {ID: current.ID, Born: current.Born - 1},
	}
}

// An announcement from another writer must not end the runs of the worker, nor keep the agent from using it. Each of them
// replaced the worker: its runs were lost while they went on, and one with a large start time was never replaced again.
func TestFalseAnnouncementReplacesNoWorker(t *testing.T) {
	for name := range falseLives(vwworker.Life{}) {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return 3 * time.Second }
				life := falseLives(w.Life())[name]
				require.NoError(t, d.start("a", small))
				for range 20 {
					d.update(func(now time.Time) { d.tracker.Announce(now, Announcement{Life: life}) })
					time.Sleep(100 * time.Millisecond)
					require.Equal(t, w.Life(), d.tracker.Life())
					require.True(t, d.ready())
					require.Equal(t, capacity, d.tracker.Capacity())
				}
				require.Equal(t, 1, w.Running())
				require.Empty(t, d.outcomes("a"))
				require.NoError(t, d.start("b", small))
				time.Sleep(4 * time.Second)
				require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("a"))
				require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("b"))
			})
		})
	}
}

// A false announcement that comes first, while no worker is tracked, must not lock out the worker, and must not make the
// agent ask it without a pause. One under the id of the worker with a later start time did both.
func TestFalseAnnouncementLocksOutNoWorker(t *testing.T) {
	for name := range falseLives(vwworker.Life{}) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := vwworkertest.Make("w1")
				d := startDriver(t, w, 1, nil)
				defer func() {
					d.stop()
					w.Crash()
					time.Sleep(time.Minute)
				}()
				var calls atomic.Int64
				w.SetFaults(func(string) vwworkertest.Fault {
					calls.Add(1)
					return vwworkertest.Fault{Delay: time.Millisecond}
				})
				d.update(func(now time.Time) { d.tracker.Announce(now, Announcement{Life: falseLives(w.Life())[name]}) })
				time.Sleep(time.Second)
				require.Less(t, calls.Load(), int64(50))
				d.announce()
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, w.Life(), d.tracker.Life())
				require.True(t, d.ready())
				require.NoError(t, d.start("a", small))
				time.Sleep(200 * time.Millisecond)
				require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("a"))
			})
		})
	}
}

// A worker that restarts under the same id may be of a smaller kind, so nothing may start there before it has announced its
// capacity. The capacity of the previous incarnation was used.
func TestRestartedWorkerHasNoCapacityUntilAnnounced(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		require.NoError(t, d.start("a", small))
		time.Sleep(time.Second)
		w.Restart("w1")
		time.Sleep(time.Second)
		require.Equal(t, w.Life(), d.tracker.Life())
		require.Error(t, d.start("b", small))
		d.update(func(now time.Time) {
			d.tracker.Announce(now, Announcement{Life: w.Life(), Capacity: vwresource.Amount{CPU: small.CPU}})
		})
		require.NoError(t, d.start("b", small))
		require.Error(t, d.start("c", small))
	})
}

// A worker that rejects every report must be asked again with a growing pause. It was asked about a thousand times a second.
func TestRejectedReportsAreNotRepeatedWithoutPause(t *testing.T) {
	for name, reason := range map[string]vwworker.Reason{"unhealthy": vwworker.Unhealthy, "malformed": vwworker.Malformed, "late": vwworker.Late} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
				w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
				require.NoError(t, d.start("a", small))
				time.Sleep(100 * time.Millisecond)
				var holds atomic.Int64
				w.SetFaults(func(call string) vwworkertest.Fault {
					if call != "hold" {
						return vwworkertest.Fault{}
					}
					holds.Add(1)
					return vwworkertest.Fault{Delay: time.Millisecond, Reject: reason}
				})
				time.Sleep(2 * time.Second)
				require.Less(t, holds.Load(), int64(60))
				require.Equal(t, []Outcome{OutcomeLost}, d.outcomes("a"), "the lease was not extended")
				w.SetFaults(nil)
				time.Sleep(maxSyncInterval + 100*time.Millisecond)
				require.True(t, d.ready())
			})
		})
	}
}

// An agent that restarts must find the runs that its worker still has, stop them, and find a fencing token that the
// worker accepts although the agent's wall clock was set back.
func TestAgentRestarts(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.tracker.token = 5_000_000
		require.NoError(t, d.start("a", small))
		time.Sleep(100 * time.Millisecond)
		d.stop()
		next := startDriver(t, w, 1, nil)
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

// A run must be stopped at its deadline without a request from its entry.
func TestRunStopsAtDeadline(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.update(func(now time.Time) {
			require.NoError(t, d.tracker.Start(now, Spec{Task: vwworker.Task{Job: "a"}, Owner: "e", Deadline: now.Add(time.Second)}))
		})
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 1, w.Running())
		time.Sleep(200 * time.Millisecond)
		require.Zero(t, w.Running())
		require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("a"))
	})
}

// When an entry is gone, its runs and no others must be stopped.
func TestStopOwned(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.RunTime = func(vwworker.Task) time.Duration { return time.Hour }
		d.update(func(now time.Time) {
			for job, owner := range map[vwid.SubmissionID]vwid.Incarnation{"a": "e1", "b": "e1", "c": "e2"} {
				require.NoError(t, d.tracker.Start(now, Spec{Task: vwworker.Task{Job: job}, Owner: owner}))
			}
		})
		time.Sleep(100 * time.Millisecond)
		d.update(func(now time.Time) { d.tracker.StopOwnedBy(now, "e1", "gone") })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("a"))
		require.Equal(t, []Outcome{OutcomeStopped}, d.outcomes("b"))
		require.Empty(t, d.outcomes("c"))
		require.Len(t, d.tracker.OwnedBy("e2"), 1)
	})
}
