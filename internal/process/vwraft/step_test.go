package vwraft_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// makeFollower returns m0 of three members in term 2, with the entries 2 to 5 of term 1 after the membership. It has
// received no message from a leader for ElectionTicks, so it may vote.
func makeFollower(t *testing.T) *vwraft.Node {
	membership := vwraft.Membership{Voters: []vwraft.Voter{voter(0), voter(1), voter(2)}}
	_, first, err := vwraft.Bootstrap(membership)
	require.NoError(t, err)
	entries := []vwraft.Entry{first}
	for index := vwraft.Index(2); index <= 5; index++ {
		entries = append(entries, vwraft.Entry{Index: index, Term: 1})
	}
	settings := vwraft.DefaultSettings("m0", rand.NewPCG(1, 1))
	node, err := vwraft.MakeNode(settings, vwraft.HardState{Term: 2}, vwraft.Snapshot{}, entries)
	require.NoError(t, err)
	for range settings.ElectionTicks {
		node.Tick()
	}
	return node
}

// Guards against votes that break the election rules: for a candidate that lacks entries, for a second candidate of a
// term, and within the lease of a leader that has just sent a message.
func TestVotes(t *testing.T) {
	vote := vwraft.Message{Kind: vwraft.MessageVote, From: "m1", To: "m0", Term: 3, Index: 5, LogTerm: 1}
	heartbeat := vwraft.Message{Kind: vwraft.MessageAppend, From: "m2", To: "m0", Term: 2, Index: 5, LogTerm: 1}
	cases := map[string]struct {
		before  []vwraft.Message
		change  func(m *vwraft.Message)
		answers bool
		granted bool
	}{
		"complete log":              {change: func(*vwraft.Message) {}, answers: true, granted: true},
		"shorter log":               {change: func(m *vwraft.Message) { m.Index = 4 }, answers: true},
		"longer log of older term":  {change: func(m *vwraft.Message) { m.Index, m.LogTerm = 9, 0 }, answers: true},
		"shorter log of newer term": {change: func(m *vwraft.Message) { m.Index, m.LogTerm = 3, 2 }, answers: true, granted: true},
		"second candidate": {
			before: []vwraft.Message{{Kind: vwraft.MessageVote, From: "m2", To: "m0", Term: 3, Index: 5, LogTerm: 1}},
			change: func(*vwraft.Message) {}, answers: true,
		},
		// "leased" means within the lease of a leader.
		"leased":                    {before: []vwraft.Message{heartbeat}, change: func(*vwraft.Message) {}},
		"leased, but leader asked":  {before: []vwraft.Message{heartbeat}, change: func(m *vwraft.Message) { m.Transfer = true }, answers: true, granted: true},
		"pre-vote":                  {change: func(m *vwraft.Message) { m.Kind = vwraft.MessagePreVote }, answers: true, granted: true},
		"leased pre-vote":           {before: []vwraft.Message{heartbeat}, change: func(m *vwraft.Message) { m.Kind = vwraft.MessagePreVote }, answers: true},
		"pre-vote with shorter log": {change: func(m *vwraft.Message) { m.Kind, m.Index = vwraft.MessagePreVote, 4 }, answers: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			node := makeFollower(t)
			for _, m := range test.before {
				node.Step(m)
				if _, ok := node.Ready(); ok {
					node.Advance()
				}
			}
			m := vote
			test.change(&m)
			node.Step(m)
			ready, _ := node.Ready()
			require.Empty(t, ready.Messages, "an answer has to wait for the sync")
			if !test.answers {
				require.Empty(t, ready.AfterSync)
				require.Equal(t, vwraft.Term(2), node.Status().Term)
				return
			}
			require.Len(t, ready.AfterSync, 1)
			require.Equal(t, test.granted, !ready.AfterSync[0].Reject)
		})
	}
}

// Guards against a follower that commits entries that do not yet match the log of the leader.
func TestFollowerCommitsOnlyMatchingEntries(t *testing.T) {
	node := makeFollower(t)
	node.Step(vwraft.Message{Kind: vwraft.MessageAppend, From: "m1", To: "m0", Term: 3, Index: 3, LogTerm: 1, Commit: 5})
	require.Equal(t, vwraft.Index(3), node.Status().Commit)
}

// Guards against a leader that commits an entry of an earlier term by counting replicas: a member whose last entry has
// a newer term could still be elected and replace it.
func TestLeaderCommitsOnlyItsTerm(t *testing.T) {
	node := makeFollower(t)
	for !node.IsLeader() {
		node.Tick()
		ready, ok := node.Ready()
		if !ok {
			continue
		}
		node.Advance()
		for _, m := range ready.AfterSync {
			reply := vwraft.Message{From: m.To, To: "m0", Term: m.Term}
			reply.Kind = map[vwraft.MessageKind]vwraft.MessageKind{
				vwraft.MessagePreVote: vwraft.MessagePreVoteReply, vwraft.MessageVote: vwraft.MessageVoteReply,
			}[m.Kind]
			node.Step(reply)
		}
	}
	_, _ = node.Ready()
	node.Advance()
	status := node.Status()
	require.Equal(t, vwraft.Index(6), status.Last)
	reply := vwraft.Message{Kind: vwraft.MessageAppendReply, From: "m1", To: "m0", Term: status.Term, Index: 5}
	node.Step(reply)
	require.Zero(t, node.Status().Commit)
	reply.Index = 6
	node.Step(reply)
	require.Equal(t, vwraft.Index(6), node.Status().Commit)
}
