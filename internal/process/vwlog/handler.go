package vwlog

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// requestLinesPerSecond and otherLinesPerSecond bound the lines below a warning, so that a process under load spends little
// of its time on its log. Warnings are bounded by the events that cause them. The lines about requests have a bound of
// their own, because they would otherwise displace those about the process, such as its stop.
const (
	requestLinesPerSecond = 500
	otherLinesPerSecond   = 200
)

// MakeLogger returns a logger of JSON lines.
func MakeLogger(out io.Writer, level slog.Level) *slog.Logger {
	lines := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: shortenError})
	return slog.New(&bounded{Handler: lines, requests: &budget{limit: requestLinesPerSecond}, others: &budget{limit: otherLinesPerSecond}})
}

// shortenError writes errors as their message. A traced error would become an object with its stack.
func shortenError(_ []string, attribute slog.Attr) slog.Attr {
	if err, ok := attribute.Value.Any().(error); ok {
		attribute.Value = slog.StringValue(trace.UserMessage(err))
	}
	return attribute
}

// bounded drops lines below a warning beyond the budget of each second, and tells how many.
type bounded struct {
	slog.Handler
	requests *budget
	others   *budget
}

// budget counts the lines of the current second.
type budget struct {
	limit   int
	mu      sync.Mutex
	second  int64
	lines   int
	dropped int
}

// take reports whether a line may be written, and how many were dropped in the seconds before.
func (b *budget) take(now time.Time) (allowed bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second, b.lines, dropped, b.dropped = second, 0, b.dropped, 0
	}
	if b.lines >= b.limit {
		b.dropped++
		return false, dropped
	}
	b.lines++
	return true, dropped
}

// Handle implements slog.Handler.
func (h *bounded) Handle(ctx context.Context, record slog.Record) error {
	if record.Level >= slog.LevelWarn {
		return h.Handler.Handle(ctx, record)
	}
	budget := h.others
	if isAboutRequest(&record) {
		budget = h.requests
	}
	allowed, dropped := budget.take(record.Time)
	if dropped > 0 {
		note := slog.NewRecord(record.Time, slog.LevelWarn, "log lines were left out", 0)
		note.AddAttrs(slog.Int("lines", dropped), slog.Int("bound", budget.limit))
		_ = h.Handler.Handle(ctx, note)
	}
	if !allowed {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// isAboutRequest reports whether a line tells of one request.
func isAboutRequest(record *slog.Record) bool {
	found := false
	record.Attrs(func(attribute slog.Attr) bool {
		found = slices.Contains(requestKeys, attribute.Key)
		return !found
	})
	return found
}

// WithAttrs implements slog.Handler.
func (h *bounded) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &bounded{Handler: h.Handler.WithAttrs(attributes), requests: h.requests, others: h.others}
}

// WithGroup implements slog.Handler.
func (h *bounded) WithGroup(name string) slog.Handler {
	return &bounded{Handler: h.Handler.WithGroup(name), requests: h.requests, others: h.others}
}
