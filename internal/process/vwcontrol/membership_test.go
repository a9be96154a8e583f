package vwcontrol

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// firstThree makes the first three addresses the initial ones, as when members are told of a few others only.
func firstThree(s *Settings) {
	s.SnapshotEntries = 20
	s.Initial = []string{address(0), address(1), address(2)}
}

// growing runs a scenario on members of which the first three make the log.
func growing(t *testing.T, size int, scenario func(t *testing.T, c *cluster)) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			c := makeCluster(t, size, seed)
			defer c.stop()
			c.tune = firstThree
			scenario(t, c)
		})
	}
}

func (c *cluster) membership() vwraft.Membership {
	return c.member(c.leader()).Status().Log.Membership
}

// changeRules changes the rules at the version that the leader has.
func (c *cluster) changeRules(id vwid.ChangeID) {
	leader := c.member(c.leader())
	view, err := readWithin(leader, vwstate.Query{Config: true})
	require.NoError(c.t, err)
	_, err = proposeWithin(leader, vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: view.Config.Version, Text: []byte(id)}})
	require.NoError(c.t, err)
}

// Members that are told of three others only must all vote soon after the first start, or the loss of two of
// those three stops control.
func TestAllMembersVote(t *testing.T) {
	growing(t, 5, func(t *testing.T, c *cluster) {
		c.startAll()
		time.Sleep(5 * time.Second)
		require.Len(t, c.membership().Voters, 5)
		c.crash(0)
		c.crash(1)
		c.changeRules("after two losses")
	})
}

// A machine that is replaced for good by one at another address must not count against the quorum, so that
// two further losses are borne.
func TestReplacedMemberNoLongerCounts(t *testing.T) {
	growing(t, 6, func(t *testing.T, c *cluster) {
		for at := range 5 {
			c.start(at)
		}
		time.Sleep(5 * time.Second)
		gone := c.member(0).Status().Self.Member
		c.crash(0)
		time.Sleep(time.Second)
		c.start(5)
		time.Sleep(4 * time.Second)
		membership := c.membership()
		require.False(t, membership.Votes(gone))
		require.True(t, membership.Votes(c.member(5).Status().Self.Member))
		c.crash(1)
		c.crash(2)
		c.changeRules("after two more losses")
	})
}

// A member that was removed while it was cut off must take part again under its old id once it is back,
// without an entry that the others do not have.
func TestRemovedMemberReturns(t *testing.T) {
	growing(t, 6, func(t *testing.T, c *cluster) {
		for at := range 5 {
			c.start(at)
		}
		time.Sleep(5 * time.Second)
		cut := c.leader()
		id := c.member(cut).Status().Self.Member
		c.isolate(cut, false, true)
		// The cut member led, so it takes a change that the others never see.
		lost := c.member(cut)
		c.group.Run(func(context.Context) {
			_, _ = proposeWithin(lost, vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "lost", Text: []byte("lost")}})
		})
		time.Sleep(2 * time.Second)
		c.start(5)
		time.Sleep(5 * time.Second)
		others := c.othersMembership(cut)
		require.False(t, others.Votes(id))
		c.changeRules("while one is cut off")
		c.network.heal()
		time.Sleep(6 * time.Second)
		membership := c.membership()
		require.True(t, membership.Votes(id))
		c.finish()
	})
}

// othersMembership returns the membership that the leader of the other members knows.
func (c *cluster) othersMembership(cut int) vwraft.Membership {
	for at := range c.disks {
		if status := c.member(at).Status().Log; at != cut && status.TermCommitted {
			return status.Membership
		}
	}
	require.Fail(c.t, "the others have no leader")
	return vwraft.Membership{}
}

// A member whose disk was lost must never make a second log, even when all members that it asks are empty.
func TestJoiningMemberCreatesNoLog(t *testing.T) {
	growing(t, 3, func(t *testing.T, c *cluster) {
		c.tune = func(s *Settings) { firstThree(s); s.Joins = true }
		c.startAll()
		time.Sleep(10 * time.Second)
		for at := range c.disks {
			require.Zero(t, c.member(at).Status().Log.Last)
		}
	})
}

// A leader whose machine was suspended must not answer from a lease that ran out meanwhile: the others may
// have another leader and a newer version by then.
func TestSuspendedLeaderAnswersNothing(t *testing.T) {
	growing(t, 3, func(t *testing.T, c *cluster) {
		var suspended [3]atomic.Int64
		c.tune = func(s *Settings) {
			firstThree(s)
			at := slices.Index(s.Initial, s.Address)
			s.Suspended = func() time.Duration { return time.Duration(suspended[at].Load()) }
		}
		c.startAll()
		leader := c.leader()
		c.changeRules("before")
		time.Sleep(time.Second)
		read := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := c.member(leader).Client().Read(ctx, vwstate.Query{Config: true})
			return err
		}
		c.isolate(leader, false, true)
		require.NoError(t, read(), "the lease must still hold, or the test shows nothing")
		suspended[leader].Store(int64(3 * time.Second))
		require.Error(t, read())
	})
}

// A process that starts while control has no leader must still learn where the others are.
func TestLocalReadNeedsNoLeader(t *testing.T) {
	growing(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.leader()
		c.register("entry", vwstate.RoleEntry)
		time.Sleep(time.Second)
		c.crash(0)
		c.crash(1)
		time.Sleep(2 * time.Second)
		view, err := readWithin(c.member(2), vwstate.Query{Registrations: true, Local: true})
		require.NoError(t, err)
		require.Len(t, view.Registrations, 1)
		require.Equal(t, []string{address(0), address(1), address(2)}, slices.Sorted(slices.Values(view.Members)))
		_, err = readWithin(c.member(2), vwstate.Query{Registrations: true})
		require.Error(t, err)
	})
}

// A member that has not joined a log must not answer with an empty list as if there were nobody.
func TestLocalReadNeedsALog(t *testing.T) {
	growing(t, 3, func(t *testing.T, c *cluster) {
		c.start(0)
		time.Sleep(time.Second)
		_, err := readWithin(c.member(0), vwstate.Query{Registrations: true, Local: true})
		require.Error(t, err)
	})
}
