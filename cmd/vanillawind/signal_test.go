package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/platform"
)

const (
	// runMainVariable makes the test binary run the program instead of the tests.
	runMainVariable = "VANILLAWIND_TEST_RUN_MAIN"
	// processTimeout bounds how long a process on a busy machine may take to start, to handle a signal or to stop.
	processTimeout = 30 * time.Second
	processPause   = 5 * time.Millisecond
	// requestTime is how long a request takes. Signals are handled within a fraction of it.
	requestTime = 2 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// roleSettings are the settings of a process of each role, without its keys. The placeholders are the data directory and
// a loopback address with a free port for each interface.
var roleSettings = map[string]string{
	"entry": `Role = "Entry"
DataDirectory = "%[1]s"
ControlMembers = ["%[2]s"]
[Addresses]
Callers = "%[4]s"
Operators = "%[3]s"
Link = "%[2]s"
`,
	"agent": `Role = "Agent"
EntryAddresses = ["%[2]s"]
[Addresses]
Operators = "%[3]s"
Announce = "%[4]s"
`,
	"control": `Role = "Control"
DataDirectory = "%[1]s"
ControlMembers = ["%[2]s"]
[Addresses]
Operators = "%[3]s"
Link = "%[2]s"
`,
}

// roleProcess is a process of the program.
type roleProcess struct {
	*testing.T
	operators string
	command   *exec.Cmd
	ended     chan error

	mu  sync.Mutex
	log bytes.Buffer
}

// Write collects the log.
func (p *roleProcess) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

func (p *roleProcess) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// freeAddress returns a loopback address with a port that is free for TCP.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// startRole starts a process of a role and waits until it has started.
func startRole(t *testing.T, role string) *roleProcess {
	t.Helper()
	folder := t.TempDir()
	keys := vwkeys.Command{Folder: vwkeys.Folder(filepath.Join(folder, "keys")), Out: io.Discard}
	require.NoError(t, keys.MakeAuthority("example"))
	require.NoError(t, keys.Issue("process-1"))
	p := &roleProcess{T: t, operators: freeAddress(t), ended: make(chan error, 1)}
	text := fmt.Sprintf(roleSettings[role], filepath.Join(folder, "data"), freeAddress(t), p.operators, freeAddress(t))
	text = "Cluster = \"example\"\nProcess = \"process-1\"\nDataCentre = \"north\"\nRack = \"r1\"\n" + text +
		"[Keys]\nCertificate = \"keys/process-1.pem\"\nKey = \"keys/process-1.pem\"\nAuthority = \"keys/authority.pem\"\n"
	settings := filepath.Join(folder, "settings.toml")
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	p.start(exec.Command(os.Args[0], role, "--settings", settings))
	p.waitForLines(`"process started"`, 1)
	return p
}

// start starts the process, which is killed at the end of the test.
func (p *roleProcess) start(command *exec.Cmd) {
	p.Helper()
	p.command = command
	command.Env = append(os.Environ(), append(command.Env, runMainVariable+"=1")...)
	command.Stdout, command.Stderr = p, p
	require.NoError(p, command.Start())
	group := vwgroup.Make(p.Context())
	group.Run(func(context.Context) { p.ended <- command.Wait() })
	p.Cleanup(func() {
		_ = command.Process.Kill()
		require.NoError(p, group.Wait())
	})
}

// startPlatformRole starts a process of a role on the platform, without the others, and waits for the first line of its log.
func startPlatformRole(t *testing.T, role string) *roleProcess {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, vwkeys.Command{Folder: vwkeys.Folder(folder), Out: io.Discard}.MakeAuthority("platform"))
	_, link, err := net.SplitHostPort(freeAddress(t))
	require.NoError(t, err)
	settings := filepath.Join(folder, "settings.toml")
	text := fmt.Sprintf(`node = "machine-1"
zone = "satama"
ip = "127.0.0.1"
internal-ports = [%s,%s]
seeds = [%q]
bootstrap = true
data-dir = %q
app = %q
service = "huvo11a"
[zones]
satama = "etela"
[listen-addrs]
frontend = "127.0.0.1:0"
ready = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
grace-s = 6
remote-factor = 1.5
max-hold-ms = 1000
stop-timeout-ms = 50
`, link, link, freeAddress(t), filepath.Join(folder, "data"), freeAddress(t))
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	p := &roleProcess{T: t, ended: make(chan error, 1)}
	command := exec.Command(os.Args[0], "platform", role, "--keys", folder)
	command.Env = []string{vwplatform.SettingsVariable + "=" + settings}
	p.start(command)
	p.waitForLines(`"process starts"`, 1)
	return p
}

