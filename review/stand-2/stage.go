//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// program is the program that the build line of the deploy file makes.
	program = "target/vanillawind"
	// grace is the time from SIGTERM to SIGKILL, as the settings say.
	grace = 6 * time.Second
	// operatorTimeout is how long the operator waits for an answer before it asks another daemon.
	operatorTimeout = time.Second
	// portsPerMachine is the width of the range of internal ports.
	portsPerMachine = 16
)

// stage runs the machines of one case.
type stage struct {
	folder  string
	begun   time.Time
	group   *vwgroup.Group
	trouble bool
	// network is the first part of the loopback addresses of this case, and port the first of its ports.
	network string
	port    int

	mu       sync.Mutex
	record   *os.File
	machines []*machine
}

// openStage opens the record in folder, a temporary folder, and a free range of ports.
func openStage(folder string) (*stage, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &stage{folder: temporary, begun: time.Now(), group: vwgroup.Make(context.Background()), trouble: os.Getenv("TROUBLE") != "0", record: record}
	s.note("disruption: %t", s.trouble)
	return s, s.findPorts()
}

// findPorts chooses loopback addresses and ports that nothing uses.
func (s *stage) findPorts() error {
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		s.port = 20000 + rand.IntN(30000)
		free := true
		for _, port := range []int{s.port, s.controlPort(), s.clientPort(), s.readyPort(), s.workerPort()} {
			listener, err := net.Listen("tcp", net.JoinHostPort(s.network+".1", fmt.Sprint(port)))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports were found")
}

func (s *stage) controlPort() int { return s.port + portsPerMachine }
func (s *stage) clientPort() int  { return s.port + portsPerMachine + 1 }
func (s *stage) readyPort() int   { return s.port + portsPerMachine + 2 }
func (s *stage) workerPort() int  { return s.port + portsPerMachine + 3 }

// note writes a line to the record, with the seconds since the start.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	machines := s.machines
	s.mu.Unlock()
	for _, m := range machines {
		m.kill()
	}
	_ = s.group.Stop()
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
}

// machine is one machine of the platform with one role of the deploy file.
type machine struct {
	stage *stage
	name  string
	role  string
	class string
	ip    string
	zone  string
	// seeds are the control addresses that the settings file names.
	seeds []string

	command *exec.Cmd
	ended   chan struct{}
}

// classes maps each role of the deploy file to the class of its machines.
var classes = map[string]string{"entry": "edge", "agent": "side", "control": "core"}

// addMachine adds a machine without starting its process. number is the last part of its address.
func (s *stage) addMachine(role string, number int, seeds []string) *machine {
	m := &machine{stage: s, name: fmt.Sprintf("%s-%d", classes[role], number), role: role, class: classes[role], ip: fmt.Sprintf("%s.%d", s.network, number), zone: "zone-a", seeds: seeds}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, fmt.Sprint(port))
}

func (m *machine) dataFolder() string {
	return filepath.Join(m.stage.folder, m.name+"-data")
}

// settings returns the settings file of the machine. The bounds are those of the site files.
func (m *machine) settings(first bool) string {
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	seeds, _ := json.Marshal(m.seeds)
	line("node = %q\nrole = %q\nmachine-class = %q\nip = %q\nzone = %q\nregion = \"region-a\"", m.name, m.role, m.class, m.ip, m.zone)
	line("internal-ports = [%d,%d]\nseeds = %s\nbootstrap = %t", m.stage.port, m.stage.port+portsPerMachine-1, seeds, first)
	line("heartbeat-ms = 1500\nconfig_mode = \"highest\"\ncommands = \"invoke\"")
	switch m.role {
	case "control":
		line("tolerance-counted = true\ndata-dir = %q", m.dataFolder())
	case "agent":
		line("app = %q\nservice = %q", m.address(m.stage.workerPort()), serviceName)
	}
	line("[zones]\nzone-a = \"region-a\"\n[listen-addrs]")
	if m.role == "entry" {
		line("frontend = %q\nready = %q", m.address(m.stage.clientPort()), m.address(m.stage.readyPort()))
	} else {
		line("control = %q", m.address(m.stage.controlPort()))
	}
	line("[limits]\ncores = 1\nmemory-mb = 284\nmax-fds = 4096")
	line("[fault-tolerance]\nmachines = 2\nzones = 1\nregions = 0")
	line("[bounds]\ncontact-ms = 3000\nack-timeout-ms = 4000\ncatch-up-s = 4\ngrace-s = 6\nconfig-apply-ms = 2000\nrecovery-s = 12")
	line("max-hold-ms = 1000\nstop-timeout-ms = 50\ncancel_ms = 3000\nremote-factor = 1.5\nlease-ms = 3000\nretry-ms = 1300")
	return text.String()
}

// start starts the process of the machine's role with the run line of the deploy file. first is set at the first start of
// the whole installation.
func (m *machine) start(first bool) error {
	path := filepath.Join(m.stage.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.stage.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(program, "platform", m.role, "--keys", "target/keys", "--metrics-port", "9464")
	m.command.Env = append(os.Environ(), "VANILLAWIND_NODE_FILE="+path)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.stage.note("%s starts at %s, first start of the installation: %t", m.name, m.ip, first)
	ended := make(chan struct{})
	m.ended = ended
	command := m.command
	m.stage.group.Run(func(context.Context) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	})
	return nil
}

// kill ends the process at once, as SIGKILL does.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Kill()
	<-m.ended
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (m *machine) stop() {
	m.stage.note("%s gets SIGTERM", m.name)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(grace):
		m.stage.note("%s is still there after the grace time", m.name)
		m.kill()
	}
	m.stage.note("%s has ended", m.name)
}

// call sends a request and returns the status and the body. A status of zero means that no answer came in time.
func call(method, url, host string, body []byte, timeout time.Duration, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Close = true
	if host != "" {
		request.Host = host
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}
