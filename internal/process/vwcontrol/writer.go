package vwcontrol

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// writer stores and syncs what the log hands out, one Ready at a time. It has the store from begin
// until the result is taken from done; at all other times the member's goroutine has it.
type writer struct {
	store *vwstore.Store
	// limit is how long a sync may take before the member stops to take part.
	limit time.Duration
	jobs  chan vwraft.Ready
	done  chan error
	// current and since belong to the member's goroutine.
	current *vwraft.Ready
	since   time.Time
	stopped chan struct{}
}

func makeWriter(store *vwstore.Store, limit time.Duration) *writer {
	return &writer{store: store, limit: limit, jobs: make(chan vwraft.Ready, 1), done: make(chan error, 1), stopped: make(chan struct{})}
}

// run is the writer's goroutine.
func (w *writer) run(ctx context.Context) {
	defer close(w.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case ready := <-w.jobs:
			w.done <- w.write(&ready)
		}
	}
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

// begin lends the store to the writer.
func (w *writer) begin(ready vwraft.Ready, now time.Time) {
	w.current, w.since = &ready, now
	w.jobs <- ready
}

// end takes the store back, after a result was received from done.
func (w *writer) end() vwraft.Ready {
	ready := *w.current
	w.current = nil
	return ready
}

func (w *writer) busy() bool {
	return w.current != nil
}

func (w *writer) stuck(now time.Time) bool {
	return w.current != nil && now.Sub(w.since) > w.limit
}

// wait takes the store back from a sync whose result does not matter any more.
func (w *writer) wait() {
	if w.current == nil {
		return
	}
	select {
	case <-w.done:
	case <-w.stopped:
	}
	w.current = nil
}
