package vwhistory_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	service vwid.Service = "pedidos"
	team    vwid.Team    = "Stands"
	rules                = `Service.pedidos = {} # Ana, platform
Team.Stands = {} # Ana, platform
DataCentre.Guayaquil = {} # Ana, platform
DataCentre.Manta = {} # Ana, platform
DataCentre.Salinas = {} # Ana, platform
`
)

var dataCentres = []vwid.DataCentre{"Guayaquil", "Manta", "Salinas"}

// start is one start as a backend server saw it.
type start struct {
	submission vwid.SubmissionID
	task       vwid.TaskID
	epoch      vwid.Epoch
	dataCentre vwid.DataCentre
	worker     int
	at         time.Time
}

// record is what the backend servers saw.
type record struct {
	mu     sync.Mutex
	starts []start
}

func (r *record) add(s start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
}

func (r *record) all() []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]start(nil), r.starts...)
}

// backendServer is the fake server beside one agent. It answers each task with the task's own ids.
type backendServer struct {
	record     *record
	dataCentre vwid.DataCentre
	worker     int
	mu         sync.Mutex
	ctx        context.Context
	crash      context.CancelFunc
}

func (b *backendServer) revive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx, b.crash = context.WithCancel(context.Background())
}

// kill ends the running tasks and refuses new ones until revive.
func (b *backendServer) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crash()
}

func (b *backendServer) context() context.Context {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ctx
}

// Run implements vwagent.Backend.
func (b *backendServer) Run(ctx context.Context, task vwbackend.Task) ([]byte, error) {
	alive := b.context()
	if alive.Err() != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, &vwbackend.ErrUnreachable{Address: task.Address, Err: alive.Err()})
	}
	b.record.add(start{task.SubmissionID, task.TaskID, task.Epoch, b.dataCentre, b.worker, time.Now()})
	var millis int
	if err := json.Unmarshal(task.Payload, &millis); err != nil {
		return nil, vwverdict.Wrap(vwverdict.Ran, err)
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return json.Marshal(string(task.SubmissionID) + "/" + string(task.TaskID))
	case <-alive.Done():
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, alive.Err())
	case <-ctx.Done():
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	}
}

// entryProcess is one entry with its part of the network. Entry is nil while it is dead.
type entryProcess struct {
	index   int
	address string

	mu      sync.Mutex
	entry   *vwentry.Entry
	control *vwcontroltest.Client
	serving *vwgroup.Group
}

func (e *entryProcess) current() (*vwentry.Entry, *vwcontroltest.Client) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry, e.control
}

// take removes the running entry, so that only one caller stops it. With only set it takes no other one.
func (e *entryProcess) take(only *vwentry.Entry) (*vwentry.Entry, *vwgroup.Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if only != nil && e.entry != only {
		return nil, nil
	}
	entry := e.entry
	e.entry = nil
	return entry, e.serving
}

// agentProcess is one agent with its backend server. Agent is nil while it is dead.
type agentProcess struct {
	index      int
	address    string
	dataCentre vwid.DataCentre
	backend    *backendServer

	mu      sync.Mutex
	agent   *vwagent.Agent
	running *vwgroup.Group
	left    bool
}

func (a *agentProcess) current() *vwagent.Agent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.agent
}

func (a *agentProcess) take() (*vwagent.Agent, *vwgroup.Group) {
	a.mu.Lock()
	defer a.mu.Unlock()
	agent := a.agent
	a.agent = nil
	return agent, a.running
}

func (a *agentProcess) hasLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// cluster is a set of processes on one in-memory network.
type cluster struct {
	network *vwlinktest.Network
	control *vwcontroltest.Control
	record  *record
	entries []*entryProcess
	agents  []*agentProcess
	log     *slog.Logger
	// replicated is set when entries use a control group instead of the stand-in.
	replicated *replicatedControl
	// supervisors outlive the entries that they replace.
	supervisors *vwgroup.Group
}

func startCluster(entries, agents int, log *slog.Logger) *cluster {
	c := makeCluster(log)
	c.start(entries, agents)
	return c
}

// linkDelay is how long a message takes on a link without faults.
const linkDelay = 1500 * time.Microsecond

func makeCluster(log *slog.Logger) *cluster {
	return &cluster{
		network: vwlinktest.MakeNetwork(linkDelay),
		control: vwcontroltest.Make(5 * time.Millisecond),
		record:  &record{},
		log:     log,

		supervisors: vwgroup.Make(context.Background()),
	}
}

func (c *cluster) start(entries, agents int) {
	for i := range entries {
		e := &entryProcess{index: i, address: fmt.Sprintf("entry-%d", i)}
		c.entries = append(c.entries, e)
		c.startEntry(e)
	}
	for i := range agents {
		a := &agentProcess{index: i, address: fmt.Sprintf("agent-%d", i), dataCentre: dataCentres[i%len(dataCentres)]}
		a.backend = &backendServer{record: c.record, dataCentre: a.dataCentre, worker: i}
		c.agents = append(c.agents, a)
		c.startAgent(a)
	}
}

