package vwlink_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// pingTiming has a phase that no interval divides.
var pingTiming = vwlink.Timing{Ping: 160 * time.Millisecond, Silence: 500 * time.Millisecond, Phase: 37 * time.Millisecond}

// arrivals records when messages reach one end of links.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// recordingConn records the messages that are received over it.
type recordingConn struct {
	vwlink.Conn
	timing   vwlink.Timing
	dialled  bool
	received *arrivals
}

func (c recordingConn) Timing() vwlink.Timing { return c.timing }
func (c recordingConn) IsDialled() bool       { return c.dialled }

func (c recordingConn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
	envelope, err := c.Conn.Receive(ctx)
	if err == nil {
		c.received.mu.Lock()
		c.received.times = append(c.received.times, time.Now())
		c.received.mu.Unlock()
	}
	return envelope, err
}

// openIdleLinks opens links from one process to several others at different times, and returns what the process and one of
// the others receive.
func openIdleLinks(t *testing.T, group *vwgroup.Group, network *vwlinktest.Network, count int) (process, other *arrivals) {
	process, other = &arrivals{}, &arrivals{}
	client := network.MakeEndpoint("client", hello("client", "c"))
	for i := range count {
		address := fmt.Sprintf("server-%d", i)
		server := network.MakeEndpoint(address, hello(vwid.Process(address), "c"))
		received := &arrivals{}
		if i == 0 {
			received = other
		}
		group.Run(func(ctx context.Context) {
			if conn, err := server.Accept(ctx); err == nil {
				_ = vwlink.MakeSession(recordingConn{conn, vwlink.Timing{Ping: pingTiming.Ping, Silence: pingTiming.Silence}, false, received}, echo).Run(ctx)
			}
		})
		conn, err := client.Dial(t.Context(), address)
		require.NoError(t, err)
		session := vwlink.MakeSession(recordingConn{conn, pingTiming, true, process}, echo)
		group.Run(func(ctx context.Context) { _ = session.Run(ctx) })
		time.Sleep(13 * time.Millisecond)
	}
	return process, other
}

// Each link had a timer of its own at both ends, so an agent with eight links woke up more than a hundred times a second
// without any work. With hundreds of agents that was a large part of all processor time.
func TestPingsOfAllLinksWakeAProcessTogether(t *testing.T) {
	const links, rounds = 8, 50
	synctest.Test(t, func(t *testing.T) {
		network, group := vwlinktest.MakeNetwork(time.Millisecond), vwgroup.Make(t.Context())
		process, other := openIdleLinks(t, group, network, links)
		time.Sleep(2 * pingTiming.Ping)
		process.mu.Lock()
		process.times = nil
		process.mu.Unlock()
		other.mu.Lock()
		other.times = nil
		other.mu.Unlock()
		time.Sleep(rounds * pingTiming.Ping)
		require.NoError(t, group.Stop())
		require.NoError(t, network.Close())

		wakes := map[time.Time]bool{}
		for _, at := range process.times {
			wakes[at] = true
		}
		require.InDelta(t, rounds, len(wakes), 1, "the answers of all peers arrive together")
		require.InDelta(t, rounds*links, len(process.times), links)
		require.InDelta(t, rounds, len(other.times), 1)
	})
}

// The end that answers pings must notice that its peer is silent as soon as the other one does, and at the latest after the
// silence time-out: what it has sent is settled that long after.
func TestSilenceIsNoticedInTime(t *testing.T) {
	for name, dialled := range map[string]bool{"dialled": true, "accepted": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := vwlinktest.MakeNetwork(time.Millisecond)
				server, client := network.MakeEndpoint("server", hello("server", "c")), network.MakeEndpoint("client", hello("client", "c"))
				conn, err := client.Dial(t.Context(), "server")
				require.NoError(t, err)
				accepted, err := server.Accept(t.Context())
				require.NoError(t, err)
				if !dialled {
					conn = accepted
				}
				opened := time.Now()
				require.True(t, vwlink.IsSilent(vwlink.MakeSession(recordingConn{conn, pingTiming, dialled, &arrivals{}}, echo).Run(t.Context())))
				require.Equal(t, pingTiming.Silence, time.Since(opened))
				require.NoError(t, network.Close())
			})
		})
	}
}

// Two ends that both send only when the other one is due must not fall silent, and an end that sends other messages all the
// time must still hear from its peer.
func TestAnsweredPingsKeepBusyLinksOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, group := vwlinktest.MakeNetwork(time.Millisecond), vwgroup.Make(t.Context())
		network.SetTiming(pingTiming)
		server, client := network.MakeEndpoint("server", hello("server", "c")), network.MakeEndpoint("client", hello("client", "c"))
		group.Run(func(ctx context.Context) {
			if conn, err := server.Accept(ctx); err == nil {
				_ = vwlink.MakeSession(conn, echo).Run(ctx)
			}
		})
		conn, err := client.Dial(t.Context(), "server")
		require.NoError(t, err)
		session := vwlink.MakeSession(conn, echo)
		group.Run(func(ctx context.Context) { _ = session.Run(ctx) })
		for range 500 {
			require.NoError(t, session.Send(t.Context(), &vwmessage.ConfigAnnounce{Version: 1}))
			time.Sleep(30 * time.Millisecond)
		}
		select {
		case <-session.Done():
			require.Fail(t, "the session has ended")
		default:
		}
		require.NoError(t, group.Stop())
		require.NoError(t, network.Close())
	})
}
