//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// Names of ports, which are the same on all machines.
const (
	portInternal = iota
	portControl
	portFrontend
	portReady
	portWorker
	portCount
)

// The zones of the machines of the small deployment: five core, three edge and seven side machines.
var (
	coreZones = []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}
	edgeZones = []string{"zone-a", "zone-b", "zone-c"}
	sideZones = []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}
)

// The values of the settings and of the configuration that the cases rely on. They are those of the site viitepaja-vw.
const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	queuePrefix = "/lohu930/"
	beatTime    = 1500 * time.Millisecond
	maxHold     = 1000
	retryTime   = 1300 * time.Millisecond
	contactTime = 3 * time.Second
)

// machine is one process of the deploy file on a loopback address of its own.
type machine struct {
	name, role, zone, ip string
	command              *exec.Cmd
	ended                chan struct{}
	mu                   sync.Mutex
	stopped              bool
}

// stage holds the processes and the stand-ins of a case.
type stage struct {
	record  *record
	group   *vwgroup.Group
	folder  string
	ports   [portCount]int
	core    []*machine
	edge    []*machine
	side    []*machine
	workers []*worker
	client  *http.Client
}

func makeStage(r *record) (*stage, error) {
	folder, err := os.MkdirTemp("", "review-stage-")
	if err != nil {
		return nil, err
	}
	s := &stage{record: r, group: vwgroup.Make(context.Background()), folder: folder}
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		if s.chooseAddresses(fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))) {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no ports are free")
}

// chooseAddresses gives each machine an address, and finds ports that are free on all of them.
func (s *stage) chooseAddresses(prefix string) bool {
	s.core, s.edge, s.side = nil, nil, nil
	next := 1
	add := func(list *[]*machine, class, role, zone string) {
		name := fmt.Sprintf("%s-%s-%d", class, zone, next)
		*list = append(*list, &machine{name: name, role: role, zone: zone, ip: prefix + strconv.Itoa(next)})
		next++
	}
	for _, zone := range coreZones {
		add(&s.core, "core", "control", zone)
	}
	for _, zone := range edgeZones {
		add(&s.edge, "edge", "entry", zone)
	}
	for _, zone := range sideZones {
		add(&s.side, "side", "agent", zone)
	}
	var open []net.Listener
	defer func() {
		for _, listener := range open {
			_ = listener.Close()
		}
	}()
	for at := range s.ports {
		s.ports[at] = 0
		for _, m := range s.machines() {
			listener, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(s.ports[at])))
			if err != nil {
				return false
			}
			open = append(open, listener)
			s.ports[at] = listener.Addr().(*net.TCPAddr).Port
		}
	}
	return true
}

func (s *stage) machines() []*machine {
	return append(append(append([]*machine(nil), s.core...), s.edge...), s.side...)
}

func (s *stage) address(m *machine, port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(s.ports[port]))
}

// settings returns the settings file of a machine, in the platform's plain form.
func (s *stage) settings(m *machine, first bool) string {
	seeds := make([]string, 0, 3)
	for _, at := range []int{0, 2, 4} {
		seeds = append(seeds, strconv.Quote(s.address(s.core[at], portControl)))
	}
	text := fmt.Sprintf("node = %q\nrole = %q\nzone = %q\nregion = \"satama\"\nip = %q\ninternal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\n",
		m.name, m.role, m.zone, m.ip, s.ports[portInternal], s.ports[portInternal], strings.Join(seeds, ","), first)
	text += "discovery = \"local\"\nentry-point = \"vip\"\nheartbeat-ms = 1500\nconfig_mode = \"highest\"\ncommands = \"invoke\"\n"
	addresses := ""
	switch m.role {
	case "control":
		text += fmt.Sprintf("data-dir = %q\ntolerance-counted = true\n", filepath.Join(s.folder, m.name))
		addresses = fmt.Sprintf("control = %q\n", s.address(m, portControl))
	case "entry":
		addresses = fmt.Sprintf("frontend = %q\nready = %q\n", s.address(m, portFrontend), s.address(m, portReady))
	default:
		text += fmt.Sprintf("app = %q\nservice = %q\n", s.address(m, portWorker), serviceName)
		addresses = fmt.Sprintf("control = %q\n", s.address(m, portControl))
	}
	text += "[zones]\nzone-a = \"satama\"\nzone-b = \"satama\"\nzone-c = \"satama\"\n[listen-addrs]\n" + addresses
	text += "[limits]\nmemory-mb = 284\nmax-fds = 4100\n[fault-tolerance]\nmachines = 2\nzones = 1\n"
	return text + "[bounds]\ncontact-ms = 3000\nack-timeout-ms = 4000\ngrace-s = 6\ndrain-ms = 2000\nevacuate-ms = 5000\nremote-factor = 1.5\n" +
		"max-hold-ms = 1000\nstop-timeout-ms = 50\nretry-ms = 1300\n"
}

