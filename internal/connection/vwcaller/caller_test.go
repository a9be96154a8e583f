package vwcaller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwcallertest"
)

// Guards against orders that are carried out although their caller has left: the end of a connection must show at once,
// without a read from it, whichever way it ends.
func TestHasLeft(t *testing.T) {
	cases := map[string]struct {
		act  func(t *testing.T, conn *net.TCPConn)
		left bool
	}{
		"waits":                   {func(*testing.T, *net.TCPConn) {}, false},
		"closes":                  {func(t *testing.T, conn *net.TCPConn) { require.NoError(t, conn.Close()) }, true},
		"closes its sending side": {func(t *testing.T, conn *net.TCPConn) { require.NoError(t, conn.CloseWrite()) }, true},
		"resets": {func(t *testing.T, conn *net.TCPConn) {
			require.NoError(t, conn.SetLinger(0))
			require.NoError(t, conn.Close())
		}, true},
		"has sent more": {func(t *testing.T, conn *net.TCPConn) {
			_, err := conn.Write([]byte("next"))
			require.NoError(t, err)
		}, false},
		"has sent more and closes": {func(t *testing.T, conn *net.TCPConn) {
			_, err := conn.Write([]byte("next"))
			require.NoError(t, err)
			require.NoError(t, conn.Close())
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			caller, conn := vwcallertest.Connect(t)
			ctx := WithConn(t.Context(), conn)
			require.False(t, HasLeft(ctx))
			c.act(t, caller)
			require.Equal(t, c.left, HasLeft(ctx))
			require.Equal(t, c.left, HasLeft(ctx), "the check must not consume what it finds")
		})
	}
}

// Guards against a check that misses what the server has noticed, where the connection cannot be asked.
func TestHasLeftWithoutConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	require.False(t, HasLeft(ctx))
	cancel()
	require.True(t, HasLeft(ctx))
}

// Guards against a request that counts as new although it has waited in the socket of a process that stood still, and its
// caller with it.
func TestReceivedAgo(t *testing.T) {
	caller, conn := vwcallertest.Connect(t)
	ctx := WithConn(t.Context(), conn)
	before := time.Now()
	_, err := caller.Write([]byte("request"))
	require.NoError(t, err)
	const wait = 300 * time.Millisecond
	time.Sleep(wait)
	// The clock of the operating system may be coarse.
	const resolution = 20 * time.Millisecond
	require.GreaterOrEqual(t, ReceivedAgo(ctx), wait-resolution)
	require.LessOrEqual(t, ReceivedAgo(ctx), time.Since(before)+resolution)
	require.Zero(t, ReceivedAgo(t.Context()))
}
