package vwlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// helloTimeout bounds the handshake, so that a peer that says nothing does not hold a link open.
	helloTimeout = 2 * time.Second
	// maxQueuedBytes bounds what one link holds in memory for a slow peer.
	maxQueuedBytes = 4 * vwmessage.MaxEnvelope
	readBuffer     = 64 << 10
)

const (
	closeNormal quic.ApplicationErrorCode = iota
	closeRefused
)

// Endpoint dials and accepts QUIC links through one UDP socket.
type Endpoint struct {
	hello     vwmessage.Hello
	tls       *tls.Config
	config    *quic.Config
	transport *quic.Transport
	socket    *net.UDPConn
	listener  *quic.Listener
	group     *vwgroup.Group
	accepted  chan Conn
}

// MakeEndpoint binds address, which may have port 0, and listens there. The certificate in config
// must name the process of hello as its common name; peers check that.
func MakeEndpoint(address string, config *tls.Config, hello vwmessage.Hello) (*Endpoint, error) {
	socket, err := Bind(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return MakeEndpointOn(socket, config, hello)
}

// Bind binds a UDP address, which may have port 0, for MakeEndpointOn. So a process can learn its
// address before it makes an endpoint.
func Bind(address string) (*net.UDPConn, error) {
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

// MakeEndpointOn makes an endpoint on a bound socket, which it owns from then on.
func MakeEndpointOn(socket *net.UDPConn, config *tls.Config, hello vwmessage.Hello) (*Endpoint, error) {
	e := &Endpoint{
		hello: hello,
		tls:   config,
		config: &quic.Config{
			HandshakeIdleTimeout: helloTimeout,
			// Session finds silence earlier; this bounds links that never reach a session.
			MaxIdleTimeout:     2 * SilenceTimeout,
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
func (e *Endpoint) Address() string {
	return e.socket.LocalAddr().String()
}

// Close ends all links and frees the socket.
func (e *Endpoint) Close() error {
	_ = e.listener.Close()
	err := e.transport.Close()
	_ = e.socket.Close()
	_ = e.group.Stop()
	return trace.Wrap(err)
}

// Dial implements Dialer.
func (e *Endpoint) Dial(ctx context.Context, address string) (Conn, error) {
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
	if err := e.writeHello(stream); err != nil {
		return nil, refuseConnection(connection, err)
	}
	return e.greet(ctx, connection, stream)
}

// Accept implements Listener. A peer that fails the handshake is refused without an error here.
func (e *Endpoint) Accept(ctx context.Context) (Conn, error) {
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
func (e *Endpoint) acceptAll(ctx context.Context) {
	for {
		connection, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		e.group.Run(func(ctx context.Context) { e.acceptOne(ctx, connection) })
	}
}

func (e *Endpoint) acceptOne(ctx context.Context, connection *quic.Conn) {
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

func (e *Endpoint) acceptHello(ctx context.Context, connection *quic.Conn) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := connection.AcceptStream(ctx)
	if err != nil {
		return nil, refuseConnection(connection, err)
	}
	conn, err := e.greet(ctx, connection, stream)
	if err != nil {
		return nil, err
	}
	if err := e.writeHello(stream); err != nil {
		return nil, refuseConnection(connection, err)
	}
	return conn, nil
}

func (e *Endpoint) writeHello(stream *quic.Stream) error {
	envelope, err := vwmessage.Seal(&e.hello, 0, false)
	if err != nil {
		return err
	}
	frame, err := AppendFrame(nil, &envelope)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return trace.Wrap(err)
}

// greet reads the peer's hello and checks it against the peer's certificate.
func (e *Endpoint) greet(ctx context.Context, connection *quic.Conn, stream *quic.Stream) (Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetReadDeadline(deadline)
	}
	reader := bufio.NewReaderSize(stream, readBuffer)
	hello, err := readHello(reader)
	if err != nil {
		return nil, refuseConnection(connection, err)
	}
	peer, err := CheckHello(e.hello, hello)
	if err != nil {
		return nil, refuseConnection(connection, err)
	}
	certificates := connection.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 || vwid.Process(certificates[0].Subject.CommonName) != peer.Process {
		return nil, refuseConnection(connection, trace.AccessDenied("peer claims to be process %q, which its certificate does not name", peer.Process))
	}
	_ = stream.SetReadDeadline(time.Time{})
	conn := &quicConn{peer: peer, connection: connection, stream: stream, reader: reader, wake: make(chan struct{}, 1)}
	if !e.group.Run(conn.write) {
		return nil, refuseConnection(connection, ErrClosed)
	}
	return conn, nil
}

func readHello(reader *bufio.Reader) (vwmessage.Hello, error) {
	envelope, err := ReadFrame(reader)
	if err != nil {
		return vwmessage.Hello{}, err
	}
	body, err := vwmessage.Open(envelope)
	if err != nil {
		return vwmessage.Hello{}, err
	}
	hello, ok := body.(*vwmessage.Hello)
	if !ok {
		return vwmessage.Hello{}, trace.BadParameter("first message has kind %d instead of a hello", envelope.Kind)
	}
	return *hello, nil
}

func refuseConnection(connection *quic.Conn, cause error) error {
	_ = connection.CloseWithError(closeRefused, cause.Error())
	return trace.Wrap(cause)
}

// quicConn is a link on one QUIC stream. Messages queued while a write is under way go out together
// in the next one.
type quicConn struct {
	peer       Peer
	connection *quic.Conn
	stream     *quic.Stream
	reader     *bufio.Reader
	wake       chan struct{}

	mu     sync.Mutex
	queue  []byte
	closed bool
}

// Peer implements Conn.
func (c *quicConn) Peer() Peer {
	return c.peer
}

// Send implements Conn. It never waits for the peer.
func (c *quicConn) Send(_ context.Context, envelope vwmessage.Envelope) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return trace.Wrap(ErrClosed)
	}
	if len(c.queue) > maxQueuedBytes {
		return trace.LimitExceeded("peer %q does not read; %d bytes are queued", c.peer.Process, len(c.queue))
	}
	queue, err := AppendFrame(c.queue, &envelope)
	c.queue = queue
	if err != nil {
		return err
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// write sends what is queued until the link ends. A message in a failed write may have reached the
// peer; its sender hears of the failure by the end of the link.
func (c *quicConn) write(ctx context.Context) {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.connection.Context().Done():
			return
		case <-c.wake:
		}
		batch = c.takeQueue(batch)
		if len(batch) == 0 {
			continue
		}
		if _, err := c.stream.Write(batch); err != nil {
			_ = c.Close()
			return
		}
	}
}

// takeQueue swaps the queue for the storage of a batch that was sent.
func (c *quicConn) takeQueue(sent []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	if cap(sent) > readBuffer {
		sent = nil
	}
	c.queue = sent[:0]
	return batch
}

// Receive implements Conn. Close interrupts it.
func (c *quicConn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
	if err := ctx.Err(); err != nil {
		return vwmessage.Envelope{}, err
	}
	envelope, err := ReadFrame(c.reader)
	if err != nil {
		_ = c.Close()
		return vwmessage.Envelope{}, errors.Join(ErrClosed, err)
	}
	return envelope, nil
}

// Close implements Conn. Queued messages are dropped.
func (c *quicConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return trace.Wrap(c.connection.CloseWithError(closeNormal, ""))
}
