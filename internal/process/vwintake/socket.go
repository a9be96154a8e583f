package vwintake

import (
	"context"
	"net"
	"net/http"
)

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
