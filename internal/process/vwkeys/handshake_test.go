package vwkeys_test

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
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

const loopback = "127.0.0.1:0"

// shortTiming keeps the tests of silent links short.
var shortTiming = vwlink.Timing{Ping: 20 * time.Millisecond, Silence: 100 * time.Millisecond}

// transport is one kind of link under test.
type transport struct {
	open func(t *testing.T, authority *vwkeys.Authority, hello vwmessage.Hello) vwlink.Endpoint
	// connect opens a connection that says nothing, and returns how to close it.
	connect func(t *testing.T, authority *vwkeys.Authority, address string) func()
}

var transports = map[string]transport{
	"QUIC": {
		open: func(t *testing.T, authority *vwkeys.Authority, hello vwmessage.Hello) vwlink.Endpoint {
			endpoint, err := vwlink.MakeQUICEndpoint(loopback, makeTLS(t, authority, hello.Process), hello)
			require.NoError(t, err)
			return endpoint
		},
		connect: func(t *testing.T, authority *vwkeys.Authority, address string) func() {
			connection, err := quic.DialAddr(t.Context(), address, makeTLS(t, authority, "silent"), &quic.Config{HandshakeIdleTimeout: 10 * time.Second})
			require.NoError(t, err)
			return func() { _ = connection.CloseWithError(0, "") }
		},
	},
	"TCP": {
		open: func(t *testing.T, authority *vwkeys.Authority, hello vwmessage.Hello) vwlink.Endpoint {
			endpoint, err := vwlink.MakeTCPEndpoint(loopback, makeTLS(t, authority, hello.Process), hello, shortTiming, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			return endpoint
		},
		connect: func(t *testing.T, _ *vwkeys.Authority, address string) func() {
			connection, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
			require.NoError(t, err)
			return func() { _ = connection.Close() }
		},
	},
}

func makeTLS(t *testing.T, authority *vwkeys.Authority, process vwid.Process) *tls.Config {
	keys, err := vwkeys.MakeMemory(authority, process)
	require.NoError(t, err)
	config, err := vwkeys.TLSConfig(keys, authority.Cluster())
	require.NoError(t, err)
	return config
}

func helloOf(process vwid.Process, cluster vwid.Cluster) vwmessage.Hello {
	return vwmessage.Hello{Cluster: cluster, Process: process, Incarnation: vwid.Incarnation(process) + "-1"}
}

func makeAuthority(t *testing.T, cluster vwid.Cluster) *vwkeys.Authority {
	authority, err := vwkeys.MakeAuthority(cluster)
	require.NoError(t, err)
	return authority
}

// Peers that open a connection and then say nothing must not delay the links of others. Each would hold a
// serial handshake for 2 s, so ten of them would outlast the dial's own limit of 2 s many times.
func TestSilentPeersDelayNoOther(t *testing.T) {
	for name, transport := range transports {
		t.Run(name, func(t *testing.T) {
			authority := makeAuthority(t, "c")
			server, client := transport.open(t, authority, helloOf("server", "c")), transport.open(t, authority, helloOf("client", "c"))
			group := vwgroup.Make(t.Context())
			group.Run(func(ctx context.Context) {
				_ = vwlink.Serve(ctx, server, vwlink.HandlerFunc(func(*vwlink.Session, vwmessage.Body, vwlink.Reply) {}))
			})
			for range 10 {
				defer transport.connect(t, authority, server.Address())()
			}
			conn, err := client.Dial(t.Context(), server.Address())
			require.NoError(t, err)
			require.NoError(t, conn.Close())
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
			_ = group.Stop()
		})
	}
}

// A process that is not of the cluster, or that claims the name of another, must get no link.
func TestForeignPeersAreRefused(t *testing.T) {
	for name, transport := range transports {
		t.Run(name, func(t *testing.T) {
			authority := makeAuthority(t, "c")
			server := transport.open(t, authority, helloOf("server", "c"))
			foreign := map[string]vwlink.Endpoint{
				"authority": transport.open(t, makeAuthority(t, "c"), helloOf("client", "c")),
				"cluster":   transport.open(t, authority, helloOf("client", "d")),
			}
			for reason, client := range foreign {
				conn, err := client.Dial(t.Context(), server.Address())
				if err == nil {
					// A TLS 1.3 client learns of the refusal with its first read.
					_, err = conn.Receive(t.Context())
					_ = conn.Close()
				}
				require.Error(t, err, reason)
				require.NoError(t, client.Close())
			}
			require.NoError(t, server.Close())
		})
	}
}

// A message must arrive whole and in order on both transports, and the end of a link must reach its peer.
func TestMessagesArriveInOrder(t *testing.T) {
	for name, transport := range transports {
		t.Run(name, func(t *testing.T) {
			authority := makeAuthority(t, "c")
			server, client := transport.open(t, authority, helloOf("server", "c")), transport.open(t, authority, helloOf("client", "c"))
			dialled, err := client.Dial(t.Context(), server.Address())
			require.NoError(t, err)
			accepted, err := server.Accept(t.Context())
			require.NoError(t, err)
			require.Equal(t, vwid.Process("client"), accepted.Peer().Process)
			require.Equal(t, vwid.Process("server"), dialled.Peer().Process)
			const count = 2000
			group := vwgroup.Make(t.Context())
			group.Go(func(ctx context.Context) error {
				for version := range vwid.ConfigVersion(count) {
					envelope, err := vwmessage.Seal(&vwmessage.ConfigAnnounce{Version: version}, 0, false)
					require.NoError(t, err)
					if err := dialled.Send(ctx, envelope); err != nil {
						return err
					}
				}
				return nil
			})
			for version := range vwid.ConfigVersion(count) {
				envelope, err := accepted.Receive(t.Context())
				require.NoError(t, err)
				body, err := vwmessage.Open(envelope)
				require.NoError(t, err)
				require.Equal(t, version, body.(*vwmessage.ConfigAnnounce).Version)
			}
			require.NoError(t, group.Wait())
			require.NoError(t, dialled.Close())
			_, err = accepted.Receive(t.Context())
			require.True(t, vwlink.IsClosed(err))
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
		})
	}
}