// Guards against a process that a SIGHUP during its start ends, and one that takes a SIGTERM then for a failure.
func TestSignalsDuringStart(t *testing.T) {
	for role := range roleSettings {
		t.Run(role, func(t *testing.T) {
			p := startPlatformRole(t, role)
			deadline := time.Now().Add(processTimeout)
			for !strings.Contains(p.logText(), `"process started"`) && len(p.ended) == 0 && time.Now().Before(deadline) {
				_ = p.command.Process.Signal(syscall.SIGHUP)
				time.Sleep(processPause)
			}
			p.waitForLines(`"process started"`, 1)
			require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
			require.NoError(t, p.waitForEnd(), p.logText())

			p = startPlatformRole(t, role)
			require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
			require.NoError(t, p.waitForEnd(), p.logText())
			require.Contains(t, p.logText(), `"process stopped`)
		})
	}
}

// waitForLines waits until the log has as many lines with a text, and fails if the process ends before.
func (p *roleProcess) waitForLines(text string, count int) {
	p.Helper()
	found := func() bool { return strings.Count(p.logText(), text) >= count }
	require.Eventually(p, func() bool { return found() || len(p.ended) > 0 }, processTimeout, processPause, "no %s in the log", text)
	if !found() {
		require.Fail(p, "the process has ended", "%v\n%s", <-p.ended, p.logText())
	}
}

// sendSignals sends signals one after another, each once the one before was handled.
func (p *roleProcess) sendSignals(signals ...syscall.Signal) {
	p.Helper()
	for index, s := range signals {
		require.NoError(p, p.command.Process.Signal(s))
		p.waitForLines(`"signal received"`, index+1)
	}
}

// beginRequest sends a request to the operators' interface that is answered after requestTime, and waits until its handler runs.
func (p *roleProcess) beginRequest() net.Conn {
	p.Helper()
	conn, err := net.Dial("tcp", p.operators)
	require.NoError(p, err)
	p.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET /debug/pprof/profile?seconds=%d HTTP/1.1\r\nHost: localhost\r\n\r\n", int(requestTime.Seconds()))
	require.NoError(p, err)
	require.Eventually(p, func() bool {
		response, err := http.Get("http://" + p.operators + "/debug/pprof/goroutine?debug=1")
		if err != nil {
			return false
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return err == nil && bytes.Contains(text, []byte("net/http/pprof.Profile"))
	}, processTimeout, processPause, "the request is not handled")
	return conn
}

// waitForEnd waits until the process has ended and returns its error.
func (p *roleProcess) waitForEnd() error {
	p.Helper()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(processTimeout):
		require.Fail(p, "the process does not end", p.logText())
		return nil
	}
}

// Guards against a process that a SIGHUP or a repeated SIGTERM ends before it has answered its requests.
func TestRequestSurvivesSignals(t *testing.T) {
	for role := range roleSettings {
		t.Run(role, func(t *testing.T) {
			p := startRole(t, role)
			conn := p.beginRequest()
			p.sendSignals(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, p.logText())
			require.Equal(t, http.StatusOK, response.StatusCode)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err, p.logText())
			require.NoError(t, p.waitForEnd(), p.logText())
			require.Contains(t, p.logText(), `"process stopped"`)
		})
	}
}

// A person at a terminal must be able to end a process that does not stop by a second interrupt.
func TestSecondInterruptEndsTheProcess(t *testing.T) {
	for _, first := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM} {
		t.Run(first.String(), func(t *testing.T) {
			p := startRole(t, "control")
			p.beginRequest()
			p.sendSignals(first)
			require.NoError(t, p.command.Process.Signal(syscall.SIGINT))
			var exit *exec.ExitError
			require.ErrorAs(t, p.waitForEnd(), &exit)
			require.Equal(t, syscall.SIGINT, exit.Sys().(syscall.WaitStatus).Signal())
			require.NotContains(t, p.logText(), `"process stopped"`)
		})
	}
}
