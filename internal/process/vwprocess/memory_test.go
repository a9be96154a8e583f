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

// A process that is killed for its memory must have said that it came near the limit, once for each approach.
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
			watch := memoryWatch{limit: 100, read: func() vwunit.Bytes { return held }, log: slog.New(slog.NewTextHandler(&out, nil))}
			for _, held = range c.held {
				watch.look()
			}
			require.Equal(t, len(c.lines), bytes.Count(out.Bytes(), []byte("\n")), out.String())
			for _, line := range c.lines {
				require.Contains(t, out.String(), line)
			}
		})
	}
}

// The watch must read the memory of this process, and end with its context.
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

// A process must collect its garbage before it reaches the memory beyond which it is killed.
func TestLimitMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	LimitMemory(0)
	require.Equal(t, before, debug.SetMemoryLimit(-1))
	LimitMemory(152 * vwunit.MiB)
	require.Equal(t, int64(114*vwunit.MiB), debug.SetMemoryLimit(-1))
}
