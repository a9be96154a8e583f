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

// setThreeInitial makes the first three addresses the initial ones, as in a cluster with more members than initial
// addresses.
func setThreeInitial(s *Settings) {
	s.SnapshotEntries = 20
	s.Initial = []string{address(0), address(1), address(2)}
}

// runWithThreeInitial runs a scenario on a cluster of which no member is started yet and the first three are the initial
// ones.
func runWithThreeInitial(t *testing.T, size int, scenario func(t *testing.T, c *cluster)) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			c := makeCluster(t, size, seed)
			defer c.stop()
			c.configure = setThreeInitial
			scenario(t, c)
		})
	}
}

func (c *cluster) membership() vwraft.Membership {
	return c.member(c.waitForLeader()).Status().Log.Membership
}

// changeRules proposes a change of the rules based on the leader's current version.
func (c *cluster) changeRules(id vwid.ChangeID) {
	leader := c.member(c.waitForLeader())
	view, err := readWithin(leader, vwstate.Query{Config: true})
	require.NoError(c.t, err)
	_, err = proposeWithin(leader, vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: view.Config.Version, Text: []byte(id)}})
	require.NoError(c.t, err)
}

// Guards against members that stay learners: with only the three initial members as voters, the loss of two of them
// would stop control.
func TestAllMembersVote(t *testing.T) {
	runWithThreeInitial(t, 5, func(t *testing.T, c *cluster) {
		c.startAll()
		time.Sleep(5 * time.Second)
		require.Len(t, c.membership().Voters, 5)
		c.crash(0)
		c.crash(1)
		c.changeRules("after two losses")
	})
}

// Guards against a voter that is replaced by a member at another address and still counts towards the quorum: two
// further losses must be tolerated.
func TestReplacedMemberNoLongerCounts(t *testing.T) {
	runWithThreeInitial(t, 6, func(t *testing.T, c *cluster) {
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

// Guards against a member that is removed while it is isolated and does not rejoin afterwards under its old id, or keeps
// an uncommitted entry that the others do not have.
func TestRemovedMemberReturns(t *testing.T) {
	runWithThreeInitial(t, 6, func(t *testing.T, c *cluster) {
		for at := range 5 {
			c.start(at)
		}
		time.Sleep(5 * time.Second)
		cut := c.waitForLeader()
		id := c.member(cut).Status().Self.Member
		c.isolate(cut, false, true)
		// The isolated member was the leader, so it appends a change that the others never receive.
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
		c.recoverAndCheck()
	})
}

// othersMembership returns the membership at the leader of the other members.
func (c *cluster) othersMembership(cut int) vwraft.Membership {
	for at := range c.disks {
		if status := c.member(at).Status().Log; at != cut && status.TermCommitted {
			return status.Membership
		}
	}
	require.Fail(c.t, "the others have no leader")
	return vwraft.Membership{}
}

// Guards against a second log: with JoinOnly set no member creates one, even if all members have empty logs.
func TestJoiningMemberCreatesNoLog(t *testing.T) {
	runWithThreeInitial(t, 3, func(t *testing.T, c *cluster) {
		c.configure = func(s *Settings) { setThreeInitial(s); s.JoinOnly = true }
		c.startAll()
		time.Sleep(10 * time.Second)
		for at := range c.disks {
			require.Zero(t, c.member(at).Status().Log.Last)
		}
	})
}

// Guards against a leader that was suspended and answers reads from a leader lease that has expired meanwhile: the others
// may have a new leader and a newer version by then.
func TestSuspendedLeaderAnswersNothing(t *testing.T) {
	runWithThreeInitial(t, 3, func(t *testing.T, c *cluster) {
		var suspended [3]atomic.Int64
		c.configure = func(s *Settings) {
			setThreeInitial(s)
			at := slices.Index(s.Initial, s.Address)
			s.SuspendedTime = func() time.Duration { return time.Duration(suspended[at].Load()) }
		}
		c.startAll()
		leader := c.waitForLeader()
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

// Guards against local reads that need a leader: a process that starts while control has none needs the addresses of the
// others.
func TestLocalReadNeedsNoLeader(t *testing.T) {
	runWithThreeInitial(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.waitForLeader()
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

// Guards against a member without a log that answers a local read with an empty list instead of an error.
func TestLocalReadNeedsALog(t *testing.T) {
	runWithThreeInitial(t, 3, func(t *testing.T, c *cluster) {
		c.start(0)
		time.Sleep(time.Second)
		_, err := readWithin(c.member(0), vwstate.Query{Registrations: true, Local: true})
		require.Error(t, err)
	})
}