// start starts the process of a machine with the command of the deploy file.
func (s *stage) start(m *machine, first bool) error {
	settings := filepath.Join(s.folder, m.name+".toml")
	if err := os.WriteFile(settings, []byte(s.settings(m, first)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(s.folder, m.name), 0o700); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command, err := commandOf(m.role)
	if err != nil {
		return err
	}
	process := exec.Command(command[0], command[1:]...)
	process.Env = []string{"PATH=/usr/bin:/bin", "HOME=/nonexistent", "LANG=C.UTF-8", "VANILLAWIND_NODE_FILE=" + settings}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended, m.stopped = process, ended, false
	m.mu.Unlock()
	s.group.Run(func(context.Context) {
		_ = process.Wait()
		close(ended)
	})
	s.record.write("platform", "starts %s", m.name)
	return nil
}

// commandOf returns the words of a role's run line in the deploy file.
func commandOf(role string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	found := false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			found = line == "[roles."+role+"]"
		}
		if run, is := strings.CutPrefix(line, "run = "); is && found {
			words, err := strconv.Unquote(run)
			return strings.Fields(words), err
		}
	}
	return nil, fmt.Errorf("the deploy file has no role %s", role)
}

// signal sends a signal to the process of a machine.
func (s *stage) signal(m *machine, number syscall.Signal) error {
	s.record.write("platform", "sends %v to %s", number, m.name)
	return m.command.Process.Signal(number)
}

// kill kills the process of a machine and waits for its end.
func (s *stage) kill(m *machine) error {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	if err := s.signal(m, syscall.SIGKILL); err != nil {
		return err
	}
	<-m.ended
	return nil
}

// findEarlyExit returns an error if a process has ended that nobody has stopped.
func (s *stage) findEarlyExit() error {
	for _, m := range s.machines() {
		m.mu.Lock()
		ended, stopped := m.ended, m.stopped
		m.mu.Unlock()
		select {
		case <-ended:
			if !stopped {
				return fmt.Errorf("%s has ended by itself", m.name)
			}
		default:
		}
	}
	return nil
}

// end ends all processes and stand-ins and removes the temporary folder.
func (s *stage) end() {
	for _, w := range s.workers {
		w.crash()
	}
	for _, m := range s.machines() {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.ended
		}
	}
	_ = s.group.Stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}

// startAll starts everything, hands in the first configuration, and returns once all entries are ready and each worker
// has run a task.
func (s *stage) startAll(ctx context.Context) error {
	for _, m := range s.machines() {
		if err := s.start(m, true); err != nil {
			return err
		}
	}
	if status := s.order(ctx, "POST /v1/Config.Replace", configOf(1), s.core); status != http.StatusOK {
		return fmt.Errorf("the first configuration is not acknowledged: %d", status)
	}
	for at, m := range s.side {
		s.workers = append(s.workers, s.makeWorker(m, fmt.Sprintf("i-%08x", 0x7f3a9100+at)))
	}
	for _, w := range s.workers {
		if err := w.boot(); err != nil {
			return err
		}
	}
	for _, m := range s.edge {
		for s.call(ctx, http.MethodGet, s.address(m, portReady), "/v1/readiness", "", "", time.Second).status != http.StatusOK {
			if vwgroup.Sleep(ctx, 50*time.Millisecond) != nil {
				return fmt.Errorf("%s does not become ready", m.name)
			}
		}
	}
	return s.warmUp(ctx)
}

// warmUp waits until each worker has run a task.
func (s *stage) warmUp(ctx context.Context) error {
	for at := 0; ; at++ {
		idle := false
		for _, w := range s.workers {
			idle = idle || w.started() == 0
		}
		if !idle {
			s.record.write("stage", "all machines are in use")
			return nil
		}
		s.submit(ctx, s.edge[at%len(s.edge)], job{id: makeID(), count: 12, run: 50 * time.Millisecond, patience: 3 * time.Second})
		if ctx.Err() != nil {
			return fmt.Errorf("not all workers come into use")
		}
	}
}

// configOf returns the configuration with a version.
func configOf(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-wrr6x73","host":%q,"path-prefix":%q,"type":"non_idempotent","timeout-ms":1500,"target-latency-ms":60,"priority":0,`+
		`"service":%q,"max-attempts":3,"slowdown-factor":1.6}],"services":[{"name":%q,"health-path":"/health","max-connections":64,"protocol":"h1","tls":false,`+
		`"cold-start-s":0.0,"cold-per-s":0.0,"admission-check":false,"standby":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,`+
		`"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, version, hostName, queuePrefix, serviceName, serviceName)
}
