package vwlog

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// entryLog and agentLog are of two processes; the agent's comes through a collector that adds a prefix.
const (
	entryLog = `{"time":"2026-12-04T10:00:00Z","level":"INFO","msg":"process started","process":"edge-1"}
{"time":"2026-12-04T10:00:05.1Z","level":"WARN","msg":"link to worker has ended","process":"edge-1","agent":"side-1","cause":"silent"}
{"time":"2026-12-04T10:00:05.2Z","level":"INFO","msg":"job has ended","process":"edge-1","job":"aa","outcome":"Completed"}
{"time":"2026-12-04T10:00:05.3Z","level":"INFO","msg":"job has ended","process":"edge-1","job":"bb","outcome":"GivenUp","unfinished":["2 at side-1 without a link, sent 1s ago"]}
not a line of the product
{"time":"broken"}
`
	agentLog = `12.3 side-1 {"time":"2026-12-04T10:00:04.5Z","level":"WARN","msg":"worker is gone","process":"side-1","worker":"w1"}
12.4 side-2 {"time":"2026-12-04T10:00:04.6Z","level":"WARN","msg":"worker is gone","process":"side-2","worker":"w2"}
`
)

func follow(t *testing.T, id string, margin time.Duration) (string, string, error) {
	t.Helper()
	folder := t.TempDir()
	var out, warnings bytes.Buffer
	f := &Follow{ID: id, Margin: margin, Out: &out, Warnings: &warnings}
	for name, text := range map[string]string{"edge.jsonl": entryLog, "sides.log": agentLog} {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		f.Paths = append(f.Paths, path)
	}
	err := f.Run()
	return out.String(), warnings.String(), err
}

// An engineer with an id must see the decision about the request and what the processes behind it noted, and not be
// led astray by other requests and by processes that had no part in it.
func TestFollowShowsWhatLedToAnAnswer(t *testing.T) {
	out, warnings, err := follow(t, "bb", DefaultMargin)
	require.NoError(t, err)
	require.Equal(t, `  10:00:04.500000 side-1: worker is gone worker=w1
  10:00:05.100000 edge-1: link to worker has ended agent=side-1 cause=silent
> 10:00:05.300000 edge-1: job has ended job=bb outcome=GivenUp unfinished=[2 at side-1 without a link, sent 1s ago]
`, out)
	require.Contains(t, warnings, "edge.jsonl: 1 lines could not be read")
}

// The margin must bound what is shown, or a long log buries the cause.
func TestFollowKeepsToTheMargin(t *testing.T) {
	out, _, err := follow(t, "bb", 0)
	require.NoError(t, err)
	require.Equal(t, 1, bytes.Count([]byte(out), []byte("\n")))
}

// An id that nobody logged must be told apart from a request without trouble.
func TestFollowTellsOfUnknownID(t *testing.T) {
	_, _, err := follow(t, "cc", DefaultMargin)
	require.True(t, IsNotLogged(err))
	require.ErrorContains(t, err, "none of 6 lines names cc")
}
