package vwagent_test

import (
	"context"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// begin is one start as the fake backend server saw it.
type begin struct {
	submission vwid.SubmissionID
	task       vwid.TaskID
	epoch      vwid.Epoch
	at         time.Time
}

// fakeBackend is a backend server that records each start. The tests check from this record.
type fakeBackend struct {
	mu     sync.Mutex
	begins []begin
	active int
	most   int
	cut    int
	run    time.Duration
	dead   bool
	// answer replaces the usual result.
	answer []byte
}

// Run implements vwagent.Backend.
func (b *fakeBackend) Run(ctx context.Context, task vwbackend.Task) ([]byte, error) {
	run, err := b.begin(task)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		b.end(true)
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	case <-timer.C:
		b.end(false)
		if b.answer != nil {
			return b.answer, nil
		}
		return []byte("result of " + string(task.TaskID)), nil
	}
}

func (b *fakeBackend) begin(task vwbackend.Task) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dead {
		return 0, vwverdict.Wrap(vwverdict.NotRun, &vwbackend.ErrUnreachable{Address: task.Address, Err: context.DeadlineExceeded})
	}
	b.begins = append(b.begins, begin{task.SubmissionID, task.TaskID, task.Epoch, time.Now()})
	b.active++
	b.most = max(b.most, b.active)
	return b.run, nil
}

func (b *fakeBackend) end(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
	if cut {
		b.cut++
	}
}

// set changes what the backend server does.
func (b *fakeBackend) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// started returns the starts so far.
func (b *fakeBackend) started() []begin {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]begin(nil), b.begins...)
}

// twice returns a task that started more than once, and false when there is none.
func twice(begins []begin) (begin, bool) {
	seen := map[begin]bool{}
	for _, b := range begins {
		key := begin{submission: b.submission, task: b.task}
		if seen[key] {
			return b, true
		}
		seen[key] = true
	}
	return begin{}, false
}
