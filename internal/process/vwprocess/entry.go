// Package vwprocess assembles the process of each role: it builds the components with fx, listens on
// the addresses, and orders start and graceful shutdown.
package vwprocess

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// callerAnswerBytes is what a caller may leave unread of the results of its jobs before no more is written.
const callerAnswerBytes = 64 * vwunit.KiB

// EntryConfig describes an entry process. Addresses may have port 0.
type EntryConfig struct {
	Cluster  vwid.Cluster
	Settings vwentry.Settings
	// Links configures the transport of links.
	Links LinkConfig
	// LinkAddress is the address to bind for links. It is not used when LinkSocket is set.
	LinkAddress string
	// LinkSocket is a bound socket for links. It may be nil.
	LinkSocket *net.UDPConn
	// CallersAddress and OperatorsAddress are the listen addresses of the interfaces for callers and operators.
	// Empty disables the interface.
	CallersAddress   string
	OperatorsAddress string
	// Services returns additional HTTP services of the process.
	Services func(*Entry) []Service
	// DrainDelay is how long a stopping process still accepts requests after it reports that it is not ready, so
	// that a load balancer can take it out of rotation.
	DrainDelay time.Duration
	// CallerConnections limits the open connections of callers; zero means as many as Intake allows.
	CallerConnections int
	Keys              vwkeys.Source
	// ControlMembers are the link addresses of control members. They may be empty only for an entry
	// that is the single member of its cluster.
	ControlMembers []string
	// DiscoverMembers makes the process use ControlMembers as seeds only and discover the current members
	// through them.
	DiscoverMembers bool
	// Member, if set, makes the process a control member as well.
	Member *MemberConfig
	// Intake is the budget for what others send; nil means the default.
	Intake *vwintake.Budget
	Log    *slog.Logger
	// Events is the event log; nil disables it.
	Events *vwevent.Log
}

func (c EntryConfig) check() error {
	if len(c.ControlMembers) == 0 && c.Member == nil {
		return trace.BadParameter("ControlMembers is empty and the process is not a control member")
	}
	return nil
}

// Entry is a running entry process.
type Entry struct {
	app               *fx.App
	group             *vwgroup.Group
	supervisorGroup   *vwgroup.Group
	links             *linkEndpoint
	supervisor        *entrySupervisor
	member            *member
	pool              *vwlink.Pool
	control           vwcontrol.Client
	memberDirectory   *memberDirectory
	callersServer     *httpServer
	operatorsServices *services
	services          *services
	stopping          atomic.Bool
	drainDelay        time.Duration
	log               *slog.Logger
}

// StartEntry starts an entry process.
func StartEntry(ctx context.Context, config EntryConfig) (*Entry, error) {
	if err := config.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	config.Intake = orDefault(config.Intake)
	process := &Entry{group: vwgroup.Make(context.Background()), supervisorGroup: vwgroup.Make(context.Background()), drainDelay: config.DrainDelay, log: config.Log}
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process, &router{}),
		fx.Provide(provideLinks, provideSupervisor, provideEntryServers),
		fx.Invoke(addEntryHooks),
	)
	if err := startApp(ctx, process.app); err != nil {
		process.Kill()
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// Entry returns the current entry. It is replaced when its registration ends.
func (p *Entry) Entry() *vwentry.Entry {
	return p.supervisor.current()
}

// Control returns the client through which the process reaches control.
func (p *Entry) Control() vwcontrol.Client {
	return p.control
}

// Member returns the control member of the process, or nil.
func (p *Entry) Member() *vwcontrol.Member {
	if p.member == nil {
		return nil
	}
	return p.member.Member
}

// LinkAddress returns the bound address for other processes.
func (p *Entry) LinkAddress() string {
	return p.links.Address()
}

// CallersAddress returns the bound address for callers.
func (p *Entry) CallersAddress() string {
	return p.callersServer.address()
}

// ServiceAddresses returns the bound addresses of EntryConfig.Services, in their order.
func (p *Entry) ServiceAddresses() []string {
	return p.services.addresses()
}

// OperatorsAddress returns the bound address for operators.
func (p *Entry) OperatorsAddress() string {
	return p.operatorsServices.address()
}

// SetSeeds replaces the configured addresses of control members. It has no effect without DiscoverMembers.
func (p *Entry) SetSeeds(seeds []string) {
	if p.memberDirectory != nil {
		p.memberDirectory.setSeeds(seeds)
	}
}

// IsStopping reports whether the graceful shutdown has begun.
func (p *Entry) IsStopping() bool {
	return p.stopping.Load()
}

// Failure implements Process. The returned channel is nil and never delivers, since an entry continues without its own control member.
func (p *Entry) Failure() <-chan error {
	return nil
}

// Stop shuts the process down gracefully.
func (p *Entry) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops the process at once, without a graceful shutdown, as a crash would.
func (p *Entry) Kill() {
	p.services.kill()
	p.callersServer.kill()
	p.operatorsServices.kill()
	_ = p.supervisorGroup.Stop()
	_ = p.group.Stop()
	if p.links != nil {
		_ = p.links.close()
	}
	if p.supervisor != nil && p.Entry() != nil {
		p.Entry().Kill()
	}
	if p.member != nil {
		p.member.kill()
	}
	if p.pool != nil {
		_ = p.pool.Close()
	}
}

func provideLinks(config EntryConfig, process *Entry, r *router) *linkEndpoint {
	process.links = makeLinkEndpoint(config.Links, config.LinkAddress, config.LinkSocket, config.Keys, r)
	return process.links
}

func provideSupervisor(config EntryConfig, process *Entry, l *linkEndpoint, r *router) *entrySupervisor {
	m := vwmetrics.Make()
	vwmetrics.WatchIntake(m, config.Intake)
	process.supervisor = &entrySupervisor{config: config, links: l, router: r, metrics: m, observer: makeEntryObserver(m, config.Events)}
	return process.supervisor
}

type entryServers struct {
	callersServer     *httpServer
	operatorsServices *services
}

func provideEntryServers(config EntryConfig, process *Entry, supervisor *entrySupervisor) (entryServers, error) {
	var err error
	if process.callersServer, err = listenHTTP(config.CallersAddress, &supervisor.callersHandler, config.Intake, vwintake.Port{Connections: config.CallerConnections, AnswerBytes: callerAnswerBytes}); err != nil {
		return entryServers{}, err
	}
	process.callersServer.boundSockets(config.Log)
	if process.operatorsServices, err = listenOptional(config.OperatorsAddress, &supervisor.operatorsHandler, config.Intake, config.Log); err != nil {
		return entryServers{}, err
	}
	if config.Services != nil {
		if process.services, err = listenServices(config.Services(process), config.Intake, config.Log); err != nil {
			return entryServers{}, err
		}
	}
	return entryServers{callersServer: process.callersServer, operatorsServices: process.operatorsServices}, nil
}

// addEntryHooks registers start and stop. Callers are served after everything that answers them has started, and
// on stop their responses are sent before the links close.
func addEntryHooks(lifecycle fx.Lifecycle, config EntryConfig, process *Entry, r *router, servers entryServers) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return process.start(config, r, servers) },
		OnStop:  process.stop,
	})
}

