package vwprocess

import (
	"context"
	"net/http"
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
	// HeaderBytes, HeaderTimeout and IdleTimeout bound requests; zero takes the defaults.
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Connections bounds the open connections; further ones wait. Zero means no limit.
	Connections int
}

// services are the running services of a process.
type services struct {
	running []*webServer
}

// listenServices binds all addresses, or none.
func listenServices(configs []Service) (*services, error) {
	s := &services{}
	for _, config := range configs {
		server, err := listenWeb(config.Address, config.Handler)
		if err != nil {
			s.kill()
			return nil, trace.Wrap(err)
		}
		server.limit(config.Connections)
		server.bound(config)
		s.running = append(s.running, server)
	}
	return s, nil
}

// addresses returns the bound addresses in the order of the configs.
func (s *services) addresses() []string {
	var addresses []string
	if s != nil {
		for _, server := range s.running {
			addresses = append(addresses, server.address())
		}
	}
	return addresses
}

func (s *services) start() {
	for _, server := range s.running {
		server.start()
	}
}

// stop waits for the requests in progress of all services.
func (s *services) stop(ctx context.Context) error {
	errs := make([]error, len(s.running))
	group := vwgroup.Make(context.Background())
	for i, server := range s.running {
		group.Run(func(context.Context) { errs[i] = server.stop(ctx) })
	}
	_ = group.Wait()
	return trace.NewAggregate(errs...)
}

func (s *services) kill() {
	if s == nil {
		return
	}
	for _, server := range s.running {
		server.kill()
	}
}

// bound sets the bounds of a service.
func (s *webServer) bound(config Service) {
	if s == nil {
		return
	}
	if config.HeaderBytes > 0 {
		s.server.MaxHeaderBytes = config.HeaderBytes
	}
	if config.HeaderTimeout > 0 {
		s.server.ReadHeaderTimeout = config.HeaderTimeout
	}
	if config.IdleTimeout > 0 {
		s.server.IdleTimeout = config.IdleTimeout
	}
}

// limit bounds the open connections; further ones wait. Zero means no limit.
func (s *webServer) limit(connections int) {
	if s != nil && connections > 0 {
		s.listener = netutil.LimitListener(s.listener, connections)
	}
}
