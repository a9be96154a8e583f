package vwlog

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// lossLog has one job of each kind of end, in two spans of time.
const lossLog = `{"time":"2026-12-05T10:00:00Z","msg":"job has ended","process":"edge-1","team":"a","outcome":"Completed","took":"80ms","objective":"100ms"}
1.2 edge-1 {"time":"2026-12-05T10:00:00.5Z","msg":"job has ended","process":"edge-1","team":"a","outcome":"Completed","took":"120ms","objective":"100ms"}
{"time":"2026-12-05T10:00:01Z","msg":"job has ended","process":"edge-2","team":"a","outcome":"Completed","took":"301ms","objective":"100ms"}
{"time":"2026-12-05T10:00:03Z","msg":"job has ended","process":"edge-2","team":"b","outcome":"Refused","reason":"more waits","took":"1ms","objective":"100ms"}
{"time":"2026-12-05T10:00:03Z","msg":"job has ended","process":"edge-2","team":"b","outcome":"Refused","reason":"no room","took":"30ms","objective":"100ms"}
{"time":"2026-12-05T10:00:03Z","msg":"job has ended","process":"edge-2","team":"b","outcome":"GivenUp","reason":"no room","took":"30ms","objective":"100ms"}
{"time":"2026-12-05T10:00:03Z","msg":"job has ended","process":"edge-2","team":"b","outcome":"Odd","took":"30ms"}
{"time":"2026-12-05T10:00:03Z","msg":"process stops","process":"edge-2"}
{"time": job has ended
`

func losses(t *testing.T, text string) (string, string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge.jsonl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var out, warnings bytes.Buffer
	l := &Losses{Paths: []string{path}, Out: &out, Warnings: &warnings}
	err := l.Run()
	return out.String(), warnings.String(), err
}

// Which jobs were lost, and by which decision, must be readable without a script: a total hides a kind, a second or an entry
// that gets nothing.
func TestLosses(t *testing.T) {
	out, warnings, err := losses(t, lossLog)
	require.NoError(t, err)
	rows := map[string][]string{}
	for line := range strings.Lines(out) {
		if fields := strings.Fields(line); len(fields) > 1 {
			rows[fields[0]] = fields[1:]
		}
	}
	require.Equal(t, []string{"1", "1", "1", "0", "0", "0", "0", "0"}, rows["a"])
	require.Equal(t, []string{"0", "0", "0", "1", "1", "1", "0", "0"}, rows["b"])
	require.Equal(t, []string{"1", "1", "0", "0", "0", "0", "0", "0"}, rows["edge-1"])
	require.Equal(t, []string{"s", "0", "0", "0", "1", "1", "1", "0", "0"}, rows["2"])
	require.Equal(t, []string{"room", "0", "0", "0", "0", "1", "1", "0", "0"}, rows["no"])
	require.Contains(t, warnings, "1 jobs have an outcome or a time that cannot be read")
	require.Contains(t, warnings, "1 lines could not be read")
}

// Logs of the wrong processes must not look like a time without losses.
func TestLossesWithoutJobs(t *testing.T) {
	_, _, err := losses(t, `{"time":"2026-12-05T10:00:03Z","msg":"process stops","process":"side-2"}`)
	require.ErrorContains(t, err, "no line tells the end of a job")
}
