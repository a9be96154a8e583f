// Package vwdemo runs a whole small cluster in one process on loopback: entries with control, agents in
// three data centres, and stand-in backend servers.
package vwdemo

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	cluster vwid.Cluster = "demo"
	// Service is what the stand-ins offer.
	Service vwid.Service = "muotoilu"
	// Team is the team of the demo's own calls.
	Team vwid.Team = "Theses"

	loopback      = "127.0.0.1:0"
	readyInterval = 20 * time.Millisecond
)

// Config says how large the demo is.
type Config struct {
	DataCentres []vwid.DataCentre
	// WorkersEach is the number of workers in each data centre.
	WorkersEach int
	Slots       int
	Log         *slog.Logger
}

// DefaultConfig returns a demo of three data centres with two workers each.
func DefaultConfig() Config {
	return Config{
		DataCentres: []vwid.DataCentre{"Helsinki", "Turku", "Tampere"},
		WorkersEach: 2,
		Slots:       8,
		Log:         slog.New(slog.DiscardHandler),
	}
}

// Cluster is a running demo.
type Cluster struct {
	config    Config
	authority *vwkeys.Authority
	control   *vwcontroltest.Control
	Entries   []*vwprocess.Entry
	Agents    []*vwprocess.Agent
	Backends  []*vwstandin.Server
}

// Start starts a demo and waits until all its workers can be used.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	authority, err := vwkeys.MakeAuthority(cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Cluster{config: config, authority: authority, control: vwcontroltest.Make(time.Millisecond)}
	for i, dataCentre := range config.DataCentres {
		if err := c.startEntry(ctx, vwid.Process(fmt.Sprintf("entry-%d", i+1)), dataCentre); err != nil {
			return nil, trace.NewAggregate(err, c.Stop(ctx))
		}
	}
	for _, dataCentre := range config.DataCentres {
		for i := range config.WorkersEach {
			if err := c.startWorker(ctx, vwid.Process(fmt.Sprintf("%s-%d", dataCentre, i+1)), dataCentre); err != nil {
				return nil, trace.NewAggregate(err, c.Stop(ctx))
			}
		}
	}
	return c, trace.Wrap(c.waitReady(ctx))
}

func (c *Cluster) startEntry(ctx context.Context, process vwid.Process, dataCentre vwid.DataCentre) error {
	keys, err := vwkeys.MakeMemory(c.authority, process)
	if err != nil {
		return trace.Wrap(err)
	}
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre = process, dataCentre
	entry, err := vwprocess.StartEntry(ctx, vwprocess.EntryConfig{
		Cluster:          cluster,
		Settings:         settings,
		LinkAddress:      loopback,
		CallersAddress:   loopback,
		OperatorsAddress: loopback,
		Keys:             keys,
		Control:          c.control.Client(),
		Log:              c.config.Log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.Entries = append(c.Entries, entry)
	return nil
}

func (c *Cluster) startWorker(ctx context.Context, process vwid.Process, dataCentre vwid.DataCentre) error {
	keys, err := vwkeys.MakeMemory(c.authority, process)
	if err != nil {
		return trace.Wrap(err)
	}
	agent, err := vwprocess.StartAgent(ctx, vwprocess.AgentConfig{
		Settings: vwagent.Settings{
			Cluster:    cluster,
			Process:    process,
			DataCentre: dataCentre,
			Rack:       vwid.Rack(dataCentre) + "-a",
			Entries:    []string{c.Entries[0].LinkAddress()},
			Slots:      c.config.Slots,
		},
		LinkAddress:    loopback,
		BackendAddress: loopback,
		Keys:           keys,
		Log:            c.config.Log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.Agents = append(c.Agents, agent)
	backend, err := vwstandin.Serve(context.WithoutCancel(ctx), vwstandin.Config{
		Worker:     process,
		DataCentre: dataCentre,
		Service:    Service,
		Slots:      c.config.Slots,
		Agent:      "http://" + agent.BackendAddress(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	c.Backends = append(c.Backends, backend)
	return nil
}

// waitReady waits until each entry has a lease and a link to each agent.
func (c *Cluster) waitReady(ctx context.Context) error {
	for _, entry := range c.Entries {
		for entry.Entry().Ready(ctx) != nil || entry.Entry().WorkerCount(ctx) < len(c.Agents) {
			select {
			case <-ctx.Done():
				return trace.Wrap(ctx.Err(), "waiting for the cluster to become ready")
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

// Stop is the graceful shutdown of all parts, the backend servers first.
func (c *Cluster) Stop(ctx context.Context) error {
	return trace.NewAggregate(stopAll(ctx, c.Backends), stopAll(ctx, c.Agents), stopAll(ctx, c.Entries))
}

type stoppable interface {
	Stop(ctx context.Context) error
}

func stopAll[T stoppable](ctx context.Context, parts []T) error {
	group := vwgroup.Make(context.WithoutCancel(ctx))
	for _, part := range parts {
		group.Go(func(context.Context) error { return part.Stop(ctx) })
	}
	return trace.Wrap(group.Wait())
}
