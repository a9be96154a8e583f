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
						c.settle(member, false)
					}
				}
			},
			"deliver one": func(t *rapid.T) {
				if len(c.network) == 0 {
					return
				}
				at := rapid.IntRange(0, len(c.network)-1).Draw(t, "at")
				m := c.network[at]
				if !rapid.Bool().Draw(t, "duplicate") {
					c.network = append(c.network[:at:at], c.network[at+1:]...)
				}
				c.step(m)
			},
			"lose": func(_ *rapid.T) { c.network = nil },
			"propose": func(t *rapid.T) {
				member := pick(t)
				if c.nodes[member] == nil {
					return
				}
				proposed++
				_, _, _ = c.nodes[member].Propose([]byte(fmt.Sprint(proposed)))
				c.settle(member, rapid.Bool().Draw(t, "crash before sync"))
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
					c.nodes[member].Transfer()
					c.settle(member, false)
				}
			},
		})
		c.recover()
	})
}

// recover heals everything and requires progress: no reachable state may block the cluster for good,
// and everything that was ever committed is applied everywhere.
func (c *cluster) recover() {
	c.heal()
	// An unfinished transfer ends within one election timeout.
	c.run(40)
	leader := c.leader()
	c.propose(leader, "after recovery")
	require.NoError(c.t, c.nodes[leader].Read(99))
	c.settle(leader, false)
	c.run(40)
	require.Equal(c.t, uint64(99), c.reads[leader][len(c.reads[leader])-1].ID)
	for _, member := range c.members() {
		require.Equal(c.t, c.nodes[leader].Status().Commit, c.applied[member], "member %s", member)
	}
	require.NoError(c.t, c.check.complete(c.applied[leader]))
}

// Guards against the same faults as TestSafety by long schedules of single steps, with weights that
// keep elections, conflicts and crashes frequent.
func TestSchedules(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(2 * scheduleCount) {
			// The second half of the seeds reads by quorum.
			byQuorum := seed >= scheduleCount
			t.Run(fmt.Sprintf("size %d seed %d", size, seed), func(t *testing.T) {
				c := makeCluster(t, size, seed)
				c.tune = func(s *vwraft.Settings) {
					s.Trailing, s.CaughtUp, s.ElectionTicks, s.HeartbeatTicks, s.MaxInflight = 4, 4, 4, 1, 3
					s.ReadsByQuorum = byQuorum
				}
				for _, member := range c.members() {
					c.start(member)
				}
				random := rand.New(rand.NewPCG(seed, uint64(size)))
				c.slow = func() bool { return random.IntN(3) == 0 }
				for range 4000 {
					c.randomStep(random, size)
				}
				t.Logf("terms %d, committed %d", len(c.check.leaders), len(c.check.log))
				c.recover()
			})
		}
	}
}

func (c *cluster) randomStep(random *rand.Rand, size int) {
	member := voter(random.IntN(size)).Member
	node := c.nodes[member]
	switch roll := random.IntN(1000); {
	case roll < 550 && len(c.network) > 0:
		c.deliverAny(random)
	case roll < 800 && node != nil:
		node.Tick()
		c.settle(member, random.IntN(30) == 0)
	case roll < 870 && node != nil:
		_, _, _ = node.Propose(fmt.Append(nil, random.Uint32()))
		c.settle(member, random.IntN(10) == 0)
	case roll < 936:
		if ready, ok := c.syncing[member]; ok {
			c.finishSync(member, ready)
			c.settle(member, false)
		}
	case roll < 940:
		c.network = c.network[:random.IntN(len(c.network)+1)]
	case roll < 945:
		c.crash(member)
	case roll < 950:
		c.isolate(member, true)
	case roll < 960:
		clear(c.cut)
	case roll < 965 && node != nil:
		c.compact(member)
	case node == nil:
		c.start(member)
	}
}

// deliverAny delivers an early message or, seldom, a late one; some are repeated, some lead into a crash.
func (c *cluster) deliverAny(random *rand.Rand) {
	at := random.IntN(min(len(c.network), 4))
	if random.IntN(10) == 0 {
		at = random.IntN(len(c.network))
	}
	m := c.network[at]
	if random.IntN(20) > 0 {
		c.network = slices.Delete(c.network, at, at+1)
	}
	if node := c.nodes[m.To]; node != nil {
		node.Step(m)
		c.settle(m.To, random.IntN(60) == 0)
	}
}

// Guards against a member that was cut off raising the term, and so deposing a healthy leader, on return.
func TestPreVoteProtectsLeader(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		leader := c.leader()
		term := c.nodes[leader].Status().Term
		cutOff := c.other(leader)
		c.isolate(cutOff, true)
		c.run(500)
		c.isolate(cutOff, false)
		c.run(100)
		require.Equal(t, term, c.nodes[leader].Status().Term)
		require.True(t, c.nodes[leader].IsLeader())
	})
}

// Guards against a member that hears nothing but is heard: its election attempts must not depose the leader.
func TestDeafMemberDoesNotDisturb(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		leader := c.leader()
		term := c.nodes[leader].Status().Term
		deaf := c.other(leader)
		for _, member := range c.members() {
			c.cut[string(member)+">"+string(deaf)] = true
		}
		c.run(500)
		require.True(t, c.nodes[leader].IsLeader())
		require.Equal(t, term, c.nodes[leader].Status().Term)
	})
}

