package vwprocess

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/process/vwintake"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// stopTimeout bounds a graceful shutdown. It exceeds the longest time that a job may run.
	stopTimeout       = 6 * time.Minute
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request. Known callers send less than 2 KB.
	maxHeaderBytes = 64 << 10
	// idleTimeout exceeds that of usual load balancers, so that the balancer closes idle connections first.
	idleTimeout = 2 * time.Minute
	// newConnectionWait is how long a server that stops waits for the first request of a connection that it has accepted.
	newConnectionWait = time.Second
	// connectionPollInterval is the period at which a server that stops looks for the end of its connections.
	connectionPollInterval = 10 * time.Millisecond
)

// httpServer serves HTTP on a bound address. All methods accept a nil receiver and then do nothing.
type httpServer struct {
	listener    *vwintake.Listener
	server      *http.Server
	group       *vwgroup.Group
	connections connectionStates
	// inFlight counts the requests whose handlers run.
	inFlight atomic.Int64
}

// listenHTTP binds an address and serves it within the limits. With an empty address it returns nil.
func listenHTTP(address string, handler http.Handler, intake *vwintake.Budget, limits vwintake.Port) (*httpServer, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := listen(address)
	if err != nil {
		return nil, trace.Wrap(err, "binding %s", address)
	}
	s := &httpServer{listener: intake.Limit(listener, limits), group: vwgroup.Make(context.Background())}
	s.server = &http.Server{Handler: s.count(intake.Handle(handler)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.setState, ConnContext: withConn}
	return s, nil
}

// withConn is the ConnContext of the server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return vwintake.WithConn(vwcaller.WithConn(ctx, conn), conn)
}

// setState is the ConnState of the server.
func (s *httpServer) setState(conn net.Conn, state http.ConnState) {
	s.connections.set(conn, state)
	vwintake.SetState(conn, state)
}

func (s *httpServer) count(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// boundSockets limits what the operating system holds of the connections. A server serves without that as well.
func (s *httpServer) boundSockets(log *slog.Logger) {
	if s == nil {
		return
	}
	if err := s.listener.BoundSockets(); err != nil {
		log.Warn("what the operating system holds of connections is not bounded", "address", s.address(), "error", err)
	}
}

// requests returns the number of requests in flight.
func (s *httpServer) requests() int64 {
	if s == nil {
		return 0
	}
	return s.inFlight.Load()
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

// stop shuts the server down gracefully and waits for the requests in flight. http.Server.Shutdown drops a request that it
// reads after it was called, without an answer, so the port closes first, and the connections that were accepted before
// get the answer to what arrives over them until all have ended.
func (s *httpServer) stop(ctx context.Context) error {
	if s == nil {
		return nil
	}
	// From the moment at which the port is closed, each answer says that its connection closes.
	s.server.SetKeepAlivesEnabled(false)
	_ = s.listener.Close()
	_ = s.group.Wait()
	newUntil := time.Now().Add(newConnectionWait)
	for s.connections.areInUse(time.Now().Before(newUntil)) {
		if time.Now().After(newUntil) {
			// Bodies that hardly arrive and answers that nobody reads would keep the process until its bound.
			s.listener.EndSlow()
		}
		if err := vwgroup.Sleep(ctx, connectionPollInterval); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.server.Close())
}

func (s *httpServer) kill() {
	if s == nil {
		return
	}
	_ = s.server.Close()
	_ = s.listener.Close()
	_ = s.group.Stop()
}
