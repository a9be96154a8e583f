// Package vwprocess puts the roles together as processes: it builds the parts of each with fx, serves
// their addresses, and runs their start and graceful shutdown in order.
package vwprocess

import (
	"context"
	"log/slog"
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// EntryConfig describes an entry process. Addresses may have port 0.
type EntryConfig struct {
	Cluster          vwid.Cluster
	Settings         vwentry.Settings
	LinkAddress      string
	CallersAddress   string
	OperatorsAddress string
	Keys             vwkeys.Source
	Control          vwentry.Control
	Log              *slog.Logger
}

// Entry is a running entry process.
type Entry struct {
	app       *fx.App
	entry     *vwentry.Entry
	endpoint  *vwlink.Endpoint
	callers   *webServer
	operators *webServer
}

// StartEntry starts an entry process.
func StartEntry(ctx context.Context, config EntryConfig) (*Entry, error) {
	process := &Entry{}
	process.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(config),
		fx.Provide(provideHello, provideEntryEndpoint, provideEntry, provideEntryServers),
		fx.Populate(&process.entry, &process.endpoint),
		fx.Invoke(runEntry),
		fx.Invoke(func(servers entryServers) { process.callers, process.operators = servers.callers, servers.operators }),
	)
	if err := process.app.Start(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	return process, nil
}

// Entry returns the entry itself.
func (p *Entry) Entry() *vwentry.Entry {
	return p.entry
}

// LinkAddress returns the bound address for other processes.
func (p *Entry) LinkAddress() string {
	return p.endpoint.Address()
}

// CallersAddress returns the bound address for callers.
func (p *Entry) CallersAddress() string {
	return p.callers.address()
}

// OperatorsAddress returns the bound address for operators.
func (p *Entry) OperatorsAddress() string {
	return p.operators.address()
}

// Stop is the graceful shutdown.
func (p *Entry) Stop(ctx context.Context) error {
	return trace.Wrap(p.app.Stop(ctx))
}

// Kill stops at once, as a crash would.
func (p *Entry) Kill() {
	p.callers.kill()
	p.operators.kill()
	_ = p.endpoint.Close()
	p.entry.Kill()
}

func provideHello(config EntryConfig) vwmessage.Hello {
	return vwmessage.Hello{
		Cluster:     config.Cluster,
		Process:     config.Settings.Process,
		Incarnation: vwid.MakeIncarnation(),
		Role:        string(vwstate.RoleEntry),
		DataCentre:  config.Settings.DataCentre,
		Rack:        config.Settings.Rack,
	}
}

func provideEntryEndpoint(config EntryConfig, hello vwmessage.Hello) (*vwlink.Endpoint, error) {
	return makeEndpoint(config.LinkAddress, config.Keys, hello)
}

func makeEndpoint(address string, keys vwkeys.Source, hello vwmessage.Hello) (*vwlink.Endpoint, error) {
	tls, err := vwkeys.TLSConfig(keys, hello.Cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return vwlink.MakeEndpoint(address, tls, hello)
}

func provideEntry(config EntryConfig, endpoint *vwlink.Endpoint, hello vwmessage.Hello) *vwentry.Entry {
	settings := config.Settings
	if settings.LinkAddress == "" {
		settings.LinkAddress = endpoint.Address()
	}
	return vwentry.Make(settings, hello.Incarnation, config.Control, endpoint, config.Log)
}

type entryServers struct {
	callers   *webServer
	operators *webServer
}

func provideEntryServers(config EntryConfig, entry *vwentry.Entry) (entryServers, error) {
	callers, err := listenWeb(config.CallersAddress, entry.CallersHandler())
	if err != nil {
		return entryServers{}, err
	}
	operators, err := listenWeb(config.OperatorsAddress, entry.OperatorsHandler())
	if err != nil {
		callers.kill()
		return entryServers{}, err
	}
	return entryServers{callers: callers, operators: operators}, nil
}

// runEntry orders the start and the stop: callers are served last and, when stopping, their answers
// are out before the links close.
func runEntry(lifecycle fx.Lifecycle, entry *vwentry.Entry, endpoint *vwlink.Endpoint, servers entryServers) {
	group := vwgroup.Make(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			entry.Start()
			group.Run(func(ctx context.Context) { _ = vwlink.Serve(ctx, endpoint, entry) })
			servers.operators.start()
			servers.callers.start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			err := entry.Drain(ctx)
			errs := []error{err, servers.callers.stop(ctx), entry.Stop(ctx), servers.operators.stop(ctx), endpoint.Close(), group.Stop()}
			return trace.NewAggregate(errs...)
		},
	})
}

// listen binds a TCP address.
func listen(address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}
