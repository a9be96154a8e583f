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

// datagrams forwards the datagrams of one client to a server and counts them in both directions.
type datagrams struct {
	front, back    *net.UDPConn
	client         atomic.Pointer[net.UDPAddr]
	packets, bytes atomic.Int64
}

func openDatagrams(t *testing.T, server string) *datagrams {
	address, err := net.ResolveUDPAddr("udp", server)
	require.NoError(t, err)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	back, err := net.DialUDP("udp", nil, address)
	require.NoError(t, err)
	return &datagrams{front: front, back: back}
}

func (d *datagrams) forward(context.Context) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := d.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		d.client.Store(from)
		d.count(n)
		_, _ = d.back.Write(buffer[:n])
	}
}

func (d *datagrams) backward(context.Context) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := d.back.Read(buffer)
		if err != nil {
			return
		}
		d.count(n)
		_, _ = d.front.WriteToUDP(buffer[:n], d.client.Load())
	}
}

func (d *datagrams) count(n int) {
	d.packets.Add(1)
	d.bytes.Add(int64(n))
}

// replier answers each request with the same reply.
func replier(body vwmessage.Body) vwlink.Handler {
	return vwlink.HandlerFunc(func(_ *vwlink.Session, _ vwmessage.Body, reply vwlink.Reply) { reply(body, nil) })
}

// Measures the UDP payload of a QUIC link that carries pings only, and of one that renews a lease every
// 500 ms with replies of several sizes.
func TestMeasureLinkBytes(t *testing.T) {
	const named = 24
	entries := make([]vwmessage.EntryAddress, named)
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
	between := openDatagrams(t, server.Address())
	group := vwgroup.Make(t.Context())
	group.Run(between.forward)
	group.Run(between.backward)
	group.Run(func(ctx context.Context) { _ = vwlink.Serve(ctx, server, replier(reply)) })
	conn, err := client.Dial(t.Context(), between.front.LocalAddr().String())
	require.NoError(t, err)
	session := vwlink.MakeSession(conn, replier(nil))
	group.Run(func(ctx context.Context) { _ = session.Run(ctx) })
	work := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			if renews {
				_, err := vwlink.Call[*vwmessage.LeaseReply](t.Context(), session, &vwmessage.LeaseRequest{Incarnation: vwid.Incarnation(uuid.NewString()), Held: 1})
				require.NoError(t, err)
			}
		}
	}
	// The search for the largest packet takes the first seconds of a connection.
	work(10 * time.Second)
	packets, bytes := between.packets.Load(), between.bytes.Load()
	work(seconds * time.Second)
	t.Logf("%.1f packets and %.0f bytes a second", float64(between.packets.Load()-packets)/seconds, float64(between.bytes.Load()-bytes)/seconds)
	_ = session.Close()
	require.NoError(t, client.Close())
	require.NoError(t, server.Close())
	require.NoError(t, between.front.Close())
	require.NoError(t, between.back.Close())
	_ = group.Stop()
}

func openEndpoint(t *testing.T, authority *vwkeys.Authority, process vwid.Process) vwlink.Endpoint {
	keys, err := vwkeys.MakeMemory(authority, process)
	require.NoError(t, err)
	endpoint, err := LinkConfig{}.makeEndpoint("127.0.0.1:0", keys, vwmessage.Hello{Cluster: "c", Process: process, Incarnation: vwid.Incarnation(process) + "-1"})
	require.NoError(t, err)
	return endpoint
}
