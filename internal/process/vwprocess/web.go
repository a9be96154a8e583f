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
	// stopTimeout bounds a graceful shutdown. It is above the longest time that a job may run.
	stopTimeout       = 6 * time.Minute
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is above that of usual balancers, so that the balancer closes idle connections first.
	idleTimeout = 2 * time.Minute
)

// webServer serves HTTP on a bound address.
type webServer struct {
	listener net.Listener
	server   *http.Server
	group    *vwgroup.Group
}

// listenWeb binds an address. With an empty one it returns nil, whose methods do nothing.
func listenWeb(address string, handler http.Handler) (*webServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := listen(address)
	if err != nil {
		return nil, trace.Wrap(err, "binding %s", address)
	}
	return &webServer{
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout},
		group:    vwgroup.Make(context.Background()),
	}, nil
}

func (s *webServer) address() string {
	if s == nil {
		return ""
	}
	return s.listener.Addr().String()
}

func (s *webServer) start() {
	if s == nil {
		return
	}
	s.group.Run(func(context.Context) { _ = s.server.Serve(s.listener) })
}

// stop waits for the requests in progress.
func (s *webServer) stop(ctx context.Context) error {
	if s == nil {
		return nil
	}
	err := s.server.Shutdown(ctx)
	_ = s.group.Stop()
	return trace.Wrap(err)
}

func (s *webServer) kill() {
	if s == nil {
		return
	}
	_ = s.server.Close()
	_ = s.listener.Close()
	_ = s.group.Stop()
}
