package vwprocess

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// Service is an HTTP interface beside the product's own, for example the one that an installation's platform
// speaks.
type Service struct {
	Address string
	Handler http.Handler
	// Bounds returns what bounds requests. It is asked once, when the service begins to listen. Nil means the defaults.
	Bounds func() Bounds
	// Connections bounds the open connections; further ones wait. Zero means no limit.
	Connections int
	// Serves tells whether the interface can be of use yet. Until it is, nothing listens, so that callers who find
	// the address closed try again instead of being refused. Nil means from the start.
	Serves func() bool
	// Optional tells that the process works without the interface. An address that is taken then keeps it from
	// nothing else, and is tried again until it is free.
	Optional bool
}

// Bounds bound the requests of a service. Zero takes the default of each.
type Bounds struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const (
	// serveInterval is how often a service that does not listen yet is asked again.
	serveInterval = 5 * time.Millisecond
	// bindInterval is the pause after an address could not be bound.
	bindInterval = time.Second
)

// services are the services of a process.
type services struct {
	configs []Service
	log     *slog.Logger
	group   *vwgroup.Group

	mu sync.Mutex
	// running holds the server of each config, nil while that does not listen.
	running []*webServer
	closed  bool
}

// listenOptional binds the address of one interface that the process works without, if it has one.
func listenOptional(address string, handler http.Handler, log *slog.Logger) (*services, error) {
	if address == "" {
		return listenServices(nil, log)
	}
	return listenServices([]Service{{Address: address, Handler: handler, Optional: true}}, log)
}

// listenServices binds the addresses of all services that must listen from the start, or none.
func listenServices(configs []Service, log *slog.Logger) (*services, error) {
	s := &services{configs: configs, log: log, group: vwgroup.Make(context.Background()), running: make([]*webServer, len(configs))}
	for i := range configs {
		if configs[i].Serves != nil {
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

// listen binds the address of one service.
func (s *services) listen(i int) error {
	config := &s.configs[i]
	server, err := listenWeb(config.Address, config.Handler)
	if err != nil {
		return trace.Wrap(err)
	}
	server.limit(config.Connections)
	if config.Bounds != nil {
		server.bound(config.Bounds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		server.kill()
		return nil
	}
	s.running[i] = server
	return nil
}

// all returns the servers of the services, nil for those that do not listen.
func (s *services) all() []*webServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.running)
}

// servers returns the servers of the services that listen.
func (s *services) servers() []*webServer {
	return slices.DeleteFunc(s.all(), func(server *webServer) bool { return server == nil })
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
	addresses := make([]string, len(s.running))
	for i, server := range s.running {
		addresses[i] = server.address()
	}
	return addresses
}

func (s *services) start() {
	for i, server := range s.all() {
		if server != nil {
			server.start()
		} else {
			s.group.Run(func(ctx context.Context) { s.startWhenServing(ctx, i) })
		}
	}
}

// startWhenServing begins to listen once the service is of use.
func (s *services) startWhenServing(ctx context.Context, i int) {
	for serves := s.configs[i].Serves; serves != nil && !serves(); {
		if vwgroup.Sleep(ctx, serveInterval) != nil {
			return
		}
	}
	for tries := 0; ; tries++ {
		err := s.listen(i)
		if err == nil {
			break
		}
		// The address is tried until it is free, and told of once.
		if tries == 0 && !s.configs[i].Optional {
			s.log.Error("address cannot be bound", "address", s.configs[i].Address, "error", err)
		}
		if vwgroup.Sleep(ctx, bindInterval) != nil {
			return
		}
	}
	s.mu.Lock()
	server := s.running[i]
	s.mu.Unlock()
	server.start()
	s.log.Info("service listens", "address", s.configs[i].Address)
}

// stop waits for the requests in progress of all services.
func (s *services) stop(ctx context.Context) error {
	s.close()
	servers := s.servers()
	errs := make([]error, len(servers))
	group := vwgroup.Make(context.Background())
	for i, server := range servers {
		group.Run(func(context.Context) { errs[i] = server.stop(ctx) })
	}
	_ = group.Wait()
	return trace.NewAggregate(errs...)
}

// close keeps services that do not listen yet from beginning to.
func (s *services) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.group.Stop()
}

func (s *services) kill() {
	if s == nil {
		return
	}
	s.close()
	for _, server := range s.servers() {
		server.kill()
	}
}

// bound sets the bounds of requests.
func (s *webServer) bound(bounds Bounds) {
	if s == nil {
		return
	}
	if bounds.HeaderBytes > 0 {
		s.server.MaxHeaderBytes = bounds.HeaderBytes
	}
	if bounds.HeaderTimeout > 0 {
		s.server.ReadHeaderTimeout = bounds.HeaderTimeout
	}
	if bounds.IdleTimeout > 0 {
		s.server.IdleTimeout = bounds.IdleTimeout
	}
}

// limit bounds the open connections; further ones wait. Zero means no limit.
func (s *webServer) limit(connections int) {
	if s != nil && connections > 0 {
		s.listener = netutil.LimitListener(s.listener, connections)
	}
}
