package vwprocess

import (
	"context"
	"net"
	"sync"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// links is a process's end of all its links. The endpoint is replaced together with the incarnation that
// it presents to peers; the address stays. It is the Dialer of parts that outlive one incarnation.
type links struct {
	keys    vwkeys.Source
	handler vwlink.Handler

	mu       sync.Mutex
	address  string
	socket   *net.UDPConn
	endpoint vwlink.Endpoint
	group    *vwgroup.Group
}

// makeLinks returns links on address. A socket that is bound already is used for the first endpoint.
func makeLinks(address string, socket *net.UDPConn, keys vwkeys.Source, handler vwlink.Handler) *links {
	return &links{address: address, socket: socket, keys: keys, handler: handler}
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
	tls, err := vwkeys.TLSConfig(l.keys, hello.Cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if socket := l.socket; socket != nil {
		l.socket = nil
		return vwlink.MakeQUICEndpointOn(socket, tls, hello)
	}
	return vwlink.MakeQUICEndpoint(l.address, tls, hello)
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

func makeEndpoint(address string, keys vwkeys.Source, hello vwmessage.Hello) (vwlink.Endpoint, error) {
	tls, err := vwkeys.TLSConfig(keys, hello.Cluster)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return vwlink.MakeQUICEndpoint(address, tls, hello)
}
