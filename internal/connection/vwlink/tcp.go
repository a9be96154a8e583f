package vwlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// tcpReadBuffer is small because a process keeps a link to each agent, and TLS buffers whole records.
	tcpReadBuffer = 4 << 10
	// noKeepAlive leaves the detection of silent connections to Session, which is faster.
	noKeepAlive = -1
	// acceptPause is how long an endpoint waits after a link could not be accepted, for example because all
	// descriptors are in use.
	acceptPause = 100 * time.Millisecond
)

// TCPEndpoint dials and accepts links over TCP with TLS. It costs less processor time and memory for each
// link than QUIC, but one lost packet delays all messages of its link.
type TCPEndpoint struct {
	hello    vwmessage.Hello
	tls      *tls.Config
	timing   Timing
	dialer   net.Dialer
	listener net.Listener
	log      *slog.Logger
	group    *vwgroup.Group
	accepted chan Conn
	queues   *queueLimit
	// handshakes are those of accepted connections.
	handshakes handshakes
}

// MakeTCPEndpoint binds address, which may have port 0, and listens there. With an empty address the
// endpoint only dials. The certificate in config must name the process of hello as its common name; peers
// check that. Both ends of a link must have the same timing.
func MakeTCPEndpoint(address string, config *tls.Config, hello vwmessage.Hello, timing Timing, log *slog.Logger) (*TCPEndpoint, error) {
	e := &TCPEndpoint{
		hello:    hello,
		tls:      config,
		timing:   timing,
		dialer:   net.Dialer{KeepAlive: noKeepAlive},
		log:      log,
		group:    vwgroup.Make(context.Background()),
		accepted: make(chan Conn),
		queues:   makeQueueLimit(),
	}
	if address == "" {
		return e, nil
	}
	listening := net.ListenConfig{KeepAlive: noKeepAlive}
	listener, err := listening.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "binding link address %s", address)
	}
	e.listener = listener
	e.group.Run(e.acceptAll)
	return e, nil
}

// LimitQueues bounds what the links of the endpoint hold in memory for peers that read slowly. Each has at most half of it.
func (e *TCPEndpoint) LimitQueues(total vwunit.Bytes) {
	e.queues.set(total)
}

// Address returns the bound address, or an empty one when the endpoint only dials.
func (e *TCPEndpoint) Address() string {
	if e.listener == nil {
		return ""
	}
	return e.listener.Addr().String()
}

// Close ends all links and frees the address.
func (e *TCPEndpoint) Close() error {
	var err error
	if e.listener != nil {
		err = e.listener.Close()
	}
	_ = e.group.Stop()
	return trace.Wrap(err)
}

// Dial implements Dialer.
func (e *TCPEndpoint) Dial(ctx context.Context, address string) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	raw, err := e.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling %s: %v", address, err)
	}
	return e.open(ctx, raw, tls.Client(raw, e.tls), true)
}

// Accept implements Listener. A peer that fails the handshake is refused without an error here.
func (e *TCPEndpoint) Accept(ctx context.Context) (Conn, error) {
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
// no other. A failure to accept passes; without this loop the process would get no further links.
func (e *TCPEndpoint) acceptAll(ctx context.Context) {
	for {
		raw, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Error("link cannot be accepted", "address", e.Address(), "error", err)
			if vwgroup.Sleep(ctx, acceptPause) != nil {
				return
			}
			continue
		}
		if e.handshakes.begin(ctx, raw) != nil || !e.group.Run(func(ctx context.Context) { e.acceptOne(ctx, raw) }) {
			_ = raw.Close()
		}
	}
}

func (e *TCPEndpoint) acceptOne(ctx context.Context, raw net.Conn) {
	limited, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := e.open(limited, raw, tls.Server(raw, e.tls), false)
	e.handshakes.end(raw)
	if err != nil {
		return
	}
	select {
	case e.accepted <- conn:
	case <-ctx.Done():
		_ = conn.Close()
	}
}

// open shakes hands and exchanges hellos, of which the dialling end sends the first.
func (e *TCPEndpoint) open(ctx context.Context, raw net.Conn, secure *tls.Conn, dialled bool) (Conn, error) {
	conn, err := e.greet(ctx, raw, secure, dialled)
	if err != nil {
		_ = raw.Close()
		return nil, trace.ConnectionProblem(err, "opening a link with %s: %v", raw.RemoteAddr(), err)
	}
	return conn, nil
}

func (e *TCPEndpoint) greet(ctx context.Context, raw net.Conn, secure *tls.Conn, dialled bool) (Conn, error) {
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	if dialled {
		if err := writeHello(secure, e.hello); err != nil {
			return nil, err
		}
	}
	reader := bufio.NewReaderSize(secure, tcpReadBuffer)
	peer, err := readPeer(ctx, e.hello, secure, reader, secure.ConnectionState())
	if err != nil {
		return nil, err
	}
	// The end of a link closes the socket without a TLS alert, which would wait behind a blocked write.
	conn := makeStreamConn(peer, e.timing, dialled, secure, reader, raw.Close, e.queues)
	if !dialled {
		if err := writeHello(secure, e.hello); err != nil {
			return nil, err
		}
	}
	if !e.group.Run(conn.write) {
		return nil, trace.Wrap(ErrClosed)
	}
	return conn, nil
}