// Guards against a cut-off leader that keeps its lease or its role beyond the time at which another may lead.
func TestIsolatedLeaderLosesLeaseFirst(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		old := c.leader()
		c.isolate(old, true)
		for range 60 {
			c.run(1)
			for _, member := range c.members() {
				if member != old && c.nodes[member].IsLeader() {
					require.False(t, c.nodes[old].Leased(), "two leaders trust their lease")
				}
			}
		}
		require.False(t, c.nodes[old].IsLeader(), "check-quorum did not end the leadership")
		require.NotEqual(t, old, c.leader())
	})
}

// Guards against lease reads during a transfer, in which another member may lead at any moment.
func TestTransferEndsLease(t *testing.T) {
	c := makeCluster(t, 3, 7)
	old := c.leader()
	require.True(t, c.nodes[old].Transfer())
	require.False(t, c.nodes[old].Leased())
	_, _, err := c.nodes[old].Propose(nil)
	require.ErrorIs(t, err, vwraft.ErrTransferring)
	c.settle(old, false)
	c.deliver()
	require.False(t, c.nodes[old].IsLeader())
	_, _, err = c.nodes[old].Propose(nil)
	_, refused := vwraft.IsNotLeader(err)
	require.True(t, refused)
}

// Guards against answers to reads before a quorum round when the lease does not cover them.
func TestReadWaitsForQuorum(t *testing.T) {
	c := makeCluster(t, 3, 3)
	leader := c.leader()
	require.NoError(t, c.nodes[leader].Read(1))
	c.settle(leader, false)
	require.Len(t, c.reads[leader], 1, "the lease permits an answer without messages")
	c.isolate(leader, true)
	// The lease ends after 7 ticks and the leadership, by check-quorum, after 10.
	for range 8 {
		c.nodes[leader].Tick()
	}
	require.True(t, c.nodes[leader].IsLeader())
	require.NoError(t, c.nodes[leader].Read(2))
	c.settle(leader, false)
	require.Len(t, c.reads[leader], 1, "without a lease the read has to wait")
	c.isolate(leader, false)
	require.NoError(t, c.nodes[leader].Read(3))
	c.settle(leader, false)
	c.deliver()
	require.Len(t, c.reads[leader], 3)
}

// Guards against a member that lags behind the compacted log, or holds a long conflicting tail, staying behind.
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
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			c := makeCluster(t, 3, 9)
			c.tune = func(s *vwraft.Settings) { s.Trailing, s.MaxBatchBytes = 4, k.batch }
			for _, member := range c.members() {
				c.start(member)
			}
			leader := c.leader()
			lagging := c.other(leader)
			c.isolate(lagging, true)
			for at := range k.changes {
				c.propose(leader, fmt.Sprint(at))
			}
			if k.compact {
				c.compact(leader)
			}
			c.isolate(lagging, false)
			c.run(30)
			require.Equal(t, c.nodes[leader].Status().Commit, c.applied[lagging])
		})
	}
}

func (c *cluster) other(than vwid.Member) vwid.Member {
	for _, member := range c.members() {
		if member != than {
			return member
		}
	}
	return ""
}

// Guards against a learner that votes before it holds the log, and against two changes at once.
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
	require.False(t, node.IsLeader(), "a removed leader steps down")
	c.crash(leader)
	next := c.leader()
	c.propose(next, "after the change")
	status := c.nodes[next].Status()
	require.Len(t, status.Membership.Voters, 3)
	require.False(t, status.Membership.Votes(leader))
}

// Guards against an unbounded log of uncommitted entries at a leader that has lost its quorum.
func TestProposalsAreBounded(t *testing.T) {
	c := makeCluster(t, 3, 13)
	c.tune = func(s *vwraft.Settings) { s.MaxUncommittedBytes = 100 }
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

// restartAll crashes all members and starts the named ones.
func (c *cluster) restartAll(started ...vwid.Member) {
	for _, member := range c.members() {
		c.crash(member)
	}
	c.network = nil
	for _, member := range started {
		c.start(member)
	}
}

// Nothing is served after a restart of all members until one leads, so that must not wait for a lease that nobody
// relies on.
func TestRestartOfAllElectsQuickly(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		c.tune = func(s *vwraft.Settings) { s.ReadsByQuorum = true }
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

// Members that wait for a majority must elect soon after the member that completes it is there.
func TestMemberThatCompletesMajority(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 5, seed)
		c.tune = func(s *vwraft.Settings) { s.ReadsByQuorum = true }
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

// A leader that reads by quorum has no lease, since restarted members vote without regard to one: a read at a leader
// that was cut off must never be answered.
func TestReadsByQuorumNeedOne(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		c := makeCluster(t, 3, seed)
		c.tune = func(s *vwraft.Settings) { s.ReadsByQuorum = true }
		c.restartAll("m0", "m1", "m2")
		leader := c.leader()
		require.False(t, c.nodes[leader].Leased())
		c.isolate(leader, true)
		require.NoError(t, c.nodes[leader].Read(1))
		c.settle(leader, false)
		c.run(3)
		require.Empty(t, c.reads[leader])
		c.isolate(leader, false)
		leader = c.leader()
		require.NoError(t, c.nodes[leader].Read(2))
		c.settle(leader, false)
		c.run(3)
		require.NotEmpty(t, c.reads[leader])
	})
}
