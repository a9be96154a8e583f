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
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// ControlConfig describes a process that is only a control member. Addresses may have port 0.
type ControlConfig struct {
	Cluster    vwid.Cluster
	Process    vwid.Process
	DataCentre vwid.DataCentre
	Rack       vwid.Rack
	// Links tells how links run.
	Links LinkConfig
	// LinkAddress is bound unless LinkSocket is already.
	LinkAddress string
	LinkSocket  *net.UDPConn
	// ControlMembers are the link addresses of all members, this one's included. Empty means it is alone.
	ControlMembers []string
	Member         MemberConfig
	// OperatorsAddress serves health, metrics and profiles. An empty one is not served.
	OperatorsAddress string
	// Services returns further interfaces of the running process.
	Services func(*Control) []Service
	Keys     vwkeys.Source
	Log      *slog.Logger
	// Events is the event log; nil is off.
	Events *vwevent.Log
}

// Control is a running process that is only a control member.
type Control struct {
	app       *fx.App
	links     *links
	router    *router
	group     *vwgroup.Group
	operators *services
	services  *services
	member    *member
	failed    chan error
	metrics   *vwmetrics.Metrics
}

// StartControl starts a control process.
func StartControl(ctx context.Context, config ControlConfig) (*Control, error) {
	process := &Control{failed: make(chan error, 1), metrics: vwmetrics.Make(), router: &router{}, group: vwgroup.Make(context.Background())}
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process),
		fx.Provide(provideControlServer),
		fx.Invoke(runControl),
	)
	if err := process.app.Start(ctx); err != nil {
		process.Kill()
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// LinkAddress returns the bound address for other processes.
func (p *Control) LinkAddress() string {
	return p.links.Address()
}

// ServiceAddresses returns the bound addresses of the further interfaces, in their order.
func (p *Control) ServiceAddresses() []string {
	return p.services.addresses()
}

// OperatorsAddress returns the bound address for operators.
func (p *Control) OperatorsAddress() string {
	return p.operators.address()
}

// Member returns the control member.
func (p *Control) Member() *vwcontrol.Member {
	return p.member.Member
}

// Control returns the process's way to the leader of control.
func (p *Control) Control() vwcontrol.Client {
	return p.member.Client()
}

// SetSeeds replaces the addresses through which the member finds a cluster that does not know it.
func (p *Control) SetSeeds(seeds []string) error {
	return p.member.SetInitial(seeds)
}

// Failed implements Process. It yields the failure of the disk that ended the member.
func (p *Control) Failed() <-chan error {
	return p.failed
}

// Stop is the graceful shutdown: a leader hands its leadership over first.
func (p *Control) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops at once, as a crash would.
func (p *Control) Kill() {
	p.services.kill()
	p.operators.kill()
	if p.member != nil {
		p.member.kill()
	}
	if p.links != nil {
		_ = p.links.close()
	}
	_ = p.group.Stop()
}

func provideControlServer(config ControlConfig, process *Control) (*services, error) {
	process.links = makeLinks(config.Links, config.LinkAddress, config.LinkSocket, config.Keys, process.router)
	var err error
	process.operators, err = listenOptional(config.OperatorsAddress, makeOperators(process.ready, process.metrics), config.Log)
	return process.operators, err
}

// ready reports whether the member knows a leader.
func (p *Control) ready(context.Context) error {
	if p.member.Status().Log.Leader.Member == "" {
		return trace.ConnectionProblem(nil, "no leader of the control log is known")
	}
	return nil
}

func (p *Control) watch(context.Context) {
	if err := p.member.Wait(); err != nil {
		p.failed <- err
	}
}

func runControl(lifecycle fx.Lifecycle, config ControlConfig, process *Control, operators *services) {
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
			observer := memberObserver{log: config.Log, events: config.Events, metrics: process.metrics}
			process.member, err = startMember(process.group, config.Member, config.ControlMembers, process.links, process.router, func(vwid.ConfigVersion) {}, observer)
			if err != nil {
				return trace.Wrap(err)
			}
			process.group.Run(process.watch)
			operators.start()
			if config.Services != nil {
				if process.services, err = listenServices(config.Services(process), config.Log); err != nil {
					return trace.Wrap(err)
				}
				process.services.start()
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			var errs []error
			if process.services != nil {
				errs = append(errs, process.services.stop(ctx))
			}
			return trace.NewAggregate(append(errs, process.member.stop(), operators.stop(ctx), process.links.close(), process.group.Stop())...)
		},
	})
}
