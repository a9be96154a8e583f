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
	outcome, err := proposeWithin(c.member(c.waitForLeader()), vwstate.Command{Register: &vwstate.Register{Registration: registration}})
	require.NoError(c.t, err)
	require.Equal(c.t, vwstate.RefusalNone, outcome.Refusal)
}

func (c *cluster) renew(at int, request vwmessage.LeaseRequest) (*vwmessage.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	return c.member(at).Client().Renew(ctx, &request)
}

// renewFor renews every 500 ms for a period, each time at the first member that answers.
func (c *cluster) renewFor(period time.Duration, request vwmessage.LeaseRequest) {
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

func (c *cluster) liveRegistrations() map[vwid.Incarnation]bool {
	view, err := readWithin(c.member(c.waitForLeader()), vwstate.Query{Registrations: true})
	require.NoError(c.t, err)
	live := map[vwid.Incarnation]bool{}
	for _, registration := range view.Registrations {
		if !registration.Ended() {
			live[registration.Incarnation] = true
		}
	}
	return live
}

// Guards against registrations that are kept although nobody renews them, and against the expiry of renewed ones.
func TestRegistrationsExpire(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		c.register("agent", vwstate.RoleAgent)
		c.register("gone", vwstate.RoleAgent)
		request := vwmessage.LeaseRequest{Incarnation: "entry", Relayed: []vwid.Incarnation{"agent"}}
		c.renewFor(RegistrationPeriod-time.Second, request)
		require.True(t, c.liveRegistrations()["gone"], "a registration must not end before its period")
		c.renewFor(2*time.Second, request)
		require.Equal(t, map[vwid.Incarnation]bool{"entry": true, "agent": true}, c.liveRegistrations())
		reply, err := c.renew(0, vwmessage.LeaseRequest{Incarnation: "entry", Relayed: []vwid.Incarnation{"agent", "gone"}})
		require.NoError(t, err)
		require.Equal(t, []vwid.Incarnation{"gone"}, reply.Expired)
		require.Equal(t, "entry", reply.Entries[0].Address)
		reply, err = c.renew(0, vwmessage.LeaseRequest{Incarnation: "never registered"})
		require.NoError(t, err)
		require.Zero(t, reply.RemainingMilliseconds)
	})
}

// Guards against a new leader that expires registrations at once: only the old leader received their renewals.
func TestNewLeaderWaitsAPeriod(t *testing.T) {
	runScenario(t, 3, 2, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		c.renewFor(10*time.Second, vwmessage.LeaseRequest{Incarnation: "entry"})
		c.crash(c.waitForLeader())
		c.waitForLeader()
		time.Sleep(RegistrationPeriod - time.Second)
		require.True(t, c.liveRegistrations()["entry"])
		time.Sleep(2 * time.Second)
		require.False(t, c.liveRegistrations()["entry"])
	})
}

// Guards against an isolated leader that grants leases after the others may have elected a new one, and against an old
// version in a reply.
func TestIsolatedLeaderGrantsNothing(t *testing.T) {
	runScenario(t, 3, 3, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		old := c.waitForLeader()
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
		_, err := proposeWithin(c.member(c.waitForLeader()), vwstate.Command{ChangeRules: change})
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

// Guards against wrong verdicts: a command that may still be committed is MayHaveRun, and one whose index holds another
// committed entry is NotRun.
func TestVerdicts(t *testing.T) {
	runScenario(t, 3, 4, func(t *testing.T, c *cluster) {
		old := c.waitForLeader()
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
		// The new leader commits other entries at the indexes of both commands.
		for _, id := range []vwid.ChangeID{"first", "second"} {
			_, err := proposeWithin(c.member(c.waitForLeader()), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id}})
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

// Guards against a leader that is stalled by a slow sync, is replaced meanwhile, and then grants leases to the requests
// that have waited, without accounting for the time that has passed.
func TestStalledLeaderGrantsNothing(t *testing.T) {
	runScenario(t, 3, 5, func(t *testing.T, c *cluster) {
		c.register("entry", vwstate.RoleEntry)
		old := c.waitForLeader()
		c.disks[old].SetSyncDelay(3 * time.Second)
		c.group.Run(func(context.Context) {
			_, _ = proposeWithin(c.member(old), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "slow", Base: 99}})
		})
		time.Sleep(100 * time.Millisecond)
		c.isolate(old, false, true)
		replies := make(chan vwmessage.Body, 1)
		c.member(old).Serve(&vwmessage.LeaseRequest{Incarnation: "entry"}, func(reply vwmessage.Body, _ error) { replies <- reply })
		time.Sleep(2 * time.Second)
		other := c.waitForLeader()
		require.NotEqual(t, old, other)
		change := &vwstate.ChangeRules{ChangeID: "change", Text: []byte("rules")}
		_, err := proposeWithin(c.member(other), vwstate.Command{ChangeRules: change})
		require.NoError(t, err)
		require.Nil(t, <-replies)
	})
}

// Guards against an acknowledgement before a majority has synced the entry.
func TestAcknowledgementWaitsForSyncs(t *testing.T) {
	runScenario(t, 3, 7, func(t *testing.T, c *cluster) {
		leader := c.waitForLeader()
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

// Guards against a NotRun answer to a command that is committed although the leader crashed before it answered.
func TestCrashDuringPropose(t *testing.T) {
	runScenario(t, 3, 6, func(t *testing.T, c *cluster) {
		uncertain := 0
		for round := range 40 {
			leader := c.waitForLeader()
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
			view, readErr := readWithin(c.member(c.waitForLeader()), vwstate.Query{Change: id})
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
