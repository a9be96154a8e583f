package vwevent

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// DefaultCapacity holds about 80 ms of events at 20,000 tasks per second with five events each,
	// in about 2.5 MB.
	DefaultCapacity = 8192
	bufferSize      = 64 << 10
)

// Log writes the events of one process. Record never waits: what does not fit into the buffer is
// dropped and counted. A nil Log is off.
type Log struct {
	source  Source
	buffer  chan Event
	dropped atomic.Int64
	// started is the origin of all times. Times advance with the monotonic clock, so that a step of
	// the wall clock neither reorders the events nor changes the offset to other processes.
	started time.Time

	out     *bufio.Writer
	handler slog.Handler

	mu  sync.Mutex
	err error
}

// MakeLog returns a log that writes to out while Run runs.
func MakeLog(source Source, out io.Writer, capacity int) *Log {
	buffered := bufio.NewWriterSize(out, bufferSize)
	return &Log{
		source:  source,
		buffer:  make(chan Event, capacity),
		started: time.Now(),
		out:     buffered,
		handler: slog.NewJSONHandler(buffered, &slog.HandlerOptions{ReplaceAttr: rename}),
	}
}

// Enabled reports whether the log is on, for callers that would compute a field only for it.
func (l *Log) Enabled() bool {
	return l != nil
}

// Record takes an event. It sets the time unless event has one.
func (l *Log) Record(event Event) {
	if l == nil {
		return
	}
	if event.Time.IsZero() {
		event.Time = l.now()
	}
	select {
	case l.buffer <- event:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of dropped events that no EventsDropped line has reported yet.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	return l.dropped.Load()
}

// Run writes events until ctx ends and then those that are left. A failing writer does not end it,
// because the process must not depend on its event log; Err tells the first failure.
func (l *Log) Run(ctx context.Context) {
	sequence := uint64(0)
	for {
		select {
		case event := <-l.buffer:
			sequence = l.write(event, sequence)
		case <-ctx.Done():
			l.drain(sequence)
			return
		}
	}
}

// Err returns the first failure to write.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *Log) drain(sequence uint64) {
	for {
		select {
		case event := <-l.buffer:
			sequence = l.write(event, sequence)
		default:
			l.reportDropped(sequence)
			l.note(l.out.Flush())
			return
		}
	}
}

// write writes one event and flushes when no other one waits.
func (l *Log) write(event Event, sequence uint64) uint64 {
	sequence = l.reportDropped(sequence)
	l.note(l.handle(event, sequence+1))
	if len(l.buffer) == 0 {
		l.note(l.out.Flush())
	}
	return sequence + 1
}

func (l *Log) reportDropped(sequence uint64) uint64 {
	dropped := l.dropped.Swap(0)
	if dropped == 0 {
		return sequence
	}
	l.note(l.handle(Event{Time: l.now(), Kind: EventsDropped, Count: dropped}, sequence+1))
	return sequence + 1
}

func (l *Log) handle(event Event, sequence uint64) error {
	event.Source, event.Sequence = l.source, sequence
	record := slog.NewRecord(event.Time, slog.LevelInfo, string(event.Kind), 0)
	record.AddAttrs(event.attributes()...)
	return trace.Wrap(l.handler.Handle(context.Background(), record))
}

func (l *Log) note(err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = trace.Wrap(err, "writing the event log")
	}
}

func (l *Log) now() time.Time {
	return l.started.Add(time.Since(l.started)).UTC().Round(0)
}

// rename gives slog's own fields the names of Event's.
func rename(groups []string, attribute slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attribute
	}
	switch attribute.Key {
	case slog.TimeKey:
		attribute.Key = "Time"
	case slog.MessageKey:
		attribute.Key = "Kind"
	case slog.LevelKey:
		return slog.Attr{}
	}
	return attribute
}