func (c *cluster) startEntry(e *entryProcess) {
	hello := vwmessage.Hello{
		Cluster: "test", Process: vwid.Process(e.address), Incarnation: vwid.MakeIncarnation(),
		Role: "Entry", DataCentre: dataCentres[e.index%len(dataCentres)],
	}
	endpoint := c.network.MakeEndpoint(e.address, hello)
	settings := makeSettings()
	settings.Process, settings.DataCentre, settings.LinkAddress = hello.Process, hello.DataCentre, e.address
	serving := vwgroup.Make(context.Background())
	standIn := c.control.Client()
	var control vwentry.Control = standIn
	var entry *vwentry.Entry
	if c.replicated != nil {
		control = c.replicated.client(serving, endpoint, func(version vwid.ConfigVersion) { entry.Announce(version) })
	}
	entry = vwentry.Make(settings, hello.Incarnation, control, endpoint, c.log)
	entry.Start()
	serving.Run(func(ctx context.Context) { _ = vwlink.Serve(ctx, endpoint, entry) })
	e.mu.Lock()
	e.entry, e.control, e.serving = entry, standIn, serving
	e.mu.Unlock()
	c.supervisors.Run(func(ctx context.Context) { c.replaceLost(ctx, e, entry) })
}

// makeSettings returns settings with limits that a test can exceed quickly.
func makeSettings() vwentry.Settings {
	settings := vwentry.DefaultSettings()
	settings.MaxBody, settings.MaxTasks = 4*vwunit.MiB, 1000
	return settings
}

// replaceLost starts a new incarnation of an entry that has lost its registration, as its process does.
func (c *cluster) replaceLost(ctx context.Context, e *entryProcess, entry *vwentry.Entry) {
	select {
	case <-ctx.Done():
		return
	case <-entry.RegistrationLost():
	}
	time.Sleep(time.Second)
	if c.killEntry(e, entry) {
		c.startEntry(e)
	}
}

func (c *cluster) killEntry(e *entryProcess, only *vwentry.Entry) bool {
	entry, serving := e.take(only)
	if entry == nil {
		return false
	}
	c.network.Kill(e.address)
	entry.Kill()
	_ = serving.Stop()
	return true
}

func (c *cluster) startAgent(a *agentProcess) {
	var seeds []string
	for _, e := range c.entries {
		seeds = append(seeds, e.address)
	}
	a.backend.revive()
	agent, err := vwagent.Make(vwagent.Options{
		Settings: vwagent.Settings{Cluster: "test", Process: vwid.Process(a.address), DataCentre: a.dataCentre, Rack: "a", Entries: seeds, Slots: 4},
		Backend:  a.backend,
		MakeEndpoint: func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
			return c.network.MakeEndpoint(a.address, hello), nil
		},
		MakeLease: vwagent.MakeConfigLease,
		Logger:    c.log,
	})
	if err != nil {
		panic(err)
	}
	running := vwgroup.Make(context.Background())
	running.Run(func(ctx context.Context) { _ = agent.Run(ctx) })
	running.Run(func(ctx context.Context) { c.announce(ctx, a, agent) })
	a.mu.Lock()
	a.agent, a.running = agent, running
	a.mu.Unlock()
}

// announce keeps announcing the backend server while it lives and has not left.
func (c *cluster) announce(ctx context.Context, a *agentProcess, agent *vwagent.Agent) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		if a.backend.context().Err() == nil && !a.hasLeft() {
			_ = agent.Announce(ctx, vwagent.Announcement{Service: service, Address: "http://127.0.0.1:9", Slots: 4})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *cluster) setLeft(a *agentProcess, left bool) {
	a.mu.Lock()
	a.left = left
	agent := a.agent
	a.mu.Unlock()
	if left && agent != nil {
		_ = agent.Leave(context.Background())
	}
}

func (c *cluster) killAgent(a *agentProcess) {
	agent, running := a.take()
	if agent == nil {
		return
	}
	c.network.Kill(a.address)
	a.backend.kill()
	_ = running.Stop()
}

func (c *cluster) stop() {
	_ = c.supervisors.Stop()
	for _, e := range c.entries {
		c.killEntry(e, nil)
	}
	for _, a := range c.agents {
		c.killAgent(a)
	}
	if c.replicated != nil {
		c.replicated.stop()
	}
	_ = c.network.Close()
}

// call sends an HTTP request to an entry without a socket and returns the answer.
func (e *entryProcess) call(ctx context.Context, operators bool, method, path string, body any) *httptest.ResponseRecorder {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	answer := httptest.NewRecorder()
	entry, _ := e.current()
	if entry == nil {
		return nil
	}
	handler := entry.CallersHandler()
	if operators {
		handler = vwprocess.MakeEntryOperatorsHandler(entry, vwmetrics.Make())
	}
	handler.ServeHTTP(answer, httptest.NewRequest(method, path, bytes.NewReader(data)).WithContext(ctx))
	return answer
}

func (e *entryProcess) putRules(ctx context.Context, base vwid.ConfigVersion, text string) int {
	answer := e.call(ctx, true, http.MethodPut, "/Rules", vwapi.RulesChange{ChangeID: vwid.MakeChangeID(), Base: base, Text: text, By: "Ana"})
	if answer == nil {
		return 0
	}
	return answer.Code
}

func init() {
	if _, err := vwrule.Parse("rules", []byte(rules)); err != nil {
		panic(err)
	}
}
