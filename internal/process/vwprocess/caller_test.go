package vwprocess

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/process/vwintake"
)

// Guards against a server whose handlers cannot tell whether the caller has left: the connection must be in the context of a
// request, beside its cancellation, which comes later.
func TestHandlersSeeThatTheCallerHasLeft(t *testing.T) {
	received, closed, left := make(chan struct{}), make(chan struct{}), make(chan bool, 2)
	server, err := listenHTTP("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		uncancelled := context.WithoutCancel(r.Context())
		left <- vwcaller.HasLeft(uncancelled)
		close(received)
		<-closed
		left <- vwcaller.HasLeft(uncancelled)
	}), orDefault(nil), vwintake.Port{})
	require.NoError(t, err)
	server.start()
	defer server.kill()
	caller, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.address())
	require.NoError(t, err)
	_, err = caller.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	<-received
	require.NoError(t, caller.Close())
	close(closed)
	require.False(t, <-left)
	require.True(t, <-left)
}
