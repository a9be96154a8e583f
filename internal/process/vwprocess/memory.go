package vwprocess

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// memoryInterval is the period of memory readings. A reading takes some microseconds.
	memoryInterval = time.Second
	// warningShare and warningClearShare are fractions of the limit. An out-of-memory kill leaves no line in the log of
	// the process, so a warning is logged at warningShare, and again only after usage fell below warningClearShare.
	warningShare      = 0.8
	warningClearShare = 0.7
	// gcLimitShare is the fraction of the limit that is set as the runtime's soft memory limit. The rest is for the
	// program's text and the socket memory that the operating system counts.
	gcLimitShare = 0.75
	// programBytes is left free below the limit as well, for the program's text does not shrink with the limit.
	programBytes = 32 * vwunit.MiB
)

// orDefault returns the budget, or that of a process without a known memory limit.
func orDefault(intake *vwintake.Budget) *vwintake.Budget {
	if intake == nil {
		return vwintake.Make(vwintake.SettingsFor(0))
	}
	return intake
}

// LimitMemory makes the runtime collect garbage more often when memory usage nears limit, above which the process is
// killed. A limit of zero does nothing.
func LimitMemory(limit vwunit.Bytes) {
	if limit > 0 {
		share := vwunit.Bytes(float64(limit) * gcLimitShare)
		debug.SetMemoryLimit(int64(min(share, max(limit-programBytes, limit/2))))
	}
}

// WatchMemory logs when memory usage nears limit, until ctx ends. With a limit of zero it returns at once.
func WatchMemory(ctx context.Context, limit vwunit.Bytes, log *slog.Logger) {
	if limit <= 0 {
		return
	}
	monitor := memoryMonitor{limit: limit, read: readMemory, log: log}
	for vwgroup.Sleep(ctx, memoryInterval) == nil {
		monitor.check()
	}
}

// memoryMonitor logs when the memory usage of the process nears its limit and when it has dropped again.
type memoryMonitor struct {
	limit        vwunit.Bytes
	read         func() vwunit.Bytes
	log          *slog.Logger
	aboveWarning bool
}

func (m *memoryMonitor) check() {
	used := m.read()
	share := float64(used) / float64(m.limit)
	switch {
	case !m.aboveWarning && share >= warningShare:
		m.aboveWarning = true
		m.log.Warn("memory is near its limit", "held", used.String(), "limit", m.limit.String(), "goroutines", runtime.NumGoroutine())
	case m.aboveWarning && share < warningClearShare:
		m.aboveWarning = false
		m.log.Info("memory is far from its limit again", "held", used.String(), "limit", m.limit.String())
	}
}

// readMemory returns the memory that the runtime has obtained from the operating system and not released.
func readMemory() vwunit.Bytes {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return vwunit.Bytes(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
