package vwkeys_test

import (
	"context"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Peers that finish TLS and then say nothing must not delay the links of others. Each would hold a serial
// handshake for 2 s, so ten of them would outlast the dial's own limit of 2 s many times.
func TestSilentPeersDelayNoOther(t *testing.T) {
	authority, err := vwkeys.MakeAuthority("c")
	require.NoError(t, err)
	open := func(process vwid.Process) *vwlink.Endpoint {
		keys, err := vwkeys.MakeMemory(authority, process)
		require.NoError(t, err)
		config, err := vwkeys.TLSConfig(keys, "c")
		require.NoError(t, err)
		endpoint, err := vwlink.MakeEndpoint("127.0.0.1:0", config, vwmessage.Hello{Cluster: "c", Process: process, Incarnation: "1"})
		require.NoError(t, err)
		return endpoint
	}
	server, client := open("server"), open("client")
	group := vwgroup.Make(t.Context())
	group.Run(func(ctx context.Context) {
		_ = vwlink.Serve(ctx, server, vwlink.HandlerFunc(func(*vwlink.Session, vwmessage.Body, vwlink.Reply) {}))
	})
	keys, err := vwkeys.MakeMemory(authority, "silent")
	require.NoError(t, err)
	config, err := vwkeys.TLSConfig(keys, "c")
	require.NoError(t, err)
	for range 10 {
		connection, err := quic.DialAddr(t.Context(), server.Address(), config, &quic.Config{HandshakeIdleTimeout: 10 * time.Second})
		require.NoError(t, err)
		defer func() { _ = connection.CloseWithError(0, "") }()
	}
	conn, err := client.Dial(t.Context(), server.Address())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.NoError(t, client.Close())
	require.NoError(t, server.Close())
	_ = group.Stop()
}
