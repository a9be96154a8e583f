package vwagent_test

import (
	"context"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// recordedStart is one start that reached the fake backend server.
type recordedStart struct {
	submission vwid.SubmissionID
	task       vwid.TaskID
	epoch      vwid.Epoch
	at         time.Time
}

// fakeBackend is a backend server that records each start, for the checks of the tests.
type fakeBackend struct {
	mu          sync.Mutex
	starts      []recordedStart
	active      int
	maxActive   int
	aborted     int
	runTime     time.Duration
	unreachable bool
	// answer replaces the usual result.
	answer []byte
}

// Run implements vwagent.Backend.
func (b *fakeBackend) Run(ctx context.Context, task vwbackend.Task) ([]byte, error) {
	run, err := b.recordStart(task)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		b.recordEnd(true)
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	case <-timer.C:
		b.recordEnd(false)
		if b.answer != nil {
			return b.answer, nil
		}
		return []byte("result of " + string(task.TaskID)), nil
	}
}

func (b *fakeBackend) recordStart(task vwbackend.Task) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreachable {
		return 0, vwverdict.Wrap(vwverdict.NotRun, &vwbackend.ErrUnreachable{Address: task.Address, Err: context.DeadlineExceeded})
	}
	b.starts = append(b.starts, recordedStart{task.SubmissionID, task.TaskID, task.Epoch, time.Now()})
	b.active++
	b.maxActive = max(b.maxActive, b.active)
	return b.runTime, nil
}

func (b *fakeBackend) recordEnd(aborted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
	if aborted {
		b.aborted++
	}
}

// set runs change under the lock of the backend server.
func (b *fakeBackend) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// started returns the starts so far.
func (b *fakeBackend) started() []recordedStart {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]recordedStart(nil), b.starts...)
}

// firstDuplicate returns a task that started more than once, and false if there is none.
func firstDuplicate(starts []recordedStart) (recordedStart, bool) {
	seen := map[recordedStart]bool{}
	for _, b := range starts {
		key := recordedStart{submission: b.submission, task: b.task}
		if seen[key] {
			return b, true
		}
		seen[key] = true
	}
	return recordedStart{}, false
}
