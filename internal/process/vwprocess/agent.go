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
	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// AgentConfig describes an agent process.
type AgentConfig struct {
	Settings vwagent.Settings
	// Links configures the transport of links.
	Links LinkConfig
	// LinkAddress is the address that links are dialled from.
	LinkAddress string
	// BackendAddress is the listen address for announcements of plain backend servers. Empty disables it.
	BackendAddress string
	// OperatorsAddress is the listen address for health, metrics and profiles. Empty disables it.
	OperatorsAddress string
	// Services returns additional HTTP services of the process.
	Services func(*Agent) []Service
	// ControlMembers are link addresses of control members. An agent without configured entries asks them for the
	// live entries, and one whose lease no entry renews asks them for the rules.
	ControlMembers []string
	// Worker, if set, grants leases and runs the tasks of best-effort jobs.
	Worker vwworker.Worker
	Runs   vwrun.Settings
	// Token is the fencing token for the worker.
	Token uint64
	Keys  vwkeys.Source
	// Intake is the budget for what others send; nil means the default.
	Intake *vwintake.Budget
	Log    *slog.Logger
	// Events is the event log; nil disables it.
	Events *vwevent.Log
}

// Agent is a running agent process.
type Agent struct {
	app               *fx.App
	agent             *vwagent.Agent
	listener          net.Listener
	operatorsServices *services
	services          *services
	controlReader     *controlReader
	group             *vwgroup.Group
	failure           chan error
	metrics           *vwmetrics.Metrics
	observer          vwagent.Observer
}

// StartAgent starts an agent process.
func StartAgent(ctx context.Context, config AgentConfig) (*Agent, error) {
	config.Intake = orDefault(config.Intake)
	process := &Agent{group: vwgroup.Make(context.Background()), failure: make(chan error, 1), metrics: vwmetrics.Make()}
	process.observer = makeAgentObserver(process.metrics, config.Events)
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process),
		fx.Provide(provideBackend, provideAgent, provideAgentServers),
		fx.Populate(&process.agent),
		fx.Invoke(addAgentHooks),
	)
	if err := startApp(ctx, process.app); err != nil {
		process.Kill()
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// Agent returns the agent itself.
func (p *Agent) Agent() *vwagent.Agent {
	return p.agent
}

// BackendAddress returns the bound address for announcements, or an empty one when there is none.
func (p *Agent) BackendAddress() string {
	if p.listener == nil {
		return ""
	}
	return p.listener.Addr().String()
}

// ServiceAddresses returns the bound addresses of AgentConfig.Services, in their order.
func (p *Agent) ServiceAddresses() []string {
	return p.services.addresses()
}

// OperatorsAddress returns the bound address for operators.
func (p *Agent) OperatorsAddress() string {
	return p.operatorsServices.address()
}

// Failure implements Process. The channel delivers the error with which the agent's Run ended.
func (p *Agent) Failure() <-chan error {
	return p.failure
}

// Stop shuts the process down gracefully.
func (p *Agent) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops the process at once, without a graceful shutdown, as a crash would.
func (p *Agent) Kill() {
	p.services.kill()
	p.operatorsServices.kill()
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
	makeEndpoint := func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
		return config.Links.makeEndpoint(config.LinkAddress, config.Keys, hello)
	}
	options := vwagent.Options{
		Settings: config.Settings, Backend: backend, MakeEndpoint: makeEndpoint, MakeLease: vwagent.MakeConfigLease,
		Worker: config.Worker, Runs: config.Runs, Token: config.Token, Timing: config.Links.timing(),
		Logger: config.Log, Observer: process.observer,
	}
	if len(config.ControlMembers) > 0 {
		process.controlReader = &controlReader{config: config, seeds: config.ControlMembers}
		options.Settings.FindsEntries, options.FindEntries = true, process.controlReader.findEntries
		options.ReadRules = process.controlReader.readRules
	}
	return vwagent.Make(options)
}

type agentServers struct {
	operatorsServices *services
	services          *services
}

func provideAgentServers(config AgentConfig, process *Agent, agent *vwagent.Agent) (agentServers, error) {
	vwmetrics.WatchAgent(process.metrics, agent.Counters())
	vwmetrics.WatchAgentState(process.metrics, agent.Gauges())
	vwmetrics.WatchIntake(process.metrics, config.Intake)
	process.agent = agent
	var err error
	if process.operatorsServices, err = listenOptional(config.OperatorsAddress, makeOperatorsHandler(agent.Ready, process.metrics), config.Intake, config.Log); err != nil {
		return agentServers{}, err
	}
	if config.BackendAddress != "" {
		listener, err := listen(config.BackendAddress)
		if err != nil {
			return agentServers{}, err
		}
		process.listener = config.Intake.Limit(listener, operatorsLimits)
	}
	if config.Services != nil {
		process.services, err = listenServices(config.Services(process), config.Intake, config.Log)
	}
	return agentServers{operatorsServices: process.operatorsServices, services: process.services}, err
}

func addAgentHooks(lifecycle fx.Lifecycle, config AgentConfig, agent *vwagent.Agent, servers agentServers, process *Agent) {
	group := process.group
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Run(func(ctx context.Context) {
				if err := agent.Run(ctx); err != nil {
					process.failure <- err
				}
			})
			if process.listener != nil {
				group.Run(func(ctx context.Context) { _ = vwagent.Serve(ctx, process.listener, agent) })
			}
			if servers.services != nil {
				servers.services.start()
			}
			servers.operatorsServices.start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			d := beginDrain(config.Log, agent.Gauges().Busy.Load)
			errs := []error{agent.Stop(ctx)}
			if servers.services != nil {
				errs = append(errs, servers.services.stop(ctx))
			}
			d.end()
			return trace.NewAggregate(append(errs, servers.operatorsServices.stop(ctx), group.Stop())...)
		},
	})
}

// SetSeeds replaces the configured addresses of control members.
func (p *Agent) SetSeeds(seeds []string) {
	if p.controlReader != nil {
		p.controlReader.setSeeds(seeds)
	}
}
