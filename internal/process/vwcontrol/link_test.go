package vwcontrol

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func hello(name string) vwmessage.Hello {
	return vwmessage.Hello{Cluster: "c", Process: vwid.Process(name), Incarnation: vwid.Incarnation(name)}
}

// Client must satisfy the interface through which an entry uses control.
var _ vwentry.Control = Client(nil)

// serveLinks starts a member whose transport and server use links.
func serveLinks(t *testing.T, group *vwgroup.Group, network *vwlinktest.Network, at int, initial []string) *Member {
	end := network.MakeEndpoint(initial[at], hello(initial[at]))
	server := MakeLinkServer()
	pool := vwlink.MakePool(group.Context(), end, server)
	transport := MakeLinkTransport(group.Context(), pool)
	server.SetTransport(transport)
	settings := DefaultSettings(initial[at], initial)
	settings.Random = rand.NewPCG(uint64(at), 5)
	settings.Logger = slog.New(slog.DiscardHandler)
	m, err := Start(context.Background(), settings, vwstoretest.Make(), transport)
	require.NoError(t, err)
	require.NoError(t, server.Attach(group, m))
	group.Run(func(ctx context.Context) {
		_ = vwlink.Serve(ctx, end, server)
		_ = transport.Close()
		_ = pool.Close()
	})
	return m
}

// Guards against an entry that, over links, cannot reach control, find a new leader or receive an announced version.
func TestOverLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := vwlinktest.MakeNetwork(time.Millisecond)
		group := vwgroup.Make(context.Background())
		initial := []string{"a0", "a1", "a2"}
		var members []*Member
		for at := range initial {
			members = append(members, serveLinks(t, group, network, at, initial))
		}
		announced := make(chan vwid.ConfigVersion, 10)
		pool := vwlink.MakePool(group.Context(), network.MakeEndpoint("e", hello("e")), vwlink.HandlerFunc(
			func(_ *vwlink.Session, body vwmessage.Body, _ vwlink.Reply) {
				if announce, ok := body.(*vwmessage.ConfigAnnounce); ok {
					announced <- announce.Version
				}
			}))
		client := MakeClient(Retry(MakeLinkCaller(pool, initial)))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err := client.Propose(ctx, vwstate.Command{Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: "e", Role: vwstate.RoleEntry}}})
		require.NoError(t, err)
		reply, err := client.Renew(ctx, &vwmessage.LeaseRequest{Incarnation: "e"})
		require.NoError(t, err)
		require.Equal(t, LeaseDuration.Milliseconds(), reply.RemainingMilliseconds)
		for version := range vwid.ConfigVersion(2) {
			outcome, err := client.Propose(ctx, vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: vwid.ChangeID(rune('a' + version)), Base: version}})
			require.NoError(t, err)
			require.Equal(t, version+1, outcome.Version)
			// The entry has links to several members, so after a change of the leader an older version may be announced
			// again.
			for got := <-announced; got != version+1; got = <-announced {
				require.Less(t, got, version+1)
			}
			leader := -1
			for at, m := range members {
				if m.Status().Log.Leader.Address == initial[at] {
					leader = at
				}
			}
			// The leader is isolated, so the next request must find the new one.
			network.Isolate(initial[leader], true)
			_, err = client.Read(ctx, vwstate.Query{Config: true})
			require.NoError(t, err)
			_, err = client.Renew(ctx, &vwmessage.LeaseRequest{Incarnation: "e", Held: version + 1})
			require.NoError(t, err)
			network.Isolate(initial[leader], false)
			time.Sleep(3 * time.Second)
		}
		for _, m := range members {
			require.NoError(t, m.Kill())
		}
		require.NoError(t, pool.Close())
		_ = group.Stop()
		_ = network.Close()
	})
}

// Guards against messages that are passed to the wrong component of a process that is both entry and control member.
func TestServes(t *testing.T) {
	cases := map[string]struct {
		role vwstate.Role
		body vwmessage.Body
		want bool
	}{
		"renewal of an entry": {vwstate.RoleEntry, &vwmessage.LeaseRequest{}, true},
		"renewal of an agent": {vwstate.RoleAgent, &vwmessage.LeaseRequest{}, false},
		"proposal":            {vwstate.RoleEntry, &vwmessage.Propose{}, true},
		"log":                 {vwstate.RoleControl, &vwmessage.Replication{}, true},
		"result":              {vwstate.RoleAgent, &vwmessage.Result{}, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, k.want, MakeLinkServer().Serves(vwlink.Peer{Role: string(k.role)}, k.body))
		})
	}
}
