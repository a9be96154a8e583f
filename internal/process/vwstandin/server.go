package vwstandin

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Config says what a stand-in is.
type Config struct {
	// Worker is the name of the agent process beside the stand-in.
	Worker     vwid.Process
	DataCentre vwid.DataCentre
	Service    vwid.Service
	Slots      int
	// Agent is the base URL of the agent, such as http://127.0.0.1:7001. Empty announces nothing.
	Agent string
	// Listen is the TCP address to serve on; empty takes a free port on loopback.
	Listen string
	Log    *slog.Logger
	// Transport reaches the agent; nil is the standard one.
	Transport http.RoundTripper
}

// Server is a Backend on a TCP address that announces itself to its agent.
type Server struct {
	*Backend
	announcer announcer
	listener  net.Listener
	http      *http.Server
	group     *vwgroup.Group
}

// Serve starts a stand-in. The caller ends it with Stop or Kill.
func Serve(ctx context.Context, config Config) (*Server, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", config.Listen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := makeServer(ctx, config, "http://"+listener.Addr().String())
	server.listener = listener
	server.group.Run(func(context.Context) { _ = server.http.Serve(listener) })
	if config.Agent != "" {
		server.group.Run(server.announce)
	}
	return server, nil
}

func makeServer(ctx context.Context, config Config, address string) *Server {
	server := &Server{
		Backend: MakeBackend(config),
		announcer: announcer{
			client:  &http.Client{Transport: config.Transport},
			agent:   config.Agent,
			message: Announcement{Service: config.Service, Address: address, Slots: config.Slots},
		},
		group: vwgroup.Make(ctx),
	}
	server.addControl()
	server.http = &http.Server{Handler: server.Backend}
	return server
}

// Address returns the base URL of the stand-in.
func (s *Server) Address() string {
	return s.announcer.message.Address
}

// Leave tells the agent that the server is leaving and ends the announcements. Tasks go on.
func (s *Server) Leave(ctx context.Context) error {
	if !s.log.leave() || s.announcer.agent == "" {
		return nil
	}
	return trace.Wrap(s.announcer.leave(ctx))
}

// Return resumes the announcements after Leave.
func (s *Server) Return() {
	s.log.comeBack()
}

// Stop leaves, waits for the running tasks until ctx ends, and stops serving.
func (s *Server) Stop(ctx context.Context) error {
	return trace.NewAggregate(s.Leave(ctx), s.http.Shutdown(ctx), s.group.Stop())
}

// Kill stops at once, as a crash does. Running tasks are aborted and the agent is told nothing.
func (s *Server) Kill() error {
	return trace.NewAggregate(s.http.Close(), s.group.Stop())
}

func (s *Server) announce(ctx context.Context) {
	active := func() bool { return !s.log.isLeaving() }
	s.announcer.run(ctx, active, func(err error) {
		s.config.Log.Warn("the agent did not take the announcement", "agent", s.announcer.agent, "error", err)
	})
}

// addControl adds the resources with which a load tool makes the server leave and return.
func (s *Server) addControl() {
	s.router.POST("/Leave", func(c *gin.Context) {
		if err := s.Leave(c.Request.Context()); err != nil {
			c.String(http.StatusBadGateway, trace.UserMessage(err))
			return
		}
		c.Status(http.StatusNoContent)
	})
	s.router.POST("/Return", func(c *gin.Context) {
		s.Return()
		c.Status(http.StatusNoContent)
	})
}
