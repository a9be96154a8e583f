// Package vwdemo runs a whole small cluster in one process on loopback: entries with control, agents in
// three data centres, and stand-in backend servers.
package vwdemo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/internal/process/vwstore"
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
	// DataCentres get one entry each, which is a control member as well.
	DataCentres []vwid.DataCentre
	// WorkersEach is the number of workers in each data centre.
	WorkersEach int
	Slots       int
	Log         *slog.Logger
	// Progress is told what happens during the start. It may be nil.
	Progress func(text string)
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
	directory string
	// sockets are bound before anything starts, since each control member must know the others.
	sockets  []*net.UDPConn
	members  []string
	Entries  []*vwprocess.Entry
	Agents   []*vwprocess.Agent
	Backends []*vwstandin.Server
}

// Start starts a demo and waits until all its workers can be used.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	c, err := prepare(config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.start(ctx); err != nil {
		return nil, trace.NewAggregate(err, c.Stop(context.WithoutCancel(ctx)))
	}
	return c, nil
}

func prepare(config Config) (*Cluster, error) {
	authority, err := vwkeys.MakeAuthority(cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	directory, err := os.MkdirTemp("", "vanillawind-demo-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c := &Cluster{config: config, authority: authority, directory: directory}
	for range config.DataCentres {
		socket, err := vwlink.BindQUIC(loopback)
		if err != nil {
			return nil, trace.NewAggregate(err, c.Stop(context.Background()))
		}
		c.sockets = append(c.sockets, socket)
		c.members = append(c.members, socket.LocalAddr().String())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	c.progress("starting %d entries with control members in %s", len(c.config.DataCentres), c.directory)
	for index := range c.config.DataCentres {
		if err := c.StartEntry(ctx, index); err != nil {
			return trace.Wrap(err)
		}
	}
	c.progress("starting %d workers with %d slots each", len(c.config.DataCentres)*c.config.WorkersEach, c.config.Slots)
	for _, dataCentre := range c.config.DataCentres {
		for i := range c.config.WorkersEach {
			if err := c.startWorker(ctx, vwid.Process(fmt.Sprintf("%s-%d", dataCentre, i+1)), dataCentre); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	c.progress("waiting for a control leader, leases and links")
	return trace.Wrap(c.waitReady(ctx))
}

func (c *Cluster) progress(format string, args ...any) {
	if c.config.Progress != nil {
		c.config.Progress(fmt.Sprintf(format, args...))
	}
}

// StartEntry starts the entry of a data centre, or starts it again on its former address and data
// directory after it has ended.
func (c *Cluster) StartEntry(ctx context.Context, index int) error {
	config, err := c.entryConfig(index)
	if err != nil {
		return trace.Wrap(err)
	}
	entry, err := vwprocess.StartEntry(ctx, config)
	if err != nil {
		return trace.Wrap(err)
	}
	if index < len(c.Entries) {
		c.Entries[index] = entry
		return nil
	}
	c.Entries = append(c.Entries, entry)
	return nil
}

func (c *Cluster) entryConfig(index int) (vwprocess.EntryConfig, error) {
	process := vwid.Process(fmt.Sprintf("entry-%d", index+1))
	keys, err := vwkeys.MakeMemory(c.authority, process)
	if err != nil {
		return vwprocess.EntryConfig{}, trace.Wrap(err)
	}
	files, err := vwstore.OpenDirectory(filepath.Join(c.directory, string(process)))
	if err != nil {
		return vwprocess.EntryConfig{}, trace.Wrap(err)
	}
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre = process, c.config.DataCentres[index]
	socket := c.sockets[index]
	c.sockets[index] = nil
	return vwprocess.EntryConfig{
		Cluster:          cluster,
		Settings:         settings,
		LinkAddress:      c.members[index],
		LinkSocket:       socket,
		CallersAddress:   loopback,
		OperatorsAddress: loopback,
		Keys:             keys,
		ControlMembers:   c.members,
		Member:           &vwprocess.MemberConfig{Files: files},
		Log:              c.config.Log,
	}, nil
}

// startWorker starts an agent and its stand-in.
func (c *Cluster) startWorker(ctx context.Context, process vwid.Process, dataCentre vwid.DataCentre) error {
	agent, err := c.startAgent(ctx, process, dataCentre, loopback)
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

func (c *Cluster) startAgent(ctx context.Context, process vwid.Process, dataCentre vwid.DataCentre, backendAddress string) (*vwprocess.Agent, error) {
	keys, err := c.Keys(process)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return vwprocess.StartAgent(ctx, vwprocess.AgentConfig{
		Settings: vwagent.Settings{
			Cluster:    cluster,
			Process:    process,
			DataCentre: dataCentre,
			Rack:       vwid.Rack(dataCentre) + "-a",
			Entries:    c.members,
			Slots:      c.config.Slots,
		},
		LinkAddress:      loopback,
		BackendAddress:   backendAddress,
		OperatorsAddress: loopback,
		Keys:             keys,
		Log:              c.config.Log,
	})
}

// RestartWorker stops an agent gracefully and starts it again. Its stand-in goes on and announces itself
// to the new one.
func (c *Cluster) RestartWorker(ctx context.Context, index int) error {
	former := c.Agents[index]
	if err := former.Stop(ctx); err != nil {
		return trace.Wrap(err)
	}
	record := c.Backends[index].Starts()
	agent, err := c.startAgent(ctx, record.Worker, record.DataCentre, former.BackendAddress())
	if err != nil {
		return trace.Wrap(err)
	}
	c.Agents[index] = agent
	return nil
}

// Keys issues a certificate for a process of the cluster.
func (c *Cluster) Keys(process vwid.Process) (vwkeys.Source, error) {
	return vwkeys.MakeMemory(c.authority, process)
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

// Stop is the graceful shutdown of all parts, the backend servers first. It removes the data directories.
func (c *Cluster) Stop(ctx context.Context) error {
	err := trace.NewAggregate(stopAll(ctx, c.Backends), stopAll(ctx, c.Agents), stopAll(ctx, c.Entries))
	for _, socket := range c.sockets {
		if socket != nil {
			_ = socket.Close()
		}
	}
	return trace.NewAggregate(err, trace.ConvertSystemError(os.RemoveAll(c.directory)))
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

// RestartEntry stops the entry of a data centre gracefully and starts it again.
func (c *Cluster) RestartEntry(ctx context.Context, index int) error {
	if err := c.Entries[index].Stop(ctx); err != nil {
		return trace.Wrap(err)
	}
	return c.StartEntry(ctx, index)
}
