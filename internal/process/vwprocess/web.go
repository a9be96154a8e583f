package vwprocess

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

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

func listenWeb(address string, handler http.Handler) (*webServer, error) {
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

// limit bounds the open connections; further ones wait. Zero means no limit.
func (s *webServer) limit(connections int) {
	if connections > 0 {
		s.listener = netutil.LimitListener(s.listener, connections)
	}
}

func (s *webServer) address() string {
	return s.listener.Addr().String()
}

func (s *webServer) start() {
	s.group.Run(func(context.Context) { _ = s.server.Serve(s.listener) })
}

// stop waits for the requests in progress.
func (s *webServer) stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	_ = s.group.Stop()
	return trace.Wrap(err)
}

func (s *webServer) kill() {
	_ = s.server.Close()
	_ = s.listener.Close()
	_ = s.group.Stop()
}
