package vwcontrol

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// roomRetryInterval is how often a write that found the disk full is tried again. A try costs at most the bytes of one
// Ready.
const roomRetryInterval = 100 * time.Millisecond

// writer writes the entries and snapshots of one Ready at a time to the store and syncs it. It owns the store from begin
// until the result is received from results; at all other times the member's goroutine owns it.
type writer struct {
	store *vwstore.Store
	// stuckAfter is how long a sync may take before the member stops processing events.
	stuckAfter time.Duration
	queue      chan vwraft.Ready
	results    chan error
	// full receives the error of the first write of a Ready that finds the disk full. The result follows once a later
	// one has found room.
	full chan error
	// inFlight and startedAt are accessed only by the member's goroutine.
	inFlight  *vwraft.Ready
	startedAt time.Time
	stopped   chan struct{}
}

func makeWriter(store *vwstore.Store, stuckAfter time.Duration) *writer {
	return &writer{store: store, stuckAfter: stuckAfter, queue: make(chan vwraft.Ready, 1), results: make(chan error, 1), full: make(chan error, 1), stopped: make(chan struct{})}
}

// run writes what begin queues until ctx ends.
func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case ready := <-w.queue:
			w.results <- w.writeOnceRoom(ctx, &ready)
		}
	}
}

// writeOnceRoom writes a Ready, and tries again as long as the disk is full and ctx has not ended.
func (w *writer) writeOnceRoom(ctx context.Context, ready *vwraft.Ready) error {
	err := w.write(ready)
	if vwstore.IsFull(err) {
		w.full <- err
	}
	for vwstore.IsFull(err) && vwgroup.Sleep(ctx, roomRetryInterval) == nil {
		err = w.write(ready)
	}
	return err
}

func (w *writer) write(ready *vwraft.Ready) error {
	if ready.Snapshot != nil {
		if err := w.store.Install(*ready.Snapshot); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := w.store.Append(ready.HardState, ready.Entries); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.store.Sync())
}

// begin passes the store and a Ready to the writer.
func (w *writer) begin(ready vwraft.Ready, now time.Time) {
	w.inFlight, w.startedAt = &ready, now
	w.queue <- ready
}

// end takes the store back after a result was received from results, and returns the Ready that was written.
func (w *writer) end() vwraft.Ready {
	select {
	case <-w.full:
		// The disk had room again before the member's goroutine noticed.
	default:
	}
	ready := *w.inFlight
	w.inFlight = nil
	return ready
}

func (w *writer) busy() bool {
	return w.inFlight != nil
}

func (w *writer) stuck(now time.Time) bool {
	return w.inFlight != nil && now.Sub(w.startedAt) > w.stuckAfter
}

// wait blocks until the writer has finished or stopped, takes the store back and ignores the result.
func (w *writer) wait() {
	if w.inFlight == nil {
		return
	}
	select {
	case <-w.results:
	case <-w.stopped:
	}
	w.inFlight = nil
}
