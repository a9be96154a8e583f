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
	// lostAnswerTime is the time in which an entry that has lost its registration answers all requests. It may finish those
	// that no other entry can take over; without a lease it starts no further tasks.
	lostAnswerTime = 2 * time.Second
	// linkBindRetryInterval is the delay between attempts to bind the link address.
	linkBindRetryInterval = 200 * time.Millisecond
)

// entrySupervisor runs the entry of a process. When the registration of the entry ends other than by a graceful
// shutdown, it starts a new entry with a new incarnation on the same addresses.
type entrySupervisor struct {
	config           EntryConfig
	links            *linkEndpoint
	router           *router
	control          vwentry.Control
	metrics          *vwmetrics.Metrics
	observer         vwentry.Observer
	callersHandler   replaceableHandler
	operatorsHandler replaceableHandler

	mu    sync.Mutex
	entry *vwentry.Entry
	// answerBy is the time by which a stopping process must have answered all requests; zero before the stop.
	answerBy time.Time
}

// openLinks opens the link endpoint with a new incarnation.
func (s *entrySupervisor) openLinks() (vwmessage.Hello, vwlink.Endpoint, error) {
	hello := vwmessage.Hello{
		Cluster:     s.config.Cluster,
		Process:     s.config.Settings.Process,
		Incarnation: vwid.MakeIncarnation(),
		Role:        string(vwstate.RoleEntry),
		DataCentre:  s.config.Settings.DataCentre,
		Rack:        s.config.Settings.Rack,
	}
	endpoint, err := s.links.open(hello)
	return hello, endpoint, trace.Wrap(err)
}

// startEntry starts an entry with the incarnation of hello on an open endpoint and makes it the current one.
func (s *entrySupervisor) startEntry(hello vwmessage.Hello, endpoint vwlink.Endpoint) {
	settings := s.config.Settings
	settings.Intake = s.config.Intake
	if settings.LinkAddress == "" {
		settings.LinkAddress = endpoint.Address()
	}
	entry := vwentry.Make(settings, hello.Incarnation, s.control, endpoint, s.config.Log)
	entry.Observe(s.observer)
	s.mu.Lock()
	s.entry = entry
	if !s.answerBy.IsZero() {
		entry.AnswerBy(s.answerBy)
	}
	s.mu.Unlock()
	s.callersHandler.set(entry.CallersHandler())
	s.operatorsHandler.set(MakeEntryOperatorsHandler(entry, s.metrics))
	s.router.entry.Store(entry)
	entry.Start()
}

func (s *entrySupervisor) current() *vwentry.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// answerAllBy sets the time by which the current entry, and one that replaces it, must have answered all requests.
func (s *entrySupervisor) answerAllBy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerBy = at
	s.entry.AnswerBy(at)
}

// announce forwards a new configuration version to the current entry, if there is one.
func (s *entrySupervisor) announce(version vwid.ConfigVersion) {
	if entry := s.current(); entry != nil {
		entry.Announce(version)
	}
}

// supervise replaces the entry whenever it loses its registration, until ctx ends.
func (s *entrySupervisor) supervise(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.current().RegistrationLost():
		}
		s.stopLostEntry(ctx)
		if !s.startNextEntry(ctx) {
			return
		}
	}
}

// stopLostEntry lets the entry that has lost its registration answer its requests, kills it and closes its links. It has
// already given up the jobs that another entry can take over. A stop of the process does not cut it short.
func (s *entrySupervisor) stopLostEntry(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lostAnswerTime+answerMargin)
	defer cancel()
	entry := s.current()
	entry.AnswerBy(time.Now().Add(lostAnswerTime))
	if err := entry.Drain(drainCtx); err != nil {
		s.config.Log.Warn("drain of the entry that lost its registration failed; its remaining requests are aborted", "error", err)
	}
	entry.Kill()
	_ = s.links.close()
}

// startNextEntry starts an entry with a new incarnation, and retries until the link address is bound. It returns
// false when ctx ends first.
func (s *entrySupervisor) startNextEntry(ctx context.Context) bool {
	for {
		hello, endpoint, err := s.openLinks()
		if err == nil {
			s.startEntry(hello, endpoint)
			s.config.Log.Info("entry replaced", "incarnation", string(hello.Incarnation))
			return true
		}
		s.config.Log.Error("cannot open link endpoint; retrying", "error", err)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(linkBindRetryInterval):
		}
	}
}
