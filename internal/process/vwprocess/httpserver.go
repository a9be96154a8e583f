package vwprocess

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// stopTimeout bounds a graceful shutdown. It exceeds the longest time that a job may run.
	stopTimeout       = 6 * time.Minute
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds that of usual load balancers, so that the balancer closes idle connections first.
	idleTimeout = 2 * time.Minute
)

// httpServer serves HTTP on a bound address. All methods accept a nil receiver and then do nothing.
type httpServer struct {
	listener net.Listener
	server   *http.Server
	group    *vwgroup.Group
}

// listenHTTP binds an address. With an empty one it returns nil.
func listenHTTP(address string, handler http.Handler) (*httpServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := listen(address)
	if err != nil {
		return nil, trace.Wrap(err, "binding %s", address)
	}
	return &httpServer{
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
		group:    vwgroup.Make(context.Background()),
	}, nil
}

func (s *httpServer) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

func (s *httpServer) start() {
	if s == nil {
		return
	}
	s.group.Run(func(context.Context) { _ = s.server.Serve(s.listener) })
}

// stop shuts the server down gracefully and waits for the requests in flight.
func (s *httpServer) stop(ctx context.Context) error {
	if s == nil {
		return nil
	}
	err := s.server.Shutdown(ctx)
	_ = s.group.Stop()
	return trace.Wrap(err)
}

func (s *httpServer) kill() {
	if s == nil {
		return
	}
	_ = s.server.Close()
	_ = s.listener.Close()
	_ = s.group.Stop()
}
