package vwprocess

import (
	"context"
	"log/slog"
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// AgentConfig describes an agent process.
type AgentConfig struct {
	Settings vwagent.Settings
	// LinkAddress is the UDP address that links are dialled from.
	LinkAddress string
	// BackendAddress is where the backend server announces itself.
	BackendAddress string
	// OperatorsAddress serves health, metrics and profiles.
	OperatorsAddress string
	Keys             vwkeys.Source
	Log              *slog.Logger
	// Events is the event log; nil is off.
	Events *vwevent.Log
}

// Agent is a running agent process.
type Agent struct {
	app      *fx.App
	agent    *vwagent.Agent
	listener net.Listener
	// operators is set unless the start has failed.
	operators *webServer
	group     *vwgroup.Group
	failed    chan error
	metrics   *vwmetrics.Metrics
	observer  vwagent.Observer
}

// StartAgent starts an agent process.
func StartAgent(ctx context.Context, config AgentConfig) (*Agent, error) {
	process := &Agent{group: vwgroup.Make(context.Background()), failed: make(chan error, 1), metrics: vwmetrics.Make()}
	process.observer = observeAgent(process.metrics, config.Events)
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process),
		fx.Provide(provideBackend, provideAgent, provideAnnouncements, provideAgentServer),
		fx.Populate(&process.agent, &process.listener),
		fx.Invoke(runAgent),
	)
	if err := process.app.Start(ctx); err != nil {
		process.Kill()
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// Agent returns the agent itself.
func (p *Agent) Agent() *vwagent.Agent {
	return p.agent
}

// BackendAddress returns the bound address for announcements.
func (p *Agent) BackendAddress() string {
	return p.listener.Addr().String()
}

// OperatorsAddress returns the bound address for operators.
func (p *Agent) OperatorsAddress() string {
	return p.operators.address()
}

// Failed implements process. It yields why the agent could not begin its work.
func (p *Agent) Failed() <-chan error {
	return p.failed
}

// Stop is the graceful shutdown.
func (p *Agent) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops at once, as a crash would.
func (p *Agent) Kill() {
	if p.operators != nil {
		p.operators.kill()
	}
	if p.listener != nil {
		_ = p.listener.Close()
	}
	_ = p.group.Stop()
}

func provideBackend(lifecycle fx.Lifecycle, config AgentConfig) (*vwbackend.Client, error) {
	client, err := vwbackend.Make(vwbackend.Settings{Slots: config.Settings.Slots})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	lifecycle.Append(fx.StopHook(client.Close))
	return client, nil
}

func provideAgent(config AgentConfig, process *Agent, backend *vwbackend.Client) (*vwagent.Agent, error) {
	return vwagent.Make(vwagent.Options{
		Settings: config.Settings,
		Backend:  backend,
		MakeEndpoint: func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
			return makeEndpoint(config.LinkAddress, config.Keys, hello)
		},
		MakeLease: vwagent.MakeConfigLease,
		Logger:    config.Log,
		Observer:  process.observer,
	})
}

func provideAnnouncements(config AgentConfig) (net.Listener, error) {
	return listen(config.BackendAddress)
}

func provideAgentServer(config AgentConfig, process *Agent, agent *vwagent.Agent) (*webServer, error) {
	vwmetrics.WatchAgent(process.metrics, agent.Counters())
	vwmetrics.WatchAgentState(process.metrics, agent.Gauges())
	server, err := listenWeb(config.OperatorsAddress, makeOperators(agent.Ready, process.metrics))
	process.operators = server
	return server, err
}

func runAgent(lifecycle fx.Lifecycle, agent *vwagent.Agent, listener net.Listener, operators *webServer, process *Agent) {
	group := process.group
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Run(func(ctx context.Context) {
				if err := agent.Run(ctx); err != nil {
					process.failed <- err
				}
			})
			group.Run(func(ctx context.Context) { _ = vwagent.Serve(ctx, listener, agent) })
			operators.start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			return trace.NewAggregate(agent.Stop(ctx), operators.stop(ctx), group.Stop())
		},
	})
}
