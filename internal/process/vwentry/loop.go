package vwentry

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func (e *Entry) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-e.mailbox:
			event()
			e.drain()
		case <-ticker.C:
			e.tick()
		}
		e.dispatch()
		e.effort.settle(time.Now())
	}
}

func (e *Entry) drain() {
	for range drainLimit {
		select {
		case event := <-e.mailbox:
			event()
		default:
			return
		}
	}
}

func (e *Entry) tick() {
	now := time.Now()
	for _, expired := range e.queue.TakeExpired(now) {
		if j := e.jobs[expired.SubmissionID]; j != nil {
			e.expireJob(j)
		}
	}
	e.effort.tick(now)
	e.forgetAnswers(now)
	e.recordLease(now)
	e.publish(now)
}

// post hands an event to the loop. It reports false after the entry stopped.
func (e *Entry) post(event func()) bool {
	if e.group.Context().Err() != nil {
		return false
	}
	select {
	case e.mailbox <- event:
		return true
	case <-e.group.Context().Done():
		return false
	}
}

// ask runs f on the loop and returns its value.
func ask[T any](ctx context.Context, e *Entry, f func() T) (T, error) {
	answer := make(chan T, 1)
	var none T
	if !e.post(func() { answer <- f() }) {
		return none, vwverdict.Errorf(vwverdict.NotRun, "the entry has stopped")
	}
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		return none, trace.Wrap(ctx.Err())
	case <-e.group.Context().Done():
		return none, vwverdict.Errorf(vwverdict.MayHaveRun, "the entry has stopped")
	}
}

type pairOf[T any] struct {
	value T
	err   error
}

// askError runs f on the loop and returns its value and error.
func askError[T any](ctx context.Context, e *Entry, f func() (T, error)) (T, error) {
	result, err := ask(ctx, e, func() pairOf[T] {
		value, err := f()
		return pairOf[T]{value, err}
	})
	if err != nil {
		return result.value, err
	}
	return result.value, result.err
}

func askOnly(ctx context.Context, e *Entry, f func() error) error {
	_, err := askError(ctx, e, func() (struct{}, error) { return struct{}{}, f() })
	return err
}
