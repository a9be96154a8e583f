// Package vwprocess puts the roles together as processes: it builds the parts of each with fx, serves
// their addresses, and runs their start and graceful shutdown in order.
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
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// EntryConfig describes an entry process. Addresses may have port 0.
type EntryConfig struct {
	Cluster  vwid.Cluster
	Settings vwentry.Settings
	// Links tells how links run.
	Links LinkConfig
	// LinkAddress is bound unless LinkSocket is already.
	LinkAddress string
	LinkSocket  *net.UDPConn
	// CallersAddress and OperatorsAddress serve the product's own interfaces. An empty one is not served.
	CallersAddress   string
	OperatorsAddress string
	// Services returns further interfaces of the running process.
	Services func(*Entry) []Service
	// Linger is how long a stop goes on to accept requests after the process has said that it is not ready,
	// until a balancer has taken it out.
	Linger time.Duration
	// CallerConnections bounds the open connections of callers; zero means no limit.
	CallerConnections int
	Keys              vwkeys.Source
	// ControlMembers are the link addresses of control members. They may be empty only for an entry
	// that is the single member itself.
	ControlMembers []string
	// LearnsMembers tells that ControlMembers are only some of them, and that the process learns the others.
	LearnsMembers bool
	// Member makes the process a control member as well. It may be nil.
	Member *MemberConfig
	Log    *slog.Logger
	// Events is the event log; nil is off.
	Events *vwevent.Log
}

func (c EntryConfig) check() error {
	if len(c.ControlMembers) == 0 && c.Member == nil {
		return trace.BadParameter("ControlMembers names no member, and the process is not one itself")
	}
	return nil
}

// Entry is a running entry process.
type Entry struct {
	app       *fx.App
	group     *vwgroup.Group
	watch     *vwgroup.Group
	links     *links
	incumbent *incumbent
	member    *member
	pool      *vwlink.Pool
	control   vwcontrol.Client
	directory *directory
	callers   *webServer
	operators *services
	services  *services
	stopping  atomic.Bool
	linger    time.Duration
}

// StartEntry starts an entry process.
func StartEntry(ctx context.Context, config EntryConfig) (*Entry, error) {
	if err := config.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	process := &Entry{group: vwgroup.Make(context.Background()), watch: vwgroup.Make(context.Background()), linger: config.Linger}
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config, process, &router{}),
		fx.Provide(provideLinks, provideIncumbent, provideEntryServers),
		fx.Invoke(runEntry),
	)
	if err := process.app.Start(ctx); err != nil {
		process.Kill()
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// Entry returns the entry that runs now.
func (p *Entry) Entry() *vwentry.Entry {
	return p.incumbent.current()
}

// Control returns the process's way to control.
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
	return p.callers.address()
}

// ServiceAddresses returns the bound addresses of the further interfaces, in their order.
func (p *Entry) ServiceAddresses() []string {
	return p.services.addresses()
}

// OperatorsAddress returns the bound address for operators.
func (p *Entry) OperatorsAddress() string {
	return p.operators.address()
}

// SetSeeds replaces the addresses of control members that the process was told of.
func (p *Entry) SetSeeds(seeds []string) {
	if p.directory != nil {
		p.directory.setSeeds(seeds)
	}
}

// IsStopping reports whether the process has been asked to stop.
func (p *Entry) IsStopping() bool {
	return p.stopping.Load()
}

// Failed implements Process. An entry goes on without its own control member.
func (p *Entry) Failed() <-chan error {
	return nil
}

// Stop is the graceful shutdown.
func (p *Entry) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops at once, as a crash would.
func (p *Entry) Kill() {
	p.services.kill()
	p.callers.kill()
	p.operators.kill()
	_ = p.watch.Stop()
	_ = p.group.Stop()
	if p.links != nil {
		_ = p.links.close()
	}
	if p.incumbent != nil && p.Entry() != nil {
		p.Entry().Kill()
	}
	if p.member != nil {
		p.member.kill()
	}
	if p.pool != nil {
		_ = p.pool.Close()
	}
}

func provideLinks(config EntryConfig, process *Entry, r *router) *links {
	process.links = makeLinks(config.Links, config.LinkAddress, config.LinkSocket, config.Keys, r)
	return process.links
}

func provideIncumbent(config EntryConfig, process *Entry, l *links, r *router) *incumbent {
	m := vwmetrics.Make()
	process.incumbent = &incumbent{config: config, links: l, router: r, metrics: m, observer: observeEntry(m, config.Events)}
	return process.incumbent
}

type entryServers struct {
	callers   *webServer
	operators *services
}

func provideEntryServers(config EntryConfig, process *Entry, i *incumbent) (entryServers, error) {
	var err error
	if process.callers, err = listenWeb(config.CallersAddress, &i.callers); err != nil {
		return entryServers{}, err
	}
	process.callers.limit(config.CallerConnections)
	if process.operators, err = listenOptional(config.OperatorsAddress, &i.operators, config.Log); err != nil {
		return entryServers{}, err
	}
	if config.Services != nil {
		if process.services, err = listenServices(config.Services(process), config.Log); err != nil {
			return entryServers{}, err
		}
	}
	return entryServers{callers: process.callers, operators: process.operators}, nil
}

// runEntry orders the start and the stop: callers are served last and, when stopping, their answers
// are out before the links close.
func runEntry(lifecycle fx.Lifecycle, config EntryConfig, process *Entry, r *router, servers entryServers) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return process.start(config, r, servers) },
		OnStop:  process.stop,
	})
}

func (p *Entry) start(config EntryConfig, r *router, servers entryServers) error {
	hello, endpoint, err := p.incumbent.open()
	if err != nil {
		return trace.Wrap(err)
	}
	if config.Member != nil {
		p.member, err = startMember(p.group, *config.Member, config.ControlMembers, p.links, r, p.incumbent.announce, p.memberObserver(config))
		if err != nil {
			return trace.Wrap(err)
		}
	}
	p.pool = vwlink.MakePool(p.group.Context(), p.links, r)
	p.control = p.makeControl(config)
	p.incumbent.control = p.control
	p.incumbent.begin(hello, endpoint)
	p.watch.Run(p.incumbent.watch)
	servers.operators.start()
	servers.callers.start()
	if p.services != nil {
		p.services.start()
	}
	return nil
}

func (p *Entry) makeControl(config EntryConfig) vwcontrol.Client {
	if !config.LearnsMembers {
		return makeControlClient(p.member, p.pool, config.ControlMembers, p.links.Address())
	}
	p.directory = makeDirectory(p.pool, config.ControlMembers, config.Log)
	p.group.Run(p.directory.keep)
	return p.directory.client
}

func (p *Entry) memberObserver(config EntryConfig) memberObserver {
	return memberObserver{log: config.Log, events: config.Events, metrics: p.incumbent.metrics}
}

func (p *Entry) stop(ctx context.Context) error {
	p.stopping.Store(true)
	_ = p.watch.Stop()
	_ = vwgroup.Sleep(ctx, p.linger)
	var errs []error
	if p.services != nil {
		errs = append(errs, p.services.stop(ctx))
	}
	errs = append(errs, p.Entry().Drain(ctx), p.callers.stop(ctx), p.Entry().Stop(ctx), p.operators.stop(ctx))
	if p.member != nil {
		errs = append(errs, p.member.stop())
	}
	return trace.NewAggregate(append(errs, p.pool.Close(), p.group.Stop(), p.links.close())...)
}

// listen binds a TCP address.
func listen(address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}
