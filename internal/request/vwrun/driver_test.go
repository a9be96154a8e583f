package vwrun

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// capacity is the capacity of the worker under test, and small the size of most tasks.
var (
	capacity = vwresource.Amount{CPU: 32000}
	small    = vwresource.Amount{CPU: 3000}
)

// driver executes the orders of a tracker at a worker and collects the results, as an agent does.
type driver struct {
	t      testing.TB
	worker *vwworkertest.Worker
	group  *vwgroup.Group
	// onResult is called with each result; nil for none.
	onResult func(Result)
	// onAnnounce is called with each announcement of announce, and onOrders with the orders of each update; nil for none.
	onAnnounce func(Announcement)
	onOrders   func([]Order)

	mu      sync.Mutex
	tracker *Tracker
	results []Result
	// trace lists the orders, answers and results, to be written out when a history fails.
	trace []string
}

func (d *driver) tracef(format string, args ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%d ", time.Now().UnixMilli())+fmt.Sprintf(format, args...))
}

// describe formats an order for the trace.
func describe(order Order) string {
	switch {
	case order.Start != nil:
		return fmt.Sprintf("start %v #%d until %d token %d", order.Start.Run.Task, order.Start.Run.Number, order.Start.Until, order.Start.Token)
	case order.Stop != nil:
		return fmt.Sprintf("stop %v #%d token %d", order.Stop.Run.Task, order.Stop.Run.Number, order.Stop.Token)
	}
	return fmt.Sprintf("hold seen %d until %d token %d wait %v", order.Hold.Seen, order.Hold.Until, order.Hold.Token, order.Hold.Wait)
}

func startDriver(t testing.TB, worker *vwworkertest.Worker, token uint64, result func(Result)) *driver {
	settings, err := DefaultSettings().ForGrantedLease(worker.MaxLease)
	require.NoError(t, err)
	require.NoError(t, settings.Check())
	d := &driver{t: t, worker: worker, group: vwgroup.Make(context.Background()), onResult: result}
	d.tracker = Make(settings, token, slog.New(slog.DiscardHandler))
	d.group.Run(func(ctx context.Context) {
		for vwgroup.Sleep(ctx, 25*time.Millisecond) == nil {
			d.update(func(now time.Time) { d.tracker.Tick(now) })
		}
	})
	return d
}

// stop ends the driver as a crash of its agent would: answers in flight are lost.
func (d *driver) stop() {
	_ = d.group.Stop()
}

// update applies a change to the tracker, sends the orders that follow and collects the results.
func (d *driver) update(f func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(time.Now())
	orders := d.tracker.TakeOrders(time.Now())
	if d.onOrders != nil {
		d.onOrders(orders)
	}
	for _, order := range orders {
		d.tracef("order %s", describe(order))
		d.group.Run(func(ctx context.Context) { d.call(ctx, order) })
	}
	for _, result := range d.tracker.TakeResults() {
		d.results = append(d.results, result)
		d.tracef("result %v %v: %s", result.Spec.Task, result.Outcome, result.Reason)
		if d.onResult != nil {
			d.onResult(result)
		}
	}
}

func (d *driver) call(ctx context.Context, order Order) {
	limited, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	var answered func(now time.Time)
	switch {
	case order.Start != nil:
		answer, err := d.worker.Start(limited, *order.Start)
		answered = func(now time.Time) {
			d.tracef("answer to %s: %+v %v", describe(order), answer, err)
			d.tracker.StartAnswered(now, order, answer, err)
		}
	case order.Stop != nil:
		answer, err := d.worker.Stop(limited, *order.Stop)
		answered = func(now time.Time) {
			d.tracef("answer to %s: %+v %v", describe(order), answer, err)
			d.tracker.StopAnswered(now, order, answer, err)
		}
	default:
		report, err := d.worker.Hold(limited, *order.Hold)
		answered = func(now time.Time) {
			d.tracef("answer to %s: %+v %v", describe(order), report, err)
			d.tracker.HoldAnswered(now, order, report, err)
		}
	}
	if ctx.Err() == nil {
		d.update(answered)
	}
}

func (d *driver) announce() {
	d.update(func(now time.Time) {
		announcement := Announcement{Life: d.worker.Life(), Capacity: capacity}
		if d.onAnnounce != nil {
			d.onAnnounce(announcement)
		}
		d.tracker.Announce(now, announcement)
	})
}

// start starts a task and returns the error of Tracker.Start.
func (d *driver) start(job vwid.SubmissionID, needs vwresource.Amount) error {
	var err error
	d.update(func(now time.Time) {
		task := vwworker.Task{Job: job}
		d.worker.Needs(task, needs)
		err = d.tracker.Start(now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: needs})
	})
	return err
}

func (d *driver) stopTask(job vwid.SubmissionID) {
	d.update(func(now time.Time) { d.tracker.Stop(now, vwworker.Task{Job: job}, "test") })
}

// outcomes returns the outcomes of a job's results.
func (d *driver) outcomes(job vwid.SubmissionID) []Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	var outcomes []Outcome
	for _, result := range d.results {
		if result.Spec.Task.Job == job {
			outcomes = append(outcomes, result.Outcome)
		}
	}
	return outcomes
}

func (d *driver) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.IsReady()
}
