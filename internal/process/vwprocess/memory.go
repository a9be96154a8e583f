package vwprocess

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// memoryInterval is how often the memory is read. A reading takes some microseconds.
	memoryInterval = time.Second
	// nearLimit and farFromLimit are parts of the limit. A kill for its memory leaves no line in the log of the
	// process, so that one is written before; the next one only after the memory was far from the limit again.
	nearLimit    = 0.8
	farFromLimit = 0.7
	// runtimeShare is the part of the limit up to which the runtime lets the heap grow before it collects more often.
	// The rest is for the program's text and what the operating system counts for sockets.
	runtimeShare = 0.75
)

// LimitMemory makes the runtime collect garbage more often when the memory comes near its limit, where a process
// would be killed otherwise. Without a limit it does nothing.
func LimitMemory(limit vwunit.Bytes) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * runtimeShare))
	}
}

// WatchMemory logs when the process comes near its memory limit, until ctx ends. Without a limit it returns at once.
func WatchMemory(ctx context.Context, limit vwunit.Bytes, log *slog.Logger) {
	if limit <= 0 {
		return
	}
	watch := memoryWatch{limit: limit, read: readMemory, log: log}
	for vwgroup.Sleep(ctx, memoryInterval) == nil {
		watch.look()
	}
}

// memoryWatch compares the memory of the process with its limit.
type memoryWatch struct {
	limit vwunit.Bytes
	read  func() vwunit.Bytes
	log   *slog.Logger
	near  bool
}

func (w *memoryWatch) look() {
	held := w.read()
	share := float64(held) / float64(w.limit)
	switch {
	case !w.near && share >= nearLimit:
		w.near = true
		w.log.Warn("memory is near its limit", "held", held.String(), "limit", w.limit.String(), "goroutines", runtime.NumGoroutine())
	case w.near && share < farFromLimit:
		w.near = false
		w.log.Info("memory is far from its limit again", "held", held.String(), "limit", w.limit.String())
	}
}

// readMemory returns what the runtime holds of the operating system's memory.
func readMemory() vwunit.Bytes {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return vwunit.Bytes(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
