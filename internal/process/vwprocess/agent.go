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
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// AgentConfig describes an agent process.
type AgentConfig struct {
	Settings vwagent.Settings
	// Links tells how links run.
	Links LinkConfig
	// LinkAddress is the address that links are dialled from.
	LinkAddress string
	// BackendAddress is where a plain backend server announces itself. An empty one is not served.
	BackendAddress string
	// OperatorsAddress serves health, metrics and profiles. An empty one is not served.
	OperatorsAddress string
	// Services returns further interfaces of the running process.
	Services func(*Agent) []Service
	// ControlMembers are link addresses of control members, for an agent whose settings name no entries.
	ControlMembers []string
	// Worker, if it is set, grants leases and runs the tasks of best-effort jobs.
	Worker vwworker.Worker
	Runs   vwrun.Settings
	// Token is the fencing token for the worker.
	Token uint64
	Keys  vwkeys.Source
	Log   *slog.Logger
	// Events is the event log; nil is off.
	Events *vwevent.Log
}

// Agent is a running agent process.
type Agent struct {
	app       *fx.App
	agent     *vwagent.Agent
	listener  net.Listener
	operators *services
	services  *services
	finder    *finder
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
		fx.Provide(provideBackend, provideAgent, provideAgentServers),
		fx.Populate(&process.agent),
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
	if p.listener == nil {
		return ""
	}
	return p.listener.Addr().String()
}

// ServiceAddresses returns the bound addresses of the further interfaces, in their order.
func (p *Agent) ServiceAddresses() []string {
	return p.services.addresses()
}

// OperatorsAddress returns the bound address for operators.
func (p *Agent) OperatorsAddress() string {
	return p.operators.address()
}

// Failed implements Process. It yields why the agent could not begin its work.
func (p *Agent) Failed() <-chan error {
	return p.failed
}

// Stop is the graceful shutdown.
func (p *Agent) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops at once, as a crash would.
func (p *Agent) Kill() {
	p.services.kill()
	p.operators.kill()
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
	makeLinkEnd := func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
		return config.Links.makeEndpoint(config.LinkAddress, config.Keys, hello)
	}
	options := vwagent.Options{
		Settings: config.Settings, Backend: backend, MakeEndpoint: makeLinkEnd, MakeLease: vwagent.MakeConfigLease,
		Worker: config.Worker, Runs: config.Runs, Token: config.Token, Timing: config.Links.timing(),
		Logger: config.Log, Observer: process.observer,
	}
	if len(config.ControlMembers) > 0 {
		process.finder = &finder{config: config, seeds: config.ControlMembers}
		options.Settings.FindsEntries, options.Find = true, process.finder.find
	}
	return vwagent.Make(options)
}

type agentServers struct {
	operators *services
	services  *services
}

func provideAgentServers(config AgentConfig, process *Agent, agent *vwagent.Agent) (agentServers, error) {
	vwmetrics.WatchAgent(process.metrics, agent.Counters())
	vwmetrics.WatchAgentState(process.metrics, agent.Gauges())
	process.agent = agent
	var err error
	if process.operators, err = listenOptional(config.OperatorsAddress, makeOperators(agent.Ready, process.metrics), config.Log); err != nil {
		return agentServers{}, err
	}
	if config.BackendAddress != "" {
		if process.listener, err = listen(config.BackendAddress); err != nil {
			return agentServers{}, err
		}
	}
	if config.Services != nil {
		process.services, err = listenServices(config.Services(process), config.Log)
	}
	return agentServers{operators: process.operators, services: process.services}, err
}

func runAgent(lifecycle fx.Lifecycle, agent *vwagent.Agent, servers agentServers, process *Agent) {
	group := process.group
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Run(func(ctx context.Context) {
				if err := agent.Run(ctx); err != nil {
					process.failed <- err
				}
			})
			if process.listener != nil {
				group.Run(func(ctx context.Context) { _ = vwagent.Serve(ctx, process.listener, agent) })
			}
			if servers.services != nil {
				servers.services.start()
			}
			servers.operators.start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			errs := []error{agent.Stop(ctx)}
			if servers.services != nil {
				errs = append(errs, servers.services.stop(ctx))
			}
			return trace.NewAggregate(append(errs, servers.operators.stop(ctx), group.Stop())...)
		},
	})
}

// SetSeeds replaces the addresses of control members that the process was told of.
func (p *Agent) SetSeeds(seeds []string) {
	if p.finder != nil {
		p.finder.setSeeds(seeds)
	}
}