func (p *Entry) start(config EntryConfig, r *router, servers entryServers) error {
	hello, endpoint, err := p.supervisor.openLinks()
	if err != nil {
		return trace.Wrap(err)
	}
	if config.Member != nil {
		p.member, err = startMember(p.group, *config.Member, config.ControlMembers, p.links, r, p.supervisor.announce, p.memberTelemetry(config))
		if err != nil {
			return trace.Wrap(err)
		}
	}
	p.pool = vwlink.MakePool(p.group.Context(), p.links, r)
	p.control = p.openControlClient(config)
	p.supervisor.control = p.control
	p.supervisor.startEntry(hello, endpoint)
	p.supervisorGroup.Run(p.supervisor.supervise)
	servers.operatorsServices.start()
	servers.callersServer.start()
	if p.services != nil {
		p.services.start()
	}
	return nil
}

func (p *Entry) openControlClient(config EntryConfig) vwcontrol.Client {
	if !config.DiscoverMembers {
		return makeControlClient(p.member, p.pool, config.ControlMembers, p.links.Address())
	}
	p.memberDirectory = makeMemberDirectory(p.pool, config.ControlMembers, config.Log)
	p.group.Run(p.memberDirectory.refreshPeriodically)
	return p.memberDirectory.client
}

func (p *Entry) memberTelemetry(config EntryConfig) memberTelemetry {
	return memberTelemetry{log: config.Log, events: config.Events, metrics: p.supervisor.metrics}
}

// requests returns the number of callers' requests in flight.
func (p *Entry) requests() int64 {
	return p.services.requests() + p.callersServer.requests()
}

func (p *Entry) stop(ctx context.Context) error {
	p.stopping.Store(true)
	answerBy := answerTime(ctx)
	counters := p.supervisor.observer.Counters
	d := beginDrain(p.log, p.requests, "accepts for", p.drainDelay.String(), "answers within", time.Until(answerBy).Round(time.Millisecond).String())
	p.supervisor.answerAllBy(answerBy)
	_ = p.supervisorGroup.Stop()
	_ = vwgroup.Sleep(ctx, p.drainDelay-time.Since(d.begun))
	var errs []error
	if p.services != nil {
		errs = append(errs, p.services.stop(ctx))
	}
	errs = append(errs, p.Entry().Drain(ctx), p.callersServer.stop(ctx))
	d.end("given up", counters.EndedByStop.Load(), "refused", counters.RefusedByStop.Load())
	ending, cancel := context.WithDeadline(ctx, endTime(ctx))
	defer cancel()
	errs = append(errs, p.Entry().Stop(ending), p.operatorsServices.stop(ctx))
	if p.member != nil {
		errs = append(errs, p.member.stop())
	}
	return trace.NewAggregate(append(errs, p.pool.Close(), p.group.Stop(), p.links.close())...)
}

// listen binds a TCP address.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{}
	// Not all options of the sockets apply to multipath connections.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}
