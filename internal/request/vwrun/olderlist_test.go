package vwrun

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
)

// maxListAge is by how much the lists of a worker are older than its clock at most.
const maxListAge = 30 * time.Millisecond

// A worker may make the lists of a report before it starts a run, and read its clock after that. A tracker that takes the run as
// ended then lets its task start elsewhere while it runs.
func TestRunMissingFromAnOlderListGoesOn(t *testing.T) {
	runScenario(t, func(t *testing.T, w *vwworkertest.Worker, d *driver) {
		w.ListAge = func() time.Duration { return 10 * time.Millisecond }
		w.RunTime = func(task vwworker.Task) time.Duration {
			if task.Job == "first" {
				return 50 * time.Millisecond
			}
			return time.Second
		}
		require.NoError(t, d.start("first", small))
		// The end of the first run lets the worker answer the hold.
		time.Sleep(53 * time.Millisecond)
		require.NoError(t, d.start("second", small))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("first"))
		require.Empty(t, d.outcomes("second"))
		time.Sleep(600 * time.Millisecond)
		require.Equal(t, []Outcome{OutcomeDone}, d.outcomes("second"))
	})
}

// listFixture is a tracker that is ready, with a hold in flight. The clock of its worker advances with each answer.
type listFixture struct {
	*Tracker
	*testing.T
	now   time.Time
	clock vwworker.Clock
}

func makeListFixture(t *testing.T) (f *listFixture, older Order) {
	t.Helper()
	f = &listFixture{Tracker: Make(DefaultSettings(), 1, slog.New(slog.DiscardHandler)), T: t, now: time.Date(2026, 12, 6, 18, 0, 0, 0, time.UTC), clock: 100}
	f.Announce(f.now, Announcement{Life: vwworker.Life{ID: "w1", Born: 1}, Capacity: capacity})
	f.report(f.takeHold())
	require.True(t, f.IsReady())
	return f, f.takeHold()
}

// takeHold returns the last hold among the orders to send now.
func (f *listFixture) takeHold() Order {
	f.Helper()
	orders := f.TakeOrders(f.now)
	require.NotEmpty(f, orders)
	last := orders[len(orders)-1]
	require.NotNil(f, last.Hold)
	return last
}

// report answers a hold with a list of runs and a clock that is later than all before.
func (f *listFixture) report(hold Order, running ...vwworker.Run) {
	f.clock++
	f.HoldAnswered(f.now, hold, vwworker.Report{Answer: vwworker.Answer{Now: f.clock}, Born: 1, Running: running}, nil)
}

// The absence of a run shows its end only in a report whose hold was sent after the answer that showed the run, or its stop.
func TestOnlyAListThatIsAskedForAfterwardsShowsAnEnd(t *testing.T) {
	task := vwworker.Task{Job: "a"}
	start := func(f *listFixture) (orders []Order) {
		require.NoError(f, f.Start(f.now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: small}))
		return f.TakeOrders(f.now)
	}
	answerStart := func(f *listFixture, orders []Order) {
		f.clock++
		f.StartAnswered(f.now, orders[0], vwworker.Answer{Now: f.clock}, nil)
	}
	cases := map[string]struct {
		// show lets the worker show the run, or its stop. It returns the hold that was sent before that beside the one of the fixture.
		show func(f *listFixture) Order
		// want is the outcome once the absence shows the end; zero if there is no result.
		want Outcome
	}{
		"confirmed run": {func(f *listFixture) Order {
			orders := start(f)
			answerStart(f, orders)
			return orders[1]
		}, OutcomeLost},
		"run stopped before it was confirmed": {func(f *listFixture) Order {
			orders := start(f)
			f.Stop(f.now, task, "test")
			stop := f.TakeOrders(f.now)[0]
			f.clock++
			f.StopAnswered(f.now, stop, vwworker.Answer{Now: f.clock}, nil)
			return orders[1]
		}, OutcomeRefused},
		"run that is not tracked": {func(f *listFixture) Order {
			f.MarkLeaving(f.now)
			orders := f.TakeOrders(f.now)
			f.MarkLeaving(f.now)
			f.report(orders[0], vwworker.Run{Task: task, Number: 7})
			require.False(f, f.IsReady())
			return orders[0]
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, older := makeListFixture(t)
			second := c.show(f)
			f.report(older)
			if c.want != 0 {
				f.report(second)
			}
			require.Empty(t, f.TakeResults())
			require.Equal(t, 1, f.Len(), "an older list must not end the run")
			f.report(f.takeHold())
			require.Zero(t, f.Len())
			results := f.TakeResults()
			if c.want == 0 {
				require.Empty(t, results)
				return
			}
			require.Len(t, results, 1)
			require.Equal(t, c.want, results[0].Outcome)
		})
	}
}

// As TestHistories, with a worker whose lists are older than its clock.
func TestHistoriesWithOlderLists(t *testing.T) {
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			h := makeHistory(t, seed, time.Second)
			ages := &lockedRandom{random: rand.New(rand.NewPCG(seed, 4))}
			h.worker.ListAge = func() time.Duration {
				if ages.IntN(3) > 0 {
					return 0
				}
				return time.Duration(ages.IntN(int(maxListAge)))
			}
			require.Empty(t, h.run(h.step), "seed %d", seed)
		})
	}
}
