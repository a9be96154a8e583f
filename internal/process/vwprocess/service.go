package vwprocess

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Service is an additional HTTP interface of a process, for example one in the protocol of the platform that an
// installation runs on.
type Service struct {
	Address string
	Handler http.Handler
	// RequestLimits returns the request limits. It is called once, when the service begins to listen. Nil means the
	// defaults.
	RequestLimits func() RequestLimits
	// Limits are the limits of the connections. Further ones wait until one has been closed.
	Limits vwintake.Port
	// ReadyToListen reports whether the service is ready. Until then its port stays closed, so that clients retry
	// instead of getting an error response. Nil means ready from the start.
	ReadyToListen func() bool
	// Optional lets the process start without the service when the address is in use. Binding is retried until it
	// succeeds.
	Optional bool
}

// RequestLimits are the request limits of a service. A zero field means its default.
type RequestLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const (
	// readinessPollInterval is the period of calls of Service.ReadyToListen before a service listens.
	readinessPollInterval = 5 * time.Millisecond
	// bindRetryInterval is the delay between attempts to bind an address.
	bindRetryInterval = time.Second
)

// operatorsLimits are the limits of the connections for health, metrics and profiles, and of those of a backend server. Metrics take
// some tens of KB.
var operatorsLimits = vwintake.Port{Connections: 256, MemoryPart: 1.0 / 4, AnswerBytes: 64 * vwunit.KiB}

// services runs the HTTP services of a process.
type services struct {
	configs []Service
	intake  *vwintake.Budget
	log     *slog.Logger
	group   *vwgroup.Group

	mu sync.Mutex
	// servers holds the server of each config, nil while its service does not listen.
	servers []*httpServer
	closed  bool
}

// listenOptional binds the address of a single optional service. With an empty address there is no service.
func listenOptional(address string, handler http.Handler, intake *vwintake.Budget, log *slog.Logger) (*services, error) {
	if address == "" {
		return listenServices(nil, intake, log)
	}
	return listenServices([]Service{{Address: address, Handler: handler, Limits: operatorsLimits, Optional: true}}, intake, log)
}

// listenServices binds the addresses of all services without ReadyToListen. If one that is not optional cannot be
// bound, none stays bound.
func listenServices(configs []Service, intake *vwintake.Budget, log *slog.Logger) (*services, error) {
	s := &services{configs: configs, intake: intake, log: log, group: vwgroup.Make(context.Background()), servers: make([]*httpServer, len(configs))}
	for i := range configs {
		if configs[i].ReadyToListen != nil {
			continue
		}
		err := s.listen(i)
		if err != nil && !configs[i].Optional {
			s.kill()
			return nil, trace.Wrap(err)
		}
		if err != nil {
			s.log.Error("address cannot be bound; the process goes on without", "address", configs[i].Address, "error", err)
		}
	}
	return s, nil
}

// listen binds the address of service i, unless the services are closed.
func (s *services) listen(i int) error {
	config := &s.configs[i]
	server, err := listenHTTP(config.Address, config.Handler, s.intake, config.Limits)
	if err != nil {
		return trace.Wrap(err)
	}
	server.boundSockets(s.log)
	if config.RequestLimits != nil {
		server.setRequestLimits(config.RequestLimits())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		server.kill()
		return nil
	}
	s.servers[i] = server
	return nil
}

// slots returns the server of each service, nil for those that do not listen.
func (s *services) slots() []*httpServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.servers)
}

// listeningServers returns the servers of the services that listen.
func (s *services) listeningServers() []*httpServer {
	return slices.DeleteFunc(s.slots(), func(server *httpServer) bool { return server == nil })
}

// address returns the bound address of the first service, or an empty one.
func (s *services) address() string {
	for _, address := range s.addresses() {
		return address
	}
	return ""
}

// addresses returns the bound addresses in the order of the configs, empty ones for those that do not listen yet.
func (s *services) addresses() []string {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make([]string, len(s.servers))
	for i, server := range s.servers {
		addresses[i] = server.address()
	}
	return addresses
}

func (s *services) start() {
	for i, server := range s.slots() {
		if server != nil {
			server.start()
		} else {
			s.group.Run(func(ctx context.Context) { s.listenWhenReady(ctx, i) })
		}
	}
}

// listenWhenReady waits until service i is ready, binds its address and serves it. It retries until the address is
// bound or ctx ends.
func (s *services) listenWhenReady(ctx context.Context, i int) {
	for ready := s.configs[i].ReadyToListen; ready != nil && !ready(); {
		if vwgroup.Sleep(ctx, readinessPollInterval) != nil {
			return
		}
	}
	for attempts := 0; ; attempts++ {
		err := s.listen(i)
		if err == nil {
			break
		}
		// Logged once, not for each attempt, and not for optional services. listenServices has logged the first
		// failure of those without ReadyToListen.
		if attempts == 0 && !s.configs[i].Optional {
			s.log.Error("address cannot be bound", "address", s.configs[i].Address, "error", err)
		}
		if vwgroup.Sleep(ctx, bindRetryInterval) != nil {
			return
		}
	}
	s.mu.Lock()
	server := s.servers[i]
	s.mu.Unlock()
	server.start()
	s.log.Info("service listens", "address", s.configs[i].Address)
}

// stop shuts all services down gracefully and waits for the requests in flight.
func (s *services) stop(ctx context.Context) error {
	s.cancelPending()
	servers := s.listeningServers()
	errs := make([]error, len(servers))
	group := vwgroup.Make(context.Background())
	for i, server := range servers {
		group.Run(func(context.Context) { errs[i] = server.stop(ctx) })
	}
	_ = group.Wait()
	return trace.NewAggregate(errs...)
}

// requests returns the number of requests in flight.
func (s *services) requests() int64 {
	if s == nil {
		return 0
	}
	sum := int64(0)
	for _, server := range s.listeningServers() {
		sum += server.requests()
	}
	return sum
}

// cancelPending prevents services that do not listen yet from starting to listen.
func (s *services) cancelPending() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.group.Stop()
}

func (s *services) kill() {
	if s == nil {
		return
	}
	s.cancelPending()
	for _, server := range s.listeningServers() {
		server.kill()
	}
}

// setRequestLimits applies the limits that are not zero.
func (s *httpServer) setRequestLimits(limits RequestLimits) {
	if s == nil {
		return
	}
	if limits.HeaderBytes > 0 {
		s.server.MaxHeaderBytes = limits.HeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		s.server.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		s.server.IdleTimeout = limits.IdleTimeout
	}
}
