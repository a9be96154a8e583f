package vwlink

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// maxSpareBuffer is the largest write buffer that a link keeps for its next write. A burst of payloads must
// not stay in memory for the life of the link.
const maxSpareBuffer = 64 << 10

// deadliner is a stream whose reads can be bounded in time.
type deadliner interface {
	SetReadDeadline(deadline time.Time) error
}

// writeHello sends the first message of a link.
func writeHello(out io.Writer, hello vwmessage.Hello) error {
	hello.Revision = vwmessage.CurrentRevision
	envelope, err := vwmessage.Seal(&hello, 0, false)
	if err != nil {
		return err
	}
	frame, err := AppendFrame(nil, &envelope)
	if err != nil {
		return err
	}
	_, err = out.Write(frame)
	return trace.Wrap(err)
}

// readPeer reads the peer's hello within the time of ctx and checks it against the peer's certificate.
func readPeer(ctx context.Context, own vwmessage.Hello, stream deadliner, reader *bufio.Reader, state tls.ConnectionState) (Peer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetReadDeadline(deadline)
		defer func() { _ = stream.SetReadDeadline(time.Time{}) }()
	}
	hello, err := readHello(reader)
	if err != nil {
		return Peer{}, err
	}
	peer, err := CheckHello(own, hello)
	if err != nil {
		return Peer{}, err
	}
	if len(state.PeerCertificates) == 0 || vwid.Process(state.PeerCertificates[0].Subject.CommonName) != peer.Process {
		return Peer{}, trace.AccessDenied("peer claims to be process %q, which its certificate does not name", peer.Process)
	}
	return peer, nil
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

// streamConn is a link on one ordered stream of bytes. Messages queued while a write is under way go out
// together in the next one.
type streamConn struct {
	peer   Peer
	timing Timing
	// dialled is set if this end has dialled the link.
	dialled bool
	number  uint64
	out     io.Writer
	reader  *bufio.Reader
	// end closes the connection below the stream.
	end  func() error
	done chan struct{}
	wake chan struct{}
	// limit bounds the queues of all links of the endpoint.
	limit *queueLimit

	mu     sync.Mutex
	queue  []byte
	closed bool
}

func makeStreamConn(peer Peer, timing Timing, dialled bool, out io.Writer, reader *bufio.Reader, end func() error, limit *queueLimit) *streamConn {
	return &streamConn{peer: peer, timing: timing, dialled: dialled, number: lastNumber.Add(1), out: out, reader: reader, end: end, done: make(chan struct{}), wake: make(chan struct{}, 1), limit: limit}
}

// Peer implements Conn.
func (c *streamConn) Peer() Peer {
	return c.peer
}

// Timing implements Timed.
func (c *streamConn) Timing() Timing {
	return c.timing
}

// IsDialled implements Dialled.
func (c *streamConn) IsDialled() bool {
	return c.dialled
}

// Number implements Numbered.
func (c *streamConn) Number() uint64 {
	return c.number
}

// Send implements Conn. It never waits for the peer.
func (c *streamConn) Send(_ context.Context, envelope vwmessage.Envelope) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return trace.Wrap(ErrClosed)
	}
	queued := len(c.queue)
	if !c.limit.allows(queued) {
		return trace.LimitExceeded("peer %q does not read; %d bytes are queued for it, %d for all peers", c.peer.Process, queued, c.limit.queued.Load())
	}
	queue, err := AppendFrame(c.queue, &envelope)
	c.queue = queue
	c.limit.add(len(queue) - queued)
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
func (c *streamConn) write(ctx context.Context) {
	var batch []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.done:
			return
		case <-c.wake:
		}
		batch = c.takeQueue(batch)
		if len(batch) == 0 {
			continue
		}
		_, err := c.out.Write(batch)
		c.limit.add(-len(batch))
		if err != nil {
			_ = c.Close()
			return
		}
	}
}

// takeQueue swaps the queue for the storage of a batch that was sent.
func (c *streamConn) takeQueue(sent []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	if cap(sent) > maxSpareBuffer {
		sent = nil
	}
	c.queue = sent[:0]
	return batch
}

// Receive implements Conn. Close interrupts it.
func (c *streamConn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
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
func (c *streamConn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.limit.add(-len(c.queue))
	c.queue = nil
	c.mu.Unlock()
	if closed {
		return nil
	}
	close(c.done)
	return trace.Wrap(c.end())
}
