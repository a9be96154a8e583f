package vwlink

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// failingListener fails some times, and then yields one connection.
type failingListener struct {
	failures int
	conn     net.Conn
	closed   chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *failingListener) Close() error {
	close(l.closed)
	return nil
}

// A process whose descriptors are all in use for a moment must accept links again afterwards. The loop ended with
// the first failure, without a line in the log.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		require.NoError(t, near.Close())
		listener := &failingListener{failures: 3, conn: far, closed: make(chan struct{})}
		var out bytes.Buffer
		e := &TCPEndpoint{listener: listener, log: slog.New(slog.NewTextHandler(&out, nil)), group: vwgroup.Make(context.Background()), accepted: make(chan Conn)}
		ended := make(chan struct{})
		e.group.Run(func(ctx context.Context) {
			e.acceptAll(ctx)
			close(ended)
		})
		require.NoError(t, vwgroup.Sleep(t.Context(), 4*acceptPause))
		synctest.Wait()
		require.Nil(t, listener.conn, "the connection after the failures is accepted")
		require.Equal(t, 3, bytes.Count(out.Bytes(), []byte("link cannot be accepted")))
		require.NoError(t, e.Close())
		<-ended
	})
}
