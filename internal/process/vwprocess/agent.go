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
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// AgentConfig describes an agent process.
type AgentConfig struct {
	Settings vwagent.Settings
	// LinkAddress is the UDP address that links are dialled from.
	LinkAddress string
	// BackendAddress is where the backend server announces itself.
	BackendAddress string
	Keys           vwkeys.Source
	Log            *slog.Logger
}

// Agent is a running agent process.
type Agent struct {
	app      *fx.App
	agent    *vwagent.Agent
	listener net.Listener
	group    *vwgroup.Group
}

// StartAgent starts an agent process.
func StartAgent(ctx context.Context, config AgentConfig) (*Agent, error) {
	process := &Agent{group: vwgroup.Make(context.Background())}
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process.group),
		fx.Provide(provideBackend, provideAgent, provideAnnouncements),
		fx.Populate(&process.agent, &process.listener),
		fx.Invoke(runAgent),
	)
	if err := process.app.Start(ctx); err != nil {
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

// Stop is the graceful shutdown.
func (p *Agent) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops at once, as a crash would.
func (p *Agent) Kill() {
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

func provideAgent(config AgentConfig, backend *vwbackend.Client) (*vwagent.Agent, error) {
	return vwagent.Make(vwagent.Options{
		Settings: config.Settings,
		Backend:  backend,
		MakeEndpoint: func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
			return makeEndpoint(config.LinkAddress, config.Keys, hello)
		},
		MakeLease: vwagent.MakeConfigLease,
		Logger:    config.Log,
	})
}

func provideAnnouncements(config AgentConfig) (net.Listener, error) {
	return listen(config.BackendAddress)
}

func runAgent(lifecycle fx.Lifecycle, agent *vwagent.Agent, listener net.Listener, group *vwgroup.Group, config AgentConfig) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Run(func(ctx context.Context) {
				if err := agent.Run(ctx); err != nil {
					config.Log.Error("agent ended", "error", err)
				}
			})
			group.Run(func(ctx context.Context) { _ = vwagent.Serve(ctx, listener, agent) })
			return nil
		},
		OnStop: func(ctx context.Context) error {
			return trace.NewAggregate(agent.Stop(ctx), group.Stop())
		},
	})
}
