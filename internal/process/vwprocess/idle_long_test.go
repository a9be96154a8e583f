//go:build long

package vwprocess

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// udpRelay relays datagrams between one client and a server and counts them in both directions.
type udpRelay struct {
	front, back    *net.UDPConn
	client         atomic.Pointer[net.UDPAddr]
	packets, bytes atomic.Int64
}

func openUDPRelay(t *testing.T, server string) *udpRelay {
	address, err := net.ResolveUDPAddr("udp", server)
	require.NoError(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	back, err := net.DialUDP("udp", nil, address)
	require.NoError(t, err)
	return &udpRelay{front: front, back: back}
}

func (r *udpRelay) forwardToServer(context.Context) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.client.Store(from)
		r.count(n)
		_, _ = r.back.Write(buffer[:n])
	}
}

func (r *udpRelay) forwardToClient(context.Context) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		r.count(n)
		_, _ = r.front.WriteToUDP(buffer[:n], r.client.Load())
	}
}

func (r *udpRelay) count(n int) {
	r.packets.Add(1)
	r.bytes.Add(int64(n))
}

// makeReplyHandler returns a handler that answers each request with the same reply.
func makeReplyHandler(body vwmessage.Body) vwlink.Handler {
	return vwlink.HandlerFunc(func(_ *vwlink.Session, _ vwmessage.Body, reply vwlink.Reply) { reply(body, nil) })
}

// Measures the UDP packets and payload bytes a second of a QUIC link that carries pings only, and of one that renews
// a lease every 500 ms with replies of several sizes.
func TestMeasureLinkBytes(t *testing.T) {
	const entryCount = 24
	entries := make([]vwmessage.EntryAddress, entryCount)
	for i := range entries {
		entries[i] = vwmessage.EntryAddress{Incarnation: vwid.Incarnation(uuid.NewString()), Process: "entry-01", DataCentre: "centre-1", Address: "192.0.2.100:4433"}
	}
	cases := map[string]struct {
		renews bool
		reply  *vwmessage.LeaseReply
	}{
		"pings":            {false, nil},
		"lease, 0 entries": {true, &vwmessage.LeaseReply{Version: 1, RemainingMilliseconds: 1999}},
		"lease, 8":         {true, &vwmessage.LeaseReply{Version: 1, RemainingMilliseconds: 1999, Entries: entries[:8]}},
		"lease, 24":        {true, &vwmessage.LeaseReply{Version: 1, RemainingMilliseconds: 1999, Entries: entries}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			measureLink(t, c.renews, c.reply)
		})
	}
}

func measureLink(t *testing.T, renews bool, reply *vwmessage.LeaseReply) {
	const seconds = 20
	authority, err := vwkeys.MakeAuthority("c")
	require.NoError(t, err)
	server, client := openEndpoint(t, authority, "server"), openEndpoint(t, authority, "client")
	relay := openUDPRelay(t, server.Address())
	group := vwgroup.Make(t.Context())
	group.Run(relay.forwardToServer)
	group.Run(relay.forwardToClient)
	group.Run(func(ctx context.Context) { _ = vwlink.Serve(ctx, server, makeReplyHandler(reply)) })
	conn, err := client.Dial(t.Context(), relay.front.LocalAddr().String())
	require.NoError(t, err)
	session := vwlink.MakeSession(conn, makeReplyHandler(nil))
	group.Run(func(ctx context.Context) { _ = session.Run(ctx) })
	renewFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			if renews {
				_, err := vwlink.Call[*vwmessage.LeaseReply](t.Context(), session, &vwmessage.LeaseRequest{Incarnation: vwid.Incarnation(uuid.NewString()), Held: 1})
				require.NoError(t, err)
			}
		}
	}
	// Path MTU discovery sends additional packets in the first seconds of a connection.
	renewFor(10 * time.Second)
	packets, bytes := relay.packets.Load(), relay.bytes.Load()
	renewFor(seconds * time.Second)
	t.Logf("%.1f packets and %.0f bytes a second", float64(relay.packets.Load()-packets)/seconds, float64(relay.bytes.Load()-bytes)/seconds)
	_ = session.Close()
	require.NoError(t, client.Close())
	require.NoError(t, server.Close())
	require.NoError(t, relay.front.Close())
	require.NoError(t, relay.back.Close())
	_ = group.Stop()
}

func openEndpoint(t *testing.T, authority *vwkeys.Authority, process vwid.Process) vwlink.Endpoint {
	keys, err := vwkeys.MakeMemory(authority, process)
	require.NoError(t, err)
	endpoint, err := LinkConfig{}.makeEndpoint("127.0.0.1:0", keys, vwmessage.Hello{Cluster: "c", Process: process, Incarnation: vwid.Incarnation(process) + "-1"})
	require.NoError(t, err)
	return endpoint
}
