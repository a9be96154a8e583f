// Package vwcallertest opens connections of callers, for tests of what a process knows of a caller from its socket alone.
package vwcallertest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Connect opens a connection over loopback and returns the caller's end and that of the process. Both close with the test.
func Connect(t testing.TB) (caller, served *net.TCPConn) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}
