// Package vwcaller tells a handler whether the caller of an HTTP request still waits for its answer. A caller that has left
// has sent its order elsewhere, and perhaps newer ones since, so an order of it must not be carried out any more.
package vwcaller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of the Connection in the context of a request.
type connKey struct{}

// Connection is the connection of a caller.
type Connection struct {
	conn net.Conn
	// ConnectedAt is when the connection was accepted.
	ConnectedAt time.Time
	// Draw is a random number from 0 to 1, drawn once for the connection.
	Draw float64
}

// WithConn is the ConnContext of a server whose handlers call HasLeft or ConnectionOf.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &Connection{conn: conn, ConnectedAt: time.Now(), Draw: rand.Float64()})
}

// ConnectionOf returns the connection of a request with the given context, and false without WithConn.
func ConnectionOf(ctx context.Context) (*Connection, bool) {
	connection, ok := ctx.Value(connKey{}).(*Connection)
	return connection, ok
}

// HasLeft reports whether the caller of a request with the given context has closed its connection, or at least its sending
// side. It asks the operating system: the server cancels the context too, but later, so that a process which was stopped
// for a while could carry out the order before.
//
// Without WithConn, and for a connection that hides its descriptor, only the context decides.
func HasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	ended := false
	err := useDescriptor(ctx, func(descriptor int) { ended = hasEnded(descriptor) })
	return err != nil || ended
}

// ReceivedAgo returns how long ago the newest bytes of the caller came to this machine, whether they were read or not. A request that
// has waited in the socket of a busy process was sent before that. It is zero without WithConn and where the operating system does
// not tell it.
func ReceivedAgo(ctx context.Context) time.Duration {
	ago := time.Duration(0)
	_ = useDescriptor(ctx, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// useDescriptor calls use with the descriptor of the connection of a request, if that is known. An error means that the connection
// is closed.
func useDescriptor(ctx context.Context, use func(descriptor int)) error {
	connection, known := ConnectionOf(ctx)
	if !known {
		return nil
	}
	conn, ok := connection.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
}

// hasEnded reports whether no more bytes can come over a socket after those that wait there, such as the next request.
func hasEnded(descriptor int) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN | unix.POLLRDHUP}}
	if _, err := unix.Poll(events, 0); err == nil {
		if events[0].Revents&ended != 0 {
			return true
		}
		if events[0].Revents&unix.POLLIN == 0 {
			return false
		}
	}
	// A system without POLLRDHUP reports the end as something to read.
	count, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ETIMEDOUT)
	}
	return count == 0
}
