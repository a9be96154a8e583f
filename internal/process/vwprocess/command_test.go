package vwprocess_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

// writeSettings copies a file of examples/settings, with the replacements applied, to a new folder, issues keys
// there, and returns the path of the copy.
func writeSettings(t *testing.T, name string, replace ...string) string {
	folder := t.TempDir()
	text, err := os.ReadFile("../../../examples/settings/" + name + ".toml")
	require.NoError(t, err)
	path := filepath.Join(folder, name+".toml")
	require.NoError(t, os.WriteFile(path, []byte(strings.NewReplacer(replace...).Replace(string(text))), 0o600))
	command := vwkeys.Command{Folder: vwkeys.Folder(filepath.Join(folder, "keys")), Out: new(bytes.Buffer)}
	require.NoError(t, command.MakeAuthority("example"))
	require.NoError(t, command.Issue("entry-1", "agent-1", "control-1"))
	return path
}

// Guards against invalid settings that are refused only after addresses were bound, or without naming the key or
// value at fault.
func TestSettingsAreRefused(t *testing.T) {
	cases := map[string]struct {
		role    vwstate.Role
		path    string
		refused bool
		want    string
	}{
		"other role":      {vwstate.RoleAgent, writeSettings(t, "entry"), true, "Role"},
		"unknown key":     {vwstate.RoleEntry, writeSettings(t, "entry", "Rack =", "Rak ="), true, "Rak"},
		"unsupported":     {vwstate.RoleAgent, writeSettings(t, "agent", `Lease = "2s"`, `Lease = "1s"`), true, "Timeouts.Lease"},
		"no file of keys": {vwstate.RoleAgent, writeSettings(t, "agent", "keys/agent-1.pem", "keys/agent-9.pem"), false, "Keys"},
		"other cluster":   {vwstate.RoleAgent, writeSettings(t, "agent", `"example"`, `"other"`), false, "cluster"},
		"foreign address": {vwstate.RoleControl, writeSettings(t, "control", "10.1.0.11", "192.0.2.1", "127.0.0.1:7301", "127.0.0.1:0"), false, "192.0.2.1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := vwprocess.Command{Role: c.role, SettingsFile: c.path, Log: new(bytes.Buffer)}.Run(context.Background())
			require.ErrorContains(t, err, c.want)
			require.Equal(t, c.refused, vwsettings.IsErrSettings(err), "%v", err)
		})
	}
}

// startedWriter calls cancel when the log line "process started" is written.
type startedWriter struct {
	bytes.Buffer
	cancel context.CancelFunc
}

func (w *startedWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("process started")) {
		w.cancel()
	}
	return w.Buffer.Write(line)
}

// Guards against a command that does not shut down gracefully when its context ends, and against log lines that are
// not JSON.
func TestCommandRuns(t *testing.T) {
	path := writeSettings(t, "agent", "127.0.0.1:7301", loopback, "127.0.0.1:7303", loopback)
	ctx, cancel := context.WithCancel(context.Background())
	log := &startedWriter{cancel: cancel}
	require.NoError(t, vwprocess.Command{Role: vwstate.RoleAgent, SettingsFile: path, Log: log}.Run(ctx))
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	for _, line := range lines {
		require.True(t, json.Valid([]byte(line)), line)
	}
	require.Contains(t, lines[len(lines)-1], `"msg":"process stopped"`)
}

// Guards against a stop during the start that looks like a failed start: the process exited with an error.
func TestStopDuringStart(t *testing.T) {
	paths := map[vwstate.Role]string{
		vwstate.RoleEntry:   writeSettings(t, "entry", "0.0.0.0:7300", loopback, "127.0.0.1:7301", loopback, "10.1.0.12:7302", loopback),
		vwstate.RoleAgent:   writeSettings(t, "agent", "127.0.0.1:7301", loopback, "127.0.0.1:7303", loopback),
		vwstate.RoleControl: writeSettings(t, "control", "127.0.0.1:7301", loopback),
	}
	for role, path := range paths {
		t.Run(string(role), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var log bytes.Buffer
			require.NoError(t, vwprocess.Command{Role: role, SettingsFile: path, Log: &log}.Run(ctx))
			require.Contains(t, log.String(), `"msg":"process stopped`)
		})
	}
}

// stuckWriter takes nothing until it is released.
type stuckWriter struct{ released chan struct{} }

func (w stuckWriter) Write(line []byte) (int, error) {
	<-w.released
	return len(line), nil
}

// Guards against a graceful stop that exits with an error because the reader of the log does not take the last lines.
func TestStuckLogDoesNotFailTheStop(t *testing.T) {
	log := stuckWriter{released: make(chan struct{})}
	defer close(log.released)
	path := writeSettings(t, "agent", "127.0.0.1:7301", loopback, "127.0.0.1:7303", loopback)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, vwprocess.Command{Role: vwstate.RoleAgent, SettingsFile: path, Log: log}.Run(ctx))
}
