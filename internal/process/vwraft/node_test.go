package vwraft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Guards against lost, reordered or diverging committed entries and against two leaders of a term,
// under any order of deliveries, losses, crashes before and after a sync, restarts and compactions.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		c := makeCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		pick := func(t *rapid.T) vwid.Member { return voter(rapid.IntRange(0, size-1).Draw(t, "member")).Member }
		proposed := 0
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { c.run(rapid.IntRange(1, 30).Draw(t, "ticks")) },
			"tick one": func(t *rapid.T) {
				member := pick(t)
				for range rapid.IntRange(1, 15).Draw(t, "ticks") {
					if c.nodes[member] != nil {
						c.nodes[member].Tick()
						c.processReady(member, false)
					}
				}
			},
			"deliver one": func(t *rapid.T) {
				if len(c.inFlight) == 0 {
					return
				}
				at := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "at")
				m := c.inFlight[at]
				if !rapid.Bool().Draw(t, "duplicate") {
					c.inFlight = append(c.inFlight[:at:at], c.inFlight[at+1:]...)
				}
				c.step(m)
			},
			"lose": func(_ *rapid.T) { c.inFlight = nil },
			"propose": func(t *rapid.T) {
				member := pick(t)
				if c.nodes[member] == nil {
					return
				}
				proposed++
				_, _, _ = c.nodes[member].Propose([]byte(fmt.Sprint(proposed)))
				c.processReady(member, rapid.Bool().Draw(t, "crash before sync"))
			},
			"crash or restart": func(t *rapid.T) {
				member := pick(t)
				if c.nodes[member] == nil {
					c.start(member)
					return
				}
				c.crash(member)
			},
			"isolate": func(t *rapid.T) { c.isolate(pick(t), rapid.Bool().Draw(t, "cut")) },
			"compact": func(t *rapid.T) {
				if member := pick(t); c.nodes[member] != nil {
					c.compact(member)
				}
			},
			"transfer": func(t *rapid.T) {
				if member := pick(t); c.nodes[member] != nil {
					c.nodes[member].TransferLeadership()
					c.processReady(member, false)
				}
			},
		})
		c.requireRecovery()
	})
}

// requireRecovery repairs all faults and requires progress: no reachable state may block the cluster for good, and
// every member must apply every entry that was ever committed.
func (c *cluster) requireRecovery() {
	c.repair()
	// A transfer in progress ends within one election timeout.
	c.run(40)
	leader := c.leader()
	c.propose(leader, "after recovery")
	require.NoError(c.t, c.nodes[leader].Read(99))
	c.processReady(leader, false)
	c.run(40)
	require.Equal(c.t, uint64(99), c.reads[leader][len(c.reads[leader])-1].ID)
	for _, member := range c.members() {
		require.Equal(c.t, c.nodes[leader].Status().Commit, c.applied[member], "member %s", member)
	}
	require.NoError(c.t, c.checker.checkComplete(c.applied[leader]))
}

// Guards against the same faults as TestSafety with long random schedules of single steps, weighted so that elections,
// conflicts and crashes are frequent.
func TestSchedules(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(2 * scheduleCount) {
			// The second half of the seeds sets ReadsByQuorum.
			byQuorum := seed >= scheduleCount
			t.Run(fmt.Sprintf("size %d seed %d", size, seed), func(t *testing.T) {
				c := makeCluster(t, size, seed)
				c.adjustSettings = func(s *vwraft.Settings) {
					s.TrailingEntries, s.MaxPromotionLag, s.ElectionTicks, s.HeartbeatTicks, s.MaxInflight = 4, 4, 4, 1, 3
					s.ReadsByQuorum = byQuorum
				}
				for _, member := range c.members() {
					c.start(member)
				}
				random := rand.New(rand.NewPCG(seed, uint64(size)))
				c.delaySync = func() bool { return random.IntN(3) == 0 }
				for range 4000 {
					c.randomStep(random, size)
				}
				t.Logf("terms %d, committed %d", len(c.checker.leaders), len(c.checker.committedEntries))
				c.requireRecovery()
			})
		}
	}
}

func (c *cluster) randomStep(random *rand.Rand, size int) {
	member := voter(random.IntN(size)).Member
	node := c.nodes[member]
	switch roll := random.IntN(1000); {
	case roll < 550 && len(c.inFlight) > 0:
		c.deliverAny(random)
	case roll < 800 && node != nil:
		node.Tick()
		c.processReady(member, random.IntN(30) == 0)
	case roll < 870 && node != nil:
		_, _, _ = node.Propose(fmt.Append(nil, random.Uint32()))
		c.processReady(member, random.IntN(10) == 0)
	case roll < 936:
		if ready, ok := c.pendingSyncs[member]; ok {
			c.finishSync(member, ready)
			c.processReady(member, false)
		}
	case roll < 940:
		c.inFlight = c.inFlight[:random.IntN(len(c.inFlight)+1)]
	case roll < 945:
		c.crash(member)
	case roll < 950:
		c.isolate(member, true)
	case roll < 960:
		clear(c.blockedLinks)
	case roll < 965 && node != nil:
		c.compact(member)
	case roll < 972 && node != nil:
		node.Withdraw()
		c.processReady(member, false)
	case node == nil:
		c.start(member)
	}
}

