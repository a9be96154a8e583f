package vwintake

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// receiveOption is the size of receive buffers as the operating system is asked for it. It doubles the value, and a peer may
	// send receiveBytes before anything is read.
	receiveOption = 8 << 10
	receiveBytes  = 12 * vwunit.KiB
	// unreadPollInterval and maxUnreadPollInterval are the shortest and the longest pause between looks at what a caller has not read.
	unreadPollInterval    = time.Millisecond
	maxUnreadPollInterval = 20 * time.Millisecond
)

// BoundSockets limits what the operating system holds of the connections to the listener: what they have sent and the process has not
// read, how many wait to be accepted, and for how long a peer that takes nothing is kept. It has to be called before connections
// come, as they announce the size of their buffers when they open.
func (l *Listener) BoundSockets() error {
	return control(l.Listener, func(descriptor int) error {
		return trace.NewAggregate(
			os.NewSyscallError("SO_RCVBUF", unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveOption)),
			os.NewSyscallError("TCP_USER_TIMEOUT", unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))),
			os.NewSyscallError("listen", unix.Listen(descriptor, cap(l.slots))),
		)
	})
}

// control calls use with the descriptor of a socket.
func control(socket any, use func(descriptor int) error) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return trace.NotImplemented("the socket has no descriptor")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var useErr error
	err = raw.Control(func(descriptor uintptr) { useErr = use(int(descriptor)) })
	return trace.NewAggregate(err, useErr)
}

// unreadBytes returns what the connection has written and the peer has not acknowledged, and false if that is not known. A connection
// that was reset has nothing unread, though the operating system still reports what it had.
func (c *Conn) unreadBytes() (int, bool) {
	queued := 0
	err := control(c.Conn, func(descriptor int) (err error) {
		events := []unix.PollFd{{Fd: int32(descriptor)}}
		if _, err = unix.Poll(events, 0); err != nil || events[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0 {
			return err
		}
		queued, err = unix.IoctlGetInt(descriptor, unix.TIOCOUTQ)
		return err
	})
	return queued, err == nil
}

// makeRoom waits until the peer has read enough of earlier answers that so many further bytes may be written.
func (c *Conn) makeRoom(size int) error {
	allowed := int(c.listener.port.AnswerBytes)
	if c.unread += size; c.unread <= allowed {
		return nil
	}
	end := time.Now().Add(writeTimeout)
	for pause := unreadPollInterval; ; pause = min(2*pause, maxUnreadPollInterval) {
		queued, known := c.unreadBytes()
		if !known || queued == 0 || queued+size <= allowed {
			c.unread = queued + size
			return nil
		}
		if !time.Now().Before(end) {
			return os.ErrDeadlineExceeded
		}
		time.Sleep(pause)
	}
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// WithConn is the ConnContext of a server of a Listener. Without it, the bodies of its requests are not seen to arrive slowly.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, and false without WithConn or a Listener.
func connOf(r *http.Request) (*Conn, bool) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	return conn, ok
}
