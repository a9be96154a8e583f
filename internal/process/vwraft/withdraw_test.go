package vwraft_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// Guards against a leader that cannot store its entries and leaves the others without a leader for an election timeout.
func TestWithdrawnLeaderHandsOver(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		first := c.leader()
		c.delaySync = func() bool { return true }
		_, _, err := c.nodes[first].Propose([]byte("not stored"))
		require.NoError(t, err)
		c.processReady(first, false)
		require.Contains(t, c.pendingSyncs, first)
		c.delaySync = nil
		c.nodes[first].Withdraw()
		c.processReady(first, false)
		require.False(t, c.nodes[first].IsLeader())
		stuck := c.nodes[first]
		delete(c.nodes, first)
		c.deliverAll()
		next := c.leader()
		require.NotEqual(t, first, next)
		c.propose(next, "while it is stuck")
		c.nodes[first] = stuck
		c.repair()
		c.run(20)
		require.Equal(t, c.nodes[next].Status().Commit, c.nodes[first].Status().Commit)
		require.True(t, c.nodes[next].IsLeader(), "a member that goes on must not depose the leader")
	})
}

// Guards against a leader that hands over to a voter before its newest entry arrives there: the other voters have the
// entry, refuse the candidate, and nobody leads for an election timeout.
func TestHandOverSendsMissingEntries(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		first := c.leader()
		target := c.otherMember(first)
		c.delaySync = func() bool { return true }
		_, _, err := c.nodes[first].Propose([]byte("not stored"))
		require.NoError(t, err)
		c.processReady(first, false)
		c.delaySync = nil
		// The append to the target and the acknowledgements of the others are lost.
		c.blockedLinks[string(first)+">"+string(target)] = true
		c.inFlight = slices.DeleteFunc(c.inFlight, func(m vwraft.Message) bool { return m.To == target })
		stuck := c.nodes[first]
		delete(c.nodes, first)
		c.deliverAll()
		c.nodes[first] = stuck
		clear(c.blockedLinks)
		stuck.Withdraw()
		c.processReady(first, false)
		delete(c.nodes, first)
		c.deliverAll()
		require.True(t, c.nodes[target].IsLeader())
	})
}

// Guards against a candidate that could not store its vote and asks for votes once it can, when another leads.
func TestWithdrawnCandidateAsksForNoVotes(t *testing.T) {
	c := makeCluster(t, 3, 1)
	leader := c.leader()
	candidate := c.otherMember(leader)
	c.delaySync = func() bool { return true }
	c.step(vwraft.Message{Kind: vwraft.MessageTimeoutNow, From: leader, To: candidate, Term: c.nodes[leader].Status().Term})
	require.Equal(t, vwraft.RoleCandidate, c.nodes[candidate].Status().Role)
	c.nodes[candidate].Withdraw()
	require.Equal(t, vwraft.RoleFollower, c.nodes[candidate].Status().Role)
	ready := c.pendingSyncs[candidate]
	ready.AfterSync = nil
	c.delaySync = nil
	c.finishSync(candidate, ready)
	c.processReady(candidate, false)
	require.Empty(t, c.inFlight)
}