// deliverAny delivers one of the oldest messages or, seldom, any message. Some messages are duplicated, and some
// receivers crash before the sync.
func (c *cluster) deliverAny(random *rand.Rand) {
	at := random.IntN(min(len(c.inFlight), 4))
	if random.IntN(10) == 0 {
		at = random.IntN(len(c.inFlight))
	}
	m := c.inFlight[at]
	if random.IntN(20) > 0 {
		c.inFlight = slices.Delete(c.inFlight, at, at+1)
	}
	if node := c.nodes[m.To]; node != nil {
		node.Step(m)
		c.processReady(m.To, random.IntN(60) == 0)
	}
}

// Guards against a member that raises the term during a partition and so deposes a healthy leader after it.
func TestPreVoteProtectsLeader(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		leader := c.leader()
		term := c.nodes[leader].Status().Term
		isolated := c.otherMember(leader)
		c.isolate(isolated, true)
		c.run(500)
		c.isolate(isolated, false)
		c.run(100)
		require.Equal(t, term, c.nodes[leader].Status().Term)
		require.True(t, c.nodes[leader].IsLeader())
	})
}

// Guards against a one-way partition in which a member receives no messages but can send: its election attempts must
// not depose the leader.
func TestMemberThatCannotReceiveDoesNotDeposeLeader(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		leader := c.leader()
		term := c.nodes[leader].Status().Term
		sendOnly := c.otherMember(leader)
		for _, member := range c.members() {
			c.blockedLinks[string(member)+">"+string(sendOnly)] = true
		}
		c.run(500)
		require.True(t, c.nodes[leader].IsLeader())
		require.Equal(t, term, c.nodes[leader].Status().Term)
	})
}

// Guards against a partitioned leader that keeps its lease after another member has become leader, or that keeps its
// role.
func TestIsolatedLeaderLosesLeaseFirst(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		old := c.leader()
		c.isolate(old, true)
		for range 60 {
			c.run(1)
			for _, member := range c.members() {
				if member != old && c.nodes[member].IsLeader() {
					require.False(t, c.nodes[old].HasReadLease(), "the isolated leader has a read lease while another member leads")
				}
			}
		}
		require.False(t, c.nodes[old].IsLeader(), "check-quorum did not end the leadership")
		require.NotEqual(t, old, c.leader())
	})
}

// Guards against lease reads during a transfer, when another member may become leader at any moment.
func TestTransferEndsLease(t *testing.T) {
	c := makeCluster(t, 3, 7)
	old := c.leader()
	require.True(t, c.nodes[old].TransferLeadership())
	require.False(t, c.nodes[old].HasReadLease())
	_, _, err := c.nodes[old].Propose(nil)
	require.ErrorIs(t, err, vwraft.ErrTransferring)
	c.processReady(old, false)
	c.deliverAll()
	require.False(t, c.nodes[old].IsLeader())
	_, _, err = c.nodes[old].Propose(nil)
	_, refused := vwraft.IsNotLeader(err)
	require.True(t, refused)
}

// Guards against a read that is answered without a quorum round after the lease has expired.
func TestReadWaitsForQuorum(t *testing.T) {
	c := makeCluster(t, 3, 3)
	leader := c.leader()
	require.NoError(t, c.nodes[leader].Read(1))
	c.processReady(leader, false)
	require.Len(t, c.reads[leader], 1, "the lease permits an answer without messages")
	c.isolate(leader, true)
	// The lease ends after 7 ticks and the leadership, by check-quorum, after 10.
	for range 8 {
		c.nodes[leader].Tick()
	}
	require.True(t, c.nodes[leader].IsLeader())
	require.NoError(t, c.nodes[leader].Read(2))
	c.processReady(leader, false)
	require.Len(t, c.reads[leader], 1, "without a lease the read has to wait")
	c.isolate(leader, false)
	require.NoError(t, c.nodes[leader].Read(3))
	c.processReady(leader, false)
	c.deliverAll()
	require.Len(t, c.reads[leader], 3)
}

// Guards against a member that never catches up after a partition, because it lacks many entries or because the
// leader has compacted them.
func TestLaggingMemberCatchesUp(t *testing.T) {
	cases := map[string]struct {
		changes int
		compact bool
		batch   int
	}{
		"few entries":             {changes: 3, batch: 1 << 10},
		"hundreds of entries":     {changes: 300, batch: 64},
		"snapshot in many chunks": {changes: 300, compact: true, batch: 4},
		"snapshot in one message": {changes: 300, compact: true, batch: 1 << 10},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := makeCluster(t, 3, 9)
			c.adjustSettings = func(s *vwraft.Settings) { s.TrailingEntries, s.MaxBatchBytes = 4, test.batch }
			for _, member := range c.members() {
				c.start(member)
			}
			leader := c.leader()
			lagging := c.otherMember(leader)
			c.isolate(lagging, true)
			for at := range test.changes {
				c.propose(leader, fmt.Sprint(at))
			}
			if test.compact {
				c.compact(leader)
			}
			c.isolate(lagging, false)
			c.run(30)
			require.Equal(t, c.nodes[leader].Status().Commit, c.applied[lagging])
		})
	}
}

