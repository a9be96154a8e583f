package vwagent

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// Guards against a log that one writer of invalid announcements fills: one line each rejectionLogInterval must say how many
// it stands for.
func TestRejectionsDoNotFloodLog(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	var rejections rejectionLog
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	for range 30 {
		rejections.record(logger, now, "i-1", trace.BadParameter("the address is not a host with a port"))
		now = now.Add(time.Second)
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "Skipped=0")
	require.Contains(t, lines[2], "Announcer=i-1")
	require.Contains(t, lines[2], "Skipped=9")
}

// Guards against rejected announcements that leave no trace: those that are invalid and those that the worker denies must be
// counted.
func TestRejectedAnnouncementsAreCounted(t *testing.T) {
	withRunner(t, func(t *testing.T, f *runnerFixture) {
		for range 3 {
			require.NoError(t, f.agent.AnnounceWorker(t.Context(), WorkerOffer{Life: vwworker.Life{ID: "other", Born: 1 << 50}, Service: "pedidos"}))
			time.Sleep(time.Second)
		}
		f.agent.RejectAnnouncement("i-1", trace.BadParameter("the address is not a host with a port"))
		synctest.Wait()
		require.Equal(t, uint64(3), f.agent.Counters().Denied.Load())
		require.Equal(t, uint64(1), f.agent.Counters().Invalid.Load())
		require.Equal(t, 3, f.agent.rejections.skipped)
	})
}
