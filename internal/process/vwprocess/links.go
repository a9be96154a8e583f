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
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Transport is what links run over.
type Transport uint8

// The transports.
const (
	// QUIC is the default.
	QUIC Transport = iota
	// TCP runs TLS over TCP.
	TCP
)

// LinkConfig tells how the links of a process run. All processes of a cluster must have the same.
type LinkConfig struct {
	Transport Transport
	// Timing is for TCP; zero means the default.
	Timing vwlink.Timing
	// Log hears of links over TCP that cannot be accepted. Nil means nobody does.
	Log *slog.Logger
}

// timing returns the timing of the links.
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

// makeEndpoint opens an end of links. An empty address is only dialled from.
func (c LinkConfig) makeEndpoint(address string, keys vwkeys.Source, hello vwmessage.Hello) (vwlink.Endpoint, error) {
	tls, err := vwkeys.TLSConfig(keys, hello.Cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.Transport == TCP {
		return vwlink.MakeTCPEndpoint(address, tls, hello, c.timing(), c.logger())
	}
	return vwlink.MakeQUICEndpoint(address, tls, hello)
}

// links is a process's end of all its links. The endpoint is replaced together with the incarnation that
// it presents to peers; the address stays. It is the Dialer of parts that outlive one incarnation.
type links struct {
	config  LinkConfig
	keys    vwkeys.Source
	handler vwlink.Handler

	mu       sync.Mutex
	address  string
	socket   *net.UDPConn
	endpoint vwlink.Endpoint
	group    *vwgroup.Group
}

// makeLinks returns links on address. A socket that is bound already is used for the first endpoint.
func makeLinks(config LinkConfig, address string, socket *net.UDPConn, keys vwkeys.Source, handler vwlink.Handler) *links {
	return &links{config: config, address: address, socket: socket, keys: keys, handler: handler}
}

// open binds the address and serves links under the incarnation of hello.
func (l *links) open(hello vwmessage.Hello) (vwlink.Endpoint, error) {
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

func (l *links) bind(hello vwmessage.Hello) (vwlink.Endpoint, error) {
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

// Address returns the bound address, or the one to bind before open.
func (l *links) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Dial implements vwlink.Dialer.
func (l *links) Dial(ctx context.Context, address string) (vwlink.Conn, error) {
	l.mu.Lock()
	endpoint := l.endpoint
	l.mu.Unlock()
	if endpoint == nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, vwlink.ErrClosed)
	}
	return endpoint.Dial(ctx, address)
}

// close ends all links and frees the address. It may be called again.
func (l *links) close() error {
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
