package vwbackend

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout is long for a server on the same machine, and short against a task's deadline.
	dialTimeout = time.Second
	// keepAliveProbe lets the kernel find a dead peer of an idle connection.
	keepAliveProbe = 15 * time.Second
)

// countedConn counts the writes on a connection. A failed request without a write on its connection
// cannot have reached the backend server.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. It counts before it writes, so that a partial write counts.
func (c *countedConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// Dial opens a connection to a backend server.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveProbe}
	return dialer.DialContext(ctx, network, address)
}

// counted makes dial return connections that count their writes.
func counted(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// use records on which connection a request went out and what had been written there before.
type use struct {
	conn   *countedConn
	before int64
}

func (u *use) begin(conn net.Conn) {
	counted, ok := conn.(*countedConn)
	if !ok {
		return
	}
	u.conn, u.before = counted, counted.writes.Load()
}

// wrote reports whether any part of the request may have been written.
func (u *use) wrote() bool {
	return u.conn != nil && u.conn.writes.Load() != u.before
}
