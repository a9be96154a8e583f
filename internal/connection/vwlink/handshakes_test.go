package vwlink

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that say nothing and take all descriptors, and against a flood of them that ends each handshake.
func TestHandshakesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pending handshakes
		begun := time.Now()
		first, far := net.Pipe()
		require.NoError(t, pending.begin(t.Context(), first))
		for range maxHandshakes - 1 {
			conn, _ := net.Pipe()
			require.NoError(t, pending.begin(t.Context(), conn))
		}
		require.Zero(t, time.Since(begun))
		next, _ := net.Pipe()
		require.NoError(t, pending.begin(t.Context(), next))
		require.Equal(t, handshakeTime, time.Since(begun), "the oldest handshake has its time")
		_, err := far.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.Len(t, pending.pending, maxHandshakes)
		pending.end(next)
		require.Len(t, pending.pending, maxHandshakes-1)
	})
}
