// Package vwlog makes the logs of processes: lines of JSON that are written without ever holding up the work
// that they tell of.
package vwlog

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// maxPending bounds the bytes that wait to be written. Further lines are dropped and counted.
	maxPending = 1 << 20
	// gatherTime is how long lines are gathered, since each write costs a system call.
	gatherTime = 20 * time.Millisecond
	// closeTimeout bounds the wait of Close for an output that takes nothing.
	closeTimeout = 500 * time.Millisecond
)

// OutliveReader makes a write to standard output or standard error fail once nobody reads it any more. Without it the
// runtime ends the process, which has work to do for others than the reader of its log.
func OutliveReader() {
	signal.Ignore(syscall.SIGPIPE)
}

// Writer writes lines to an output in the background. Write never waits.
type Writer struct {
	out   io.Writer
	group *vwgroup.Group
	// wake tells the goroutine that something is pending.
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
}

// MakeWriter returns a Writer that the caller closes.
func MakeWriter(out io.Writer) *Writer {
	w := &Writer{out: out, group: vwgroup.Make(context.Background()), wake: make(chan struct{}, 1), done: make(chan struct{})}
	w.group.Run(w.run)
	return w
}

// Write implements io.Writer. It takes one line and always succeeds; a line that finds no room is counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	switch {
	case w.closed || len(w.pending)+len(line) > maxPending:
		w.dropped++
	default:
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is pending, if the output takes it in time.
func (w *Writer) Close() error {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if closed {
		return nil
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.group.Stop()
	case <-timer.C:
		return fmt.Errorf("the log output has taken nothing for %v", closeTimeout)
	}
}

func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	for {
		<-w.wake
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			_ = vwgroup.Sleep(ctx, gatherTime)
		}
		w.flush()
		if closed {
			return
		}
	}
}

// flush writes what is pending. A failed write of the log cannot be told anywhere but in the next line.
func (w *Writer) flush() {
	w.mu.Lock()
	pending, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		pending = fmt.Appendf(pending, `{"time":%q,"level":"WARN","msg":"log lines were dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	if len(pending) == 0 {
		return
	}
	if _, err := w.out.Write(pending); err != nil {
		w.mu.Lock()
		w.dropped++
		w.mu.Unlock()
	}
}