func (c *cluster) otherMember(excluded vwid.Member) vwid.Member {
	for _, member := range c.members() {
		if member != excluded {
			return member
		}
	}
	return ""
}

// Guards against a learner that is promoted before it has the log, and against two pending membership changes.
func TestMembershipChanges(t *testing.T) {
	c := makeCluster(t, 3, 11)
	leader := c.leader()
	for at := range 20 {
		c.propose(leader, fmt.Sprint(at))
	}
	added := voter(3)
	c.disks[added.Member] = &disk{}
	node := c.nodes[leader]
	change := func(kind vwraft.ChangeKind, v vwraft.Voter) error {
		_, _, err := node.ProposeChange(vwraft.Change{Kind: kind, Voter: v})
		return err
	}
	require.NoError(t, change(vwraft.ChangeAddLearner, added))
	require.ErrorIs(t, change(vwraft.ChangeRemove, voter(0)), vwraft.ErrChangePending)
	c.run(10)
	require.ErrorIs(t, change(vwraft.ChangePromote, added), vwraft.ErrNotCaughtUp)
	c.start(added.Member)
	c.run(10)
	require.NoError(t, change(vwraft.ChangePromote, added))
	c.run(10)
	require.NoError(t, change(vwraft.ChangeRemove, vwraft.Voter{Member: leader}))
	c.run(60)
	require.False(t, node.IsLeader(), "the removed leader did not step down")
	c.crash(leader)
	next := c.leader()
	c.propose(next, "after the change")
	status := c.nodes[next].Status()
	require.Len(t, status.Membership.Voters, 3)
	require.False(t, status.Membership.Votes(leader))
}

// Guards against unbounded uncommitted entries on a leader that has lost its quorum.
func TestProposalsAreBounded(t *testing.T) {
	c := makeCluster(t, 3, 13)
	c.adjustSettings = func(s *vwraft.Settings) { s.MaxUncommittedBytes = 100 }
	for _, member := range c.members() {
		c.start(member)
	}
	leader := c.leader()
	c.isolate(leader, true)
	_, _, err := c.nodes[leader].Propose(make([]byte, 90))
	require.NoError(t, err)
	_, _, err = c.nodes[leader].Propose(make([]byte, 90))
	require.ErrorIs(t, err, vwraft.ErrBusy)
}

// restartAll crashes all members, drops all messages in flight and starts the given members.
func (c *cluster) restartAll(started ...vwid.Member) {
	for _, member := range c.members() {
		c.crash(member)
	}
	c.inFlight = nil
	for _, member := range started {
		c.start(member)
	}
}

// Guards against an election that waits for the end of a lease after a restart of all members with ReadsByQuorum: no
// leader holds a lease then, and nothing is served until one is elected.
func TestRestartOfAllElectsQuickly(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		c.adjustSettings = func(s *vwraft.Settings) { s.ReadsByQuorum = true }
		c.leader()
		c.restartAll("m0", "m1", "m2", "m3", "m4")
		election := vwraft.DefaultSettings("m0", rand.NewPCG(1, 1)).ElectionTicks
		for ticks := 1; ; ticks++ {
			c.run(1)
			if slices.ContainsFunc(c.members(), func(m vwid.Member) bool { return c.nodes[m].Status().TermCommitted }) {
				break
			}
			require.Less(t, ticks, election)
		}
	})
}

// Guards against a late election when the start of one member restores the majority.
func TestElectionAfterMajorityReturns(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		c.adjustSettings = func(s *vwraft.Settings) { s.ReadsByQuorum = true }
		c.leader()
		c.restartAll("m0", "m1")
		c.run(100)
		c.start("m2")
		election := vwraft.DefaultSettings("m0", rand.NewPCG(1, 1)).ElectionTicks
		for ticks := 1; ; ticks++ {
			c.run(1)
			if slices.ContainsFunc(c.members(), func(m vwid.Member) bool { return c.nodes[m].Status().TermCommitted }) {
				break
			}
			require.Less(t, ticks, 2*election, "not longer than one election timeout")
		}
	})
}

// Guards against a lease on a leader with ReadsByQuorum: restarted members vote without regard to a lease, so an
// isolated leader must never answer a read.
func TestReadsByQuorumRequireQuorum(t *testing.T) {
	runSeeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		c.adjustSettings = func(s *vwraft.Settings) { s.ReadsByQuorum = true }
		c.restartAll("m0", "m1", "m2")
		leader := c.leader()
		require.False(t, c.nodes[leader].HasReadLease())
		c.isolate(leader, true)
		require.NoError(t, c.nodes[leader].Read(1))
		c.processReady(leader, false)
		c.run(3)
		require.Empty(t, c.reads[leader])
		c.isolate(leader, false)
		leader = c.leader()
		require.NoError(t, c.nodes[leader].Read(2))
		c.processReady(leader, false)
		c.run(3)
		require.NotEmpty(t, c.reads[leader])
	})
}
