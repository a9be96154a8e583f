package vwcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func (c *cluster) register(incarnation vwid.Incarnation, role vwstate.Role) {
	registration := vwstate.Registration{Incarnation: incarnation, Role: role, Address: string(incarnation)}
	outcome, err := proposeWithin(c.member(c.leader()), vwstate.Command{Register: &vwstate.Register{Registration: registration}})
	require.NoError(c.t, err)
	require.Equal(c.t, vwstate.RefusalNone, outcome.Refusal)
}

func (c *cluster) renew(at int, request vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	return c.member(at).Client().Renew(ctx, &request)
}

// keep renews at any reachable member for some time.
func (c *cluster) keep(period time.Duration, request vwmessage.LeaseRequest) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for at := range c.disks {
			if c.member(at) == nil {
				continue
			}
			if _, err := c.renew(at, request); err == nil {
				break
			}
		}
	}
}

func (c *cluster) live() map[vwid.Incarnation]bool {
	view, err := readWithin(c.member(c.leader()), vwstate.Query{Registrations: true})
	require.NoError(c.t, err)
	live := map[vwid.Incarnation]bool{}
	for _, registration := range view.Registrations {
		if !registration.Ended() {
			live[registration.Incarnation] = true
		}
	}
	return live
}

// Guards against registrations that outlive their holder, and against the expiry of a holder that renews.
func TestRegistrationsExpire(t *testing.T) {
	bubble(t, 3, 1, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		c.register("agent", vwstate.RoleAgent)
		c.register("gone", vwstate.RoleAgent)
		request := vwmessage.LeaseRequest{Incarnation: "entry", Relayed: []vwid.Incarnation{"agent"}}
		c.keep(RegistrationPeriod-time.Second, request)
		require.True(t, c.live()["gone"], "a registration must not end before its period")
		c.keep(2*time.Second, request)
		require.Equal(t, map[vwid.Incarnation]bool{"entry": true, "agent": true}, c.live())
		reply, err := c.renew(0, vwmessage.LeaseRequest{Incarnation: "entry", Relayed: []vwid.Incarnation{"agent", "gone"}})
		require.NoError(t, err)
		require.Equal(t, []vwid.Incarnation{"gone"}, reply.Expired)
		require.Equal(t, "entry", reply.Entries[0].Address)
		reply, err = c.renew(0, vwmessage.LeaseRequest{Incarnation: "never registered"})
		require.NoError(t, err)
		require.Zero(t, reply.RemainingMilliseconds)
	})
}

// Guards against a new leader that ends the registrations of holders whose renewals only the old one saw.
func TestNewLeaderWaitsAPeriod(t *testing.T) {
	bubble(t, 3, 2, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		c.keep(10*time.Second, vwmessage.LeaseRequest{Incarnation: "entry"})
		c.crash(c.leader())
		c.leader()
		time.Sleep(RegistrationPeriod - time.Second)
		require.True(t, c.live()["entry"])
		time.Sleep(2 * time.Second)
		require.False(t, c.live()["entry"])
	})
}

// Guards against a lease from a leader that others may have replaced, and against an old version in a reply.
func TestIsolatedLeaderGrantsNothing(t *testing.T) {
	bubble(t, 3, 3, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		old := c.leader()
		c.isolate(old, false, true)
		isolated := time.Now()
		granted := time.Time{}
		for time.Since(isolated) < 3*time.Second {
			if _, err := c.renew(old, vwmessage.LeaseRequest{Incarnation: "entry"}); err == nil {
				granted = time.Now()
			}
			time.Sleep(20 * time.Millisecond)
		}
		// The members refuse votes for the shortest election timeout of 500 ms.
		require.Less(t, granted.Sub(isolated), 500*time.Millisecond)
		change := &vwstate.ChangeRules{ChangeID: "change", Text: []byte("rules")}
		_, err := proposeWithin(c.member(c.leader()), vwstate.Command{ChangeRules: change})
		require.NoError(t, err)
		c.network.heal()
		time.Sleep(2 * time.Second)
		for at := range c.disks {
			reply, err := c.renew(at, vwmessage.LeaseRequest{Incarnation: "entry"})
			require.NoError(t, err)
			require.Equal(t, vwid.ConfigVersion(1), reply.Version)
			require.Equal(t, "rules", string(reply.Rules))
		}
	})
}

