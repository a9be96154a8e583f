package vwlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// helloTimeout bounds the handshake, so that a peer that says nothing does not hold a link open.
	helloTimeout = 2 * time.Second
	// quicReadBuffer lets a burst of payloads be read in few calls.
	quicReadBuffer = 64 << 10
)

const (
	closeNormal quic.ApplicationErrorCode = iota
	closeRefused
)

// QUICEndpoint dials and accepts QUIC links through one UDP socket.
type QUICEndpoint struct {
	hello     vwmessage.Hello
	tls       *tls.Config
	config    *quic.Config
	transport *quic.Transport
	socket    *net.UDPConn
	listener  *quic.Listener
	group     *vwgroup.Group
	accepted  chan Conn
	queues    *queueLimit
}

// MakeQUICEndpoint binds address, which may have port 0, and listens there. The certificate in config
// must name the process of hello as its common name; peers check that.
func MakeQUICEndpoint(address string, config *tls.Config, hello vwmessage.Hello) (*QUICEndpoint, error) {
	socket, err := BindQUIC(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return MakeQUICEndpointOn(socket, config, hello)
}

// BindQUIC binds a UDP address, which may have port 0, for MakeQUICEndpointOn. So a process can learn its
// address before it makes an endpoint.
func BindQUIC(address string) (*net.UDPConn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.BadParameter("link address %q: %v", address, err)
	}
	socket, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "binding link address %s", address)
	}
	return socket, nil
}

// MakeQUICEndpointOn makes an endpoint on a bound socket, which it owns from then on.
func MakeQUICEndpointOn(socket *net.UDPConn, config *tls.Config, hello vwmessage.Hello) (*QUICEndpoint, error) {
	e := &QUICEndpoint{
		hello:  hello,
		tls:    config,
		queues: makeQueueLimit(),
		config: &quic.Config{
			HandshakeIdleTimeout: helloTimeout,
			// Session finds silence earlier; this bounds links that never reach a session.
			MaxIdleTimeout:     2 * DefaultTiming.Silence,
			MaxIncomingStreams: 1,
			// A job's payloads arrive in one burst.
			InitialStreamReceiveWindow:     1 << 20,
			MaxStreamReceiveWindow:         vwmessage.MaxEnvelope,
			InitialConnectionReceiveWindow: 2 << 20,
			MaxConnectionReceiveWindow:     2 * vwmessage.MaxEnvelope,
		},
		transport: &quic.Transport{Conn: socket},
		socket:    socket,
		group:     vwgroup.Make(context.Background()),
		accepted:  make(chan Conn),
	}
	listener, err := e.transport.Listen(config, e.config)
	if err != nil {
		_ = socket.Close()
		return nil, trace.Wrap(err)
	}
	e.listener = listener
	e.group.Run(e.acceptAll)
	return e, nil
}

// Address returns the bound address.
func (e *QUICEndpoint) Address() string {
	return e.socket.LocalAddr().String()
}

// Close ends all links and frees the socket.
func (e *QUICEndpoint) Close() error {
	_ = e.listener.Close()
	err := e.transport.Close()
	_ = e.socket.Close()
	_ = e.group.Stop()
	return trace.Wrap(err)
}

// Dial implements Dialer.
func (e *QUICEndpoint) Dial(ctx context.Context, address string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.BadParameter("link address %q: %v", address, err)
	}
	connection, err := e.transport.Dial(ctx, resolved, e.tls, e.config)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling %s: %v", address, err)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, refuseConnection(connection, err)
	}
	if err := writeHello(stream, e.hello); err != nil {
		return nil, refuseConnection(connection, err)
	}
	return e.greet(ctx, connection, stream, true)
}

// Accept implements Listener. A peer that fails the handshake is refused without an error here.
func (e *QUICEndpoint) Accept(ctx context.Context) (Conn, error) {
	select {
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	case <-e.group.Context().Done():
		return nil, trace.Wrap(ErrClosed)
	case conn := <-e.accepted:
		return conn, nil
	}
}

// acceptAll shakes hands with each peer in a goroutine of its own, so that one that says nothing delays
// no other.
func (e *QUICEndpoint) acceptAll(ctx context.Context) {
	for {
		connection, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		e.group.Run(func(ctx context.Context) { e.acceptOne(ctx, connection) })
	}
}

func (e *QUICEndpoint) acceptOne(ctx context.Context, connection *quic.Conn) {
	conn, err := e.acceptHello(ctx, connection)
	if err != nil {
		return
	}
	select {
	case e.accepted <- conn:
	case <-ctx.Done():
		_ = conn.Close()
	}
}

func (e *QUICEndpoint) acceptHello(ctx context.Context, connection *quic.Conn) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := connection.AcceptStream(ctx)
	if err != nil {
		return nil, refuseConnection(connection, err)
	}
	conn, err := e.greet(ctx, connection, stream, false)
	if err != nil {
		return nil, err
	}
	if err := writeHello(stream, e.hello); err != nil {
		return nil, refuseConnection(connection, err)
	}
	return conn, nil
}

// greet reads the peer's hello and makes the link.
func (e *QUICEndpoint) greet(ctx context.Context, connection *quic.Conn, stream *quic.Stream, dialled bool) (Conn, error) {
	reader := bufio.NewReaderSize(stream, quicReadBuffer)
	peer, err := readPeer(ctx, e.hello, stream, reader, connection.ConnectionState().TLS)
	if err != nil {
		return nil, refuseConnection(connection, err)
	}
	conn := makeStreamConn(peer, DefaultTiming, dialled, stream, reader, func() error {
		return connection.CloseWithError(closeNormal, "")
	}, e.queues)
	if !e.group.Run(conn.write) {
		return nil, refuseConnection(connection, ErrClosed)
	}
	return conn, nil
}

func refuseConnection(connection *quic.Conn, cause error) error {
	_ = connection.CloseWithError(closeRefused, cause.Error())
	return trace.Wrap(cause)
}
