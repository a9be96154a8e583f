package vwprocess

import (
	"context"
	"log/slog"
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// ControlConfig describes a process with no other role than control member. Addresses may have port 0.
type ControlConfig struct {
	Cluster    vwid.Cluster
	Process    vwid.Process
	DataCentre vwid.DataCentre
	Rack       vwid.Rack
	// Links configures the transport of links.
	Links LinkConfig
	// LinkAddress is the address to bind for links. It is not used when LinkSocket is set.
	LinkAddress string
	// LinkSocket is a bound socket for links. It may be nil.
	LinkSocket *net.UDPConn
	// ControlMembers are the link addresses of all members, this one's included. Empty means a single member.
	ControlMembers []string
	Member         MemberConfig
	// OperatorsAddress is the listen address for health, metrics and profiles. Empty disables it.
	OperatorsAddress string
	// Services returns additional HTTP services of the process.
	Services func(*Control) []Service
	Keys     vwkeys.Source
	// Intake is the budget for what others send; nil means the default.
	Intake *vwintake.Budget
	Log    *slog.Logger
	// Events is the event log; nil disables it.
	Events *vwevent.Log
}

// Control is a running process with no other role than control member.
type Control struct {
	app               *fx.App
	links             *linkEndpoint
	router            *router
	group             *vwgroup.Group
	operatorsServices *services
	services          *services
	member            *member
	failure           chan error
	metrics           *vwmetrics.Metrics
}

// StartControl starts a control process.
func StartControl(ctx context.Context, config ControlConfig) (*Control, error) {
	config.Intake = orDefault(config.Intake)
	process := &Control{failure: make(chan error, 1), metrics: vwmetrics.Make(), router: &router{}, group: vwgroup.Make(context.Background())}
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process),
		fx.Provide(provideControlServer),
		fx.Invoke(addControlHooks),
	)
	if err := startApp(ctx, process.app); err != nil {
		process.Kill()
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// LinkAddress returns the bound address for other processes.
func (p *Control) LinkAddress() string {
	return p.links.Address()
}

// ServiceAddresses returns the bound addresses of ControlConfig.Services, in their order.
func (p *Control) ServiceAddresses() []string {
	return p.services.addresses()
}

// OperatorsAddress returns the bound address for operators.
func (p *Control) OperatorsAddress() string {
	return p.operatorsServices.address()
}

// Member returns the control member.
func (p *Control) Member() *vwcontrol.Member {
	return p.member.Member
}

// Control returns a client that reaches the control leader through the member of this process.
func (p *Control) Control() vwcontrol.Client {
	return p.member.Client()
}

// SetSeeds replaces the addresses through which the member finds a cluster that it has not joined yet.
func (p *Control) SetSeeds(seeds []string) error {
	return p.member.SetInitial(seeds)
}

// Failure implements Process. It receives the disk error that ended the member.
func (p *Control) Failure() <-chan error {
	return p.failure
}

// Stop shuts the process down gracefully. A leader transfers its leadership first.
func (p *Control) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops the process at once, without a graceful shutdown, as a crash would.
func (p *Control) Kill() {
	p.services.kill()
	p.operatorsServices.kill()
	if p.member != nil {
		p.member.kill()
	}
	if p.links != nil {
		_ = p.links.close()
	}
	_ = p.group.Stop()
}

func provideControlServer(config ControlConfig, process *Control) (*services, error) {
	process.links = makeLinkEndpoint(config.Links, config.LinkAddress, config.LinkSocket, config.Keys, process.router)
	var err error
	process.operatorsServices, err = listenOptional(config.OperatorsAddress, makeOperatorsHandler(process.ready, process.metrics), config.Intake, config.Log)
	return process.operatorsServices, err
}

// ready returns an error while the member knows no leader or has no room on its disk.
func (p *Control) ready(context.Context) error {
	status := p.member.Status()
	if status.DiskFull {
		return trace.LimitExceeded("the disk of the control log is full")
	}
	if status.Log.Leader.Member == "" {
		return trace.ConnectionProblem(nil, "no leader of the control log is known")
	}
	return nil
}

func (p *Control) reportFailure(context.Context) {
	if err := p.member.Wait(); err != nil {
		p.failure <- err
	}
}

func addControlHooks(lifecycle fx.Lifecycle, config ControlConfig, process *Control, operatorsServices *services) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, err := process.links.open(vwmessage.Hello{
				Cluster: config.Cluster, Process: config.Process, Incarnation: vwid.MakeIncarnation(),
				Role: string(vwstate.RoleControl), DataCentre: config.DataCentre, Rack: config.Rack,
			})
			if err != nil {
				return trace.Wrap(err)
			}
			vwmetrics.WatchEvents(process.metrics, config.Events)
			vwmetrics.WatchIntake(process.metrics, config.Intake)
			telemetry := memberTelemetry{log: config.Log, events: config.Events, metrics: process.metrics}
			process.member, err = startMember(process.group, config.Member, config.ControlMembers, process.links, process.router, func(vwid.ConfigVersion) {}, telemetry)
			if err != nil {
				return trace.Wrap(err)
			}
			process.group.Run(process.reportFailure)
			operatorsServices.start()
			if config.Services != nil {
				if process.services, err = listenServices(config.Services(process), config.Intake, config.Log); err != nil {
					return trace.Wrap(err)
				}
				process.services.start()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			d := beginDrain(config.Log, process.services.requests)
			var errs []error
			if process.services != nil {
				errs = append(errs, process.services.stop(ctx))
			}
			d.end()
			return trace.NewAggregate(append(errs, process.member.stop(), operatorsServices.stop(ctx), process.links.close(), process.group.Stop())...)
		},
	})
}
