package vwlog

import (
	"bytes"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log in which a burst of requests hides that the process has stopped, and one that grows without bound.
func TestLinesOfRequestsDisplaceNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := MakeLogger(&out, slog.LevelInfo).With("role", "Entry")
		for range 10 * requestLinesPerSecond {
			log.Info("job has ended", "job", "5c0e7a21d94b36f8")
		}
		log.Info("process stopped")
		log.Warn("request rejected", "job", "5c0e7a21d94b36f8")
		require.Equal(t, requestLinesPerSecond, bytes.Count(out.Bytes(), []byte("job has ended")))
		require.Contains(t, out.String(), "process stopped")
		require.Contains(t, out.String(), "request rejected")

		time.Sleep(time.Second)
		out.Reset()
		log.Info("job has ended", "job", "5c0e7a21d94b36f8")
		require.Contains(t, out.String(), `"msg":"log lines were left out","role":"Entry","lines":4500,"bound":500`)
		for range 10 * otherLinesPerSecond {
			log.Info("worker is linked")
		}
		require.Equal(t, otherLinesPerSecond, bytes.Count(out.Bytes(), []byte("worker is linked")))
	})
}
