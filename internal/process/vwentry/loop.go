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
			e.drainMailbox()
		case <-ticker.C:
			e.tick()
		}
		e.dispatch()
		e.bestEffort.flush(time.Now())
	}
}

func (e *Entry) drainMailbox() {
	for range maxEventsPerIteration {
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
	e.bestEffort.tick(now)
	e.answerRemaining(now)
	e.forgetAnswers(now)
	e.recordLease(now)
	e.logSentOn(now)
	e.updateGauges(now)
}

// post queues an event for the loop and blocks while the mailbox is full. It returns false once the entry
// has stopped.
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

// runOnLoop runs f on the loop and returns its value. If ctx is done first, f may still run.
func runOnLoop[T any](ctx context.Context, e *Entry, f func() T) (T, error) {
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

type valueAndError[T any] struct {
	value T
	err   error
}

// runOnLoopWithError runs f on the loop and returns its value and error.
func runOnLoopWithError[T any](ctx context.Context, e *Entry, f func() (T, error)) (T, error) {
	result, err := runOnLoop(ctx, e, func() valueAndError[T] {
		value, err := f()
		return valueAndError[T]{value, err}
	})
	if err != nil {
		return result.value, err
	}
	return result.value, result.err
}

func runOnLoopForError(ctx context.Context, e *Entry, f func() error) error {
	_, err := runOnLoopWithError(ctx, e, func() (struct{}, error) { return struct{}{}, f() })
	return err
}
