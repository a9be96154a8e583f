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

// room is the capacity of the worker under test, and small the size of most tasks.
var (
	room  = vwresource.Amount{CPU: 32000}
	small = vwresource.Amount{CPU: 3000}
)

// driver makes the calls of a book at a worker and collects its results, as an agent does.
type driver struct {
	t      testing.TB
	worker *vwworkertest.Worker
	group  *vwgroup.Group
	// result hears of each result.
	result func(Result)

	mu      sync.Mutex
	book    *Book
	results []Result
	// trace lists orders, answers and results, for a history that fails.
	trace []string
}

func (d *driver) note(format string, args ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%d ", time.Now().UnixMilli())+fmt.Sprintf(format, args...))
}

// describe returns an order for the trace.
func describe(order Order) string {
	switch {
	case order.Start != nil:
		return fmt.Sprintf("start %v #%d until %d token %d", order.Start.Run.Task, order.Start.Run.Number, order.Start.Until, order.Start.Token)
	case order.Stop != nil:
		return fmt.Sprintf("stop %v #%d token %d", order.Stop.Run.Task, order.Stop.Run.Number, order.Stop.Token)
	}
	return fmt.Sprintf("hold seen %d until %d token %d wait %v", order.Hold.Seen, order.Hold.Until, order.Hold.Token, order.Hold.Wait)
}

func drive(t testing.TB, worker *vwworkertest.Worker, token uint64, result func(Result)) *driver {
	settings, err := DefaultSettings().Within(worker.MaxLease)
	require.NoError(t, err)
	require.NoError(t, settings.Check())
	d := &driver{t: t, worker: worker, group: vwgroup.Make(context.Background()), result: result}
	d.book = Make(settings, token, slog.New(slog.DiscardHandler))
	d.group.Run(func(ctx context.Context) {
		for vwgroup.Sleep(ctx, 25*time.Millisecond) == nil {
			d.do(func(now time.Time) { d.book.Tick(now) })
		}
	})
	return d
}

// stop ends the driver as a crash of its agent would: answers that are under way are lost.
func (d *driver) stop() {
	_ = d.group.Stop()
}

// do changes the book and makes the calls that follow.
func (d *driver) do(f func(now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(time.Now())
	for _, order := range d.book.TakeOrders(time.Now()) {
		d.note("order %s", describe(order))
		d.group.Run(func(ctx context.Context) { d.call(ctx, order) })
	}
	for _, result := range d.book.TakeResults() {
		d.results = append(d.results, result)
		d.note("result %v %v: %s", result.Spec.Task, result.Outcome, result.Reason)
		if d.result != nil {
			d.result(result)
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
			d.note("answer to %s: %+v %v", describe(order), answer, err)
			d.book.StartAnswered(now, order, answer, err)
		}
	case order.Stop != nil:
		answer, err := d.worker.Stop(limited, *order.Stop)
		answered = func(now time.Time) {
			d.note("answer to %s: %+v %v", describe(order), answer, err)
			d.book.StopAnswered(now, order, answer, err)
		}
	default:
		report, err := d.worker.Hold(limited, *order.Hold)
		answered = func(now time.Time) {
			d.note("answer to %s: %+v %v", describe(order), report, err)
			d.book.HoldAnswered(now, order, report, err)
		}
	}
	if ctx.Err() == nil {
		d.do(answered)
	}
}

func (d *driver) announce() {
	d.do(func(now time.Time) {
		d.book.Announce(now, Offer{Life: d.worker.Life(), Capacity: room, Now: d.worker.Now()})
	})
}

// start starts a task at once and returns why it was refused.
func (d *driver) start(job vwid.SubmissionID, needs vwresource.Amount) error {
	var err error
	d.do(func(now time.Time) {
		task := vwworker.Task{Job: job}
		d.worker.Needs(task, needs)
		err = d.book.Start(now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: needs})
	})
	return err
}

func (d *driver) stopTask(job vwid.SubmissionID) {
	d.do(func(now time.Time) { d.book.Stop(now, vwworker.Task{Job: job}, "test") })
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
	return d.book.IsReady()
}
