package vwprocess

import (
	"bytes"
	"context"
	"log/slog"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Guards against an out-of-memory kill without a preceding warning in the log, and against a warning that is
// repeated while usage stays near the limit.
func TestMemoryNearItsLimitIsLogged(t *testing.T) {
	cases := map[string]struct {
		held  []vwunit.Bytes
		lines []string
	}{
		"far":  {held: []vwunit.Bytes{10, 79}},
		"near": {held: []vwunit.Bytes{10, 80, 90, 75, 85}, lines: []string{"memory is near its limit"}},
		"near two times": {held: []vwunit.Bytes{80, 69, 80}, lines: []string{
			"memory is near its limit", "memory is far from its limit again", "memory is near its limit",
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			held := vwunit.Bytes(0)
			monitor := memoryMonitor{limit: 100, read: func() vwunit.Bytes { return held }, log: slog.New(slog.NewTextHandler(&out, nil))}
			for _, held = range c.held {
				monitor.check()
			}
			require.Equal(t, len(c.lines), bytes.Count(out.Bytes(), []byte("\n")), out.String())
			for _, line := range c.lines {
				require.Contains(t, out.String(), line)
			}
		})
	}
}

// Guards against a monitor that does not read the memory of this process, or does not end with its context.
func TestWatchMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		group := vwgroup.Make(t.Context())
		group.Run(func(ctx context.Context) { WatchMemory(ctx, 1, slog.New(slog.NewTextHandler(&out, nil))) })
		time.Sleep(memoryInterval)
		synctest.Wait()
		require.NoError(t, group.Stop())
		require.Contains(t, out.String(), "memory is near its limit")
	})
}

// Guards against a process that is killed at its memory limit because the runtime did not collect garbage in time.
func TestLimitMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	LimitMemory(0)
	require.Equal(t, before, debug.SetMemoryLimit(-1))
	LimitMemory(152 * vwunit.MiB)
	require.Equal(t, int64(114*vwunit.MiB), debug.SetMemoryLimit(-1))
}