// Guards against untrue verdicts: a command whose fate is open may have run, and one whose place in
// the log was taken by another has not.
func TestVerdicts(t *testing.T) {
	bubble(t, 3, 4, func(t *testing.T, c *cluster) {
		old := c.leader()
		c.isolate(old, false, true)
		command := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "lost"}}
		replaced, open := make(chan error, 1), make(chan error, 1)
		c.group.Run(func(context.Context) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := MakeClient(c.member(old)).Propose(ctx, command)
			replaced <- err
		})
		c.group.Run(func(context.Context) {
			_, err := proposeWithin(c.member(old), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "open"}})
			open <- err
		})
		require.Equal(t, vwverdict.MayHaveRun, vwverdict.Of(<-open))
		// The new leader fills the places of both commands.
		for _, id := range []vwid.ChangeID{"first", "second"} {
			_, err := proposeWithin(c.member(c.leader()), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id}})
			require.NoError(t, err)
		}
		c.network.heal()
		err := <-replaced
		_, notLeader := IsNotLeader(err)
		require.True(t, notLeader, "%v", err)
		require.Equal(t, vwverdict.NotRun, vwverdict.Of(err))
		require.NoError(t, c.member(old).Kill())
		_, err = MakeClient(c.member(old)).Propose(context.Background(), command)
		require.True(t, IsStopped(err))
		require.Equal(t, vwverdict.NotRun, vwverdict.Of(err))
	})
}

// Guards against a leader that was stalled by its disk, was replaced, and then answers the requests
// that have waited as if no time had passed.
func TestStalledLeaderGrantsNothing(t *testing.T) {
	bubble(t, 3, 5, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		old := c.leader()
		c.disks[old].SetSyncDelay(3 * time.Second)
		c.group.Run(func(context.Context) {
			_, _ = proposeWithin(c.member(old), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "slow", Base: 99}})
		})
		time.Sleep(100 * time.Millisecond)
		c.isolate(old, false, true)
		replies := make(chan vwmessage.Body, 1)
		c.member(old).Serve(&vwmessage.LeaseRequest{Incarnation: "entry"}, func(reply vwmessage.Body, _ error) { replies <- reply })
		time.Sleep(2 * time.Second)
		other := c.leader()
		require.NotEqual(t, old, other)
		change := &vwstate.ChangeRules{ChangeID: "change", Text: []byte("rules")}
		_, err := proposeWithin(c.member(other), vwstate.Command{ChangeRules: change})
		require.NoError(t, err)
		require.Nil(t, <-replies)
	})
}

// Guards against an acknowledgement that precedes the syncs of a majority.
func TestAcknowledgementWaitsForSyncs(t *testing.T) {
	bubble(t, 3, 7, func(t *testing.T, c *cluster) {
		leader := c.leader()
		time.Sleep(time.Second)
		for at := range c.disks {
			if at != leader {
				c.disks[at].SetSyncDelay(300 * time.Millisecond)
			}
		}
		before := time.Now()
		_, err := proposeWithin(c.member(leader), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "change"}})
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(before), 300*time.Millisecond)
	})
}

// Guards against a NotRun answer for a command that a crash overtook and that is committed all the same.
func TestCrashDuringPropose(t *testing.T) {
	bubble(t, 3, 6, func(t *testing.T, c *cluster) {
		uncertain := 0
		for round := range 40 {
			leader := c.leader()
			id := vwid.ChangeID(rune('A' + round))
			client := MakeClient(c.member(leader))
			answered := make(chan error, 1)
			c.group.Run(func(context.Context) {
				command := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: 99}}
				_, err := client.Propose(context.Background(), command)
				answered <- err
			})
			time.Sleep(time.Duration(round) * 200 * time.Microsecond)
			c.crash(leader)
			err := <-answered
			c.start(leader)
			view, readErr := readWithin(c.member(c.leader()), vwstate.Query{Change: id})
			require.NoError(t, readErr)
			switch vwverdict.Of(err) {
			case vwverdict.NotRun:
				require.Nil(t, view.Change)
			case vwverdict.Ran:
				require.NotNil(t, view.Change)
			default:
				uncertain++
			}
		}
		require.Positive(t, uncertain, "no crash has hit a command in progress")
	})
}
