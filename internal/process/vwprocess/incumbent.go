package vwprocess

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// lostDrain bounds how long an entry that lost its registration may finish requests that no other
	// entry can take over. Without a lease it starts nothing more.
	lostDrain = 2 * time.Second
	// reopenInterval is the pause after the link address could not be bound.
	reopenInterval = 200 * time.Millisecond
)

// incumbent is the entry that a process runs at the time. An entry whose registration has ended against
// its will is replaced by one under a new incarnation on the same addresses.
type incumbent struct {
	config    EntryConfig
	links     *links
	router    *router
	control   vwentry.Control
	metrics   *vwmetrics.Metrics
	observer  vwentry.Observer
	callers   replaceable
	operators replaceable

	mu    sync.Mutex
	entry *vwentry.Entry
}

// open opens the links under a new incarnation.
func (i *incumbent) open() (vwmessage.Hello, vwlink.Endpoint, error) {
	hello := vwmessage.Hello{
		Cluster:     i.config.Cluster,
		Process:     i.config.Settings.Process,
		Incarnation: vwid.MakeIncarnation(),
		Role:        string(vwstate.RoleEntry),
		DataCentre:  i.config.Settings.DataCentre,
		Rack:        i.config.Settings.Rack,
	}
	endpoint, err := i.links.open(hello)
	return hello, endpoint, trace.Wrap(err)
}

// begin starts an entry on open links.
func (i *incumbent) begin(hello vwmessage.Hello, endpoint vwlink.Endpoint) {
	settings := i.config.Settings
	if settings.LinkAddress == "" {
		settings.LinkAddress = endpoint.Address()
	}
	entry := vwentry.Make(settings, hello.Incarnation, i.control, endpoint, i.config.Log)
	entry.Observe(i.observer)
	i.mu.Lock()
	i.entry = entry
	i.mu.Unlock()
	i.callers.set(entry.CallersHandler())
	i.operators.set(EntryOperators(entry, i.metrics))
	i.router.entry.Store(entry)
	entry.Start()
}

func (i *incumbent) current() *vwentry.Entry {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.entry
}

// announce passes a configuration version on to the current entry.
func (i *incumbent) announce(version vwid.ConfigVersion) {
	if entry := i.current(); entry != nil {
		entry.Announce(version)
	}
}

// watch replaces the entry whenever its registration has ended, until ctx ends.
func (i *incumbent) watch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.current().Lost():
		}
		i.retire(ctx)
		if !i.reopen(ctx) {
			return
		}
	}
}

// retire ends the entry that has lost its registration. Its jobs have been given up already.
func (i *incumbent) retire(ctx context.Context) {
	draining, cancel := context.WithTimeout(ctx, lostDrain)
	defer cancel()
	entry := i.current()
	if err := entry.Drain(draining); err != nil {
		i.config.Log.Warn("requests of the replaced entry were cut", "error", err)
	}
	entry.Kill()
	_ = i.links.close()
}

// reopen starts the next entry. It reports false when ctx has ended before.
func (i *incumbent) reopen(ctx context.Context) bool {
	for {
		hello, endpoint, err := i.open()
		if err == nil {
			i.begin(hello, endpoint)
			i.config.Log.Info("entry replaced", "incarnation", string(hello.Incarnation))
			return true
		}
		i.config.Log.Error("link address not bound", "error", err)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reopenInterval):
		}
	}
}
