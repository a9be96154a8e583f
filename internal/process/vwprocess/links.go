package vwprocess

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Transport is the transport protocol of links.
type Transport uint8

// The supported transports.
const (
	// QUIC is the default transport.
	QUIC Transport = iota
	// TCP selects TLS over TCP.
	TCP
)

// LinkConfig configures the transport of a process's links. All processes of a cluster must use the same.
type LinkConfig struct {
	Transport Transport
	// Timing applies to TCP only; zero means vwlink.DefaultTiming.
	Timing vwlink.Timing
	// QueuedBytes bounds what all links hold for peers that read slowly. It applies to TCP only; zero means the default of vwlink.
	QueuedBytes vwunit.Bytes
	// Log receives the errors of accepting links over TCP. Nil discards them.
	Log *slog.Logger
}

// timing returns the effective timing of the links.
func (c LinkConfig) timing() vwlink.Timing {
	if c.Transport == QUIC || c.Timing == (vwlink.Timing{}) {
		return vwlink.DefaultTiming
	}
	return c.Timing
}

func (c LinkConfig) logger() *slog.Logger {
	if c.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return c.Log
}

// makeEndpoint opens a link endpoint. With an empty address the endpoint can only dial.
func (c LinkConfig) makeEndpoint(address string, keys vwkeys.Source, hello vwmessage.Hello) (vwlink.Endpoint, error) {
	tls, err := vwkeys.TLSConfig(keys, hello.Cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.Transport == TCP {
		endpoint, err := vwlink.MakeTCPEndpoint(address, tls, hello, c.timing(), c.logger())
		if err != nil {
			return nil, err
		}
		if c.QueuedBytes > 0 {
			endpoint.LimitQueues(c.QueuedBytes)
		}
		return endpoint, nil
	}
	return vwlink.MakeQUICEndpoint(address, tls, hello)
}

// linkEndpoint is the endpoint of all links of a process. The underlying vwlink.Endpoint is replaced together with
// the incarnation that it presents to peers, on the same address. Components that outlive an incarnation dial through
// it.
type linkEndpoint struct {
	config  LinkConfig
	keys    vwkeys.Source
	handler vwlink.Handler

	mu       sync.Mutex
	address  string
	socket   *net.UDPConn
	endpoint vwlink.Endpoint
	group    *vwgroup.Group
}

// makeLinkEndpoint returns an endpoint for address that is not open yet. A bound socket may be given for the first
// open.
func makeLinkEndpoint(config LinkConfig, address string, socket *net.UDPConn, keys vwkeys.Source, handler vwlink.Handler) *linkEndpoint {
	return &linkEndpoint{config: config, address: address, socket: socket, keys: keys, handler: handler}
}

// open binds the address and serves links with the incarnation of hello.
func (l *linkEndpoint) open(hello vwmessage.Hello) (vwlink.Endpoint, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endpoint, err := l.bind(hello)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.address, l.endpoint = endpoint.Address(), endpoint
	l.group = vwgroup.Make(context.Background())
	l.group.Run(func(ctx context.Context) { _ = vwlink.Serve(ctx, endpoint, l.handler) })
	return endpoint, nil
}

func (l *linkEndpoint) bind(hello vwmessage.Hello) (vwlink.Endpoint, error) {
	socket := l.socket
	if socket == nil {
		return l.config.makeEndpoint(l.address, l.keys, hello)
	}
	l.socket = nil
	tls, err := vwkeys.TLSConfig(l.keys, hello.Cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return vwlink.MakeQUICEndpointOn(socket, tls, hello)
}

// Address returns the bound address, or before open the address to bind.
func (l *linkEndpoint) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Dial implements vwlink.Dialer.
func (l *linkEndpoint) Dial(ctx context.Context, address string) (vwlink.Conn, error) {
	l.mu.Lock()
	endpoint := l.endpoint
	l.mu.Unlock()
	if endpoint == nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, vwlink.ErrClosed)
	}
	return endpoint.Dial(ctx, address)
}

// close ends all links and releases the address. It is idempotent.
func (l *linkEndpoint) close() error {
	l.mu.Lock()
	endpoint, group, socket := l.endpoint, l.group, l.socket
	l.endpoint, l.group, l.socket = nil, nil, nil
	l.mu.Unlock()
	if socket != nil {
		return trace.Wrap(socket.Close())
	}
	if endpoint == nil {
		return nil
	}
	err := endpoint.Close()
	_ = group.Stop()
	return trace.Wrap(err)
}
