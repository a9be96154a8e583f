package vwlink

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// maxHandshakes bounds the accepted connections that have not become links, each of which takes a descriptor.
	maxHandshakes = 256
	// handshakeTime is how long a peer has at least while others wait. It exceeds two round trips and the time of a busy processor.
	handshakeTime = 250 * time.Millisecond
)

// handshakes holds the connections whose handshakes are under way. When there are too many, the oldest one makes room.
type handshakes struct {
	mu      sync.Mutex
	pending []handshake
}

// handshake is a connection that was accepted at a time.
type handshake struct {
	conn  net.Conn
	since time.Time
}

// begin adds a connection. It first waits until there is room.
func (h *handshakes) begin(ctx context.Context, conn net.Conn) error {
	for {
		wait, added := h.add(conn, time.Now())
		if added {
			return nil
		}
		if err := vwgroup.Sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// add adds a connection if there is room, or returns how long the oldest one keeps its place.
func (h *handshakes) add(conn net.Conn, now time.Time) (wait time.Duration, added bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.pending) >= maxHandshakes {
		oldest := h.pending[0]
		if wait := handshakeTime - now.Sub(oldest.since); wait > 0 {
			return wait, false
		}
		_ = oldest.conn.Close()
		h.pending = h.pending[1:]
	}
	h.pending = append(h.pending, handshake{conn, now})
	return 0, true
}

// end removes a connection, which has become a link or has ended.
func (h *handshakes) end(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = slices.DeleteFunc(h.pending, func(other handshake) bool { return other.conn == conn })
}
