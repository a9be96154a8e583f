package vwlink_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func hello(process vwid.Process, cluster vwid.Cluster) vwmessage.Hello {
	return vwmessage.Hello{Cluster: cluster, Process: process, Incarnation: vwid.Incarnation(process) + "-1"}
}

// echo answers each lease request with its own version.
var echo = vwlink.HandlerFunc(func(_ *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	request, ok := body.(*vwmessage.LeaseRequest)
	if !ok {
		reply(nil, vwverdict.Errorf(vwverdict.NotRun, "unexpected message"))
		return
	}
	reply(&vwmessage.LeaseReply{Version: request.Held}, nil)
})

type pair struct {
	network *vwlinktest.Network
	group   *vwgroup.Group
	session *vwlink.Session
	ended   chan error
}

func openPair(t *testing.T) *pair {
	network := vwlinktest.MakeNetwork(time.Millisecond)
	server := network.MakeEndpoint("server", hello("server", "c"))
	client := network.MakeEndpoint("client", hello("client", "c"))
	p := &pair{network: network, group: vwgroup.Make(t.Context()), ended: make(chan error, 1)}
	p.group.Run(func(ctx context.Context) {
		conn, err := server.Accept(ctx)
		if err == nil {
			_ = vwlink.MakeSession(conn, echo).Run(ctx)
		}
	})
	conn, err := client.Dial(t.Context(), "server")
	require.NoError(t, err)
	p.session = vwlink.MakeSession(conn, echo)
	p.group.Run(func(ctx context.Context) { p.ended <- p.session.Run(ctx) })
	return p
}

func (p *pair) close(t *testing.T) {
	_ = p.session.Close()
	require.NoError(t, p.group.Stop())
	require.NoError(t, p.network.Close())
}

// A reply must reach the call that asked for it.
func TestCallsGetTheirOwnReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := openPair(t)
		defer p.close(t)
		calls := vwgroup.Make(t.Context())
		for version := range vwid.ConfigVersion(50) {
			calls.Go(func(ctx context.Context) error {
				reply, err := vwlink.Call[*vwmessage.LeaseReply](ctx, p.session, &vwmessage.LeaseRequest{Held: version})
				require.NoError(t, err)
				require.Equal(t, version, reply.Version)
				return nil
			})
		}
		require.NoError(t, calls.Wait())
	})
}

// An idle link must stay open, and one that lost its path must end within the silence timeout with
// the verdict that the request may have run.
func TestSilentLinkEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := openPair(t)
		defer p.close(t)
		time.Sleep(10 * vwlink.DefaultTiming.Silence)
		select {
		case err := <-p.ended:
			require.NoError(t, err, "an idle link ended")
		default:
		}
		p.network.SilenceOpen("client", "server")
		begun := time.Now()
		_, err := vwlink.Call[*vwmessage.LeaseReply](t.Context(), p.session, &vwmessage.LeaseRequest{})
		require.Equal(t, vwverdict.MayHaveRun, vwverdict.Of(err))
		require.True(t, vwlink.IsSilent(err))
		require.LessOrEqual(t, time.Since(begun), vwlink.DefaultTiming.Silence+vwlink.DefaultTiming.Ping)
		_, err = vwlink.Call[*vwmessage.LeaseReply](t.Context(), p.session, &vwmessage.LeaseRequest{})
		require.True(t, vwverdict.IsNotRun(err), "a call on an ended link was not sent")
	})
}

// A process of another cluster must not get a link.
func TestOtherClusterIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := vwlinktest.MakeNetwork(time.Millisecond)
		network.MakeEndpoint("server", hello("server", "one"))
		client := network.MakeEndpoint("client", hello("client", "two"))
		_, err := client.Dial(t.Context(), "server")
		require.ErrorContains(t, err, "belongs to cluster")
		require.NoError(t, network.Close())
	})
}
