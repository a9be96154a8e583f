package vwcontrol

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// runScenario starts a cluster in a synctest bubble, waits for a leader and runs a scenario.
func runScenario(t *testing.T, size int, seed uint64, scenario func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, size, seed)
		defer c.stop()
		c.startAll()
		c.waitForLeader()
		scenario(t, c)
	})
}

// Guards against lost acknowledged changes, two changes with the same version, decreasing versions, two leaders in one
// term, NotRun answers to commands that were applied, and members whose states differ. Each kind of fault is injected
// while several operators propose concurrently.
func TestFaults(t *testing.T) {
	faults := map[string]func(c *cluster){
		"none":              func(*cluster) {},
		"leader crashes":    func(c *cluster) { c.crash(c.waitForLeader()) },
		"follower crashes":  func(c *cluster) { c.crash(c.follower()) },
		"two at once":       func(c *cluster) { c.crash(c.follower()); c.crash((c.waitForLeader() + 2) % len(c.disks)) },
		"all at once":       func(c *cluster) { crashAll(c) },
		"one after repair":  oneAfterRepair,
		"leader isolated":   func(c *cluster) { c.isolate(c.waitForLeader(), false, true) },
		"follower isolated": func(c *cluster) { c.isolate(c.follower(), false, true) },
		"leader sends but hears nothing": func(c *cluster) {
			leader := c.waitForLeader()
			for other := range c.disks {
				c.network.setCut(address(other), address(leader), true)
			}
		},
		"leader hears but sends nothing": func(c *cluster) { c.isolate(c.waitForLeader(), true, true) },
		"follower sends nothing":         func(c *cluster) { c.isolate(c.follower(), true, true) },
		"one direction between two": func(c *cluster) {
			c.network.setCut(address(c.waitForLeader()), address(c.follower()), true)
		},
		"cut off for long": func(c *cluster) {
			c.isolate(c.follower(), false, true)
			time.Sleep(2 * time.Minute)
		},
		"lossy network": func(c *cluster) { c.network.setLoss(0.2) },
		"slow disk":     func(c *cluster) { c.disks[c.waitForLeader()].SetSyncDelay(800 * time.Millisecond) },
		"failing disk":  func(c *cluster) { c.disks[c.waitForLeader()].SetFailSync(true) },
		"full disk":     func(c *cluster) { c.disks[c.waitForLeader()].SetFull(50, false) },
		"full disks":    fillMajority,
		"lost disk":     func(c *cluster) { c.wipe(c.follower()) },
		"lost leader":   func(c *cluster) { c.wipe(c.waitForLeader()) },
		"killed, then without power": func(c *cluster) {
			restartAll(c, c.kill)
			time.Sleep(time.Duration(c.random.IntN(100)) * time.Millisecond)
			crashAll(c)
		},
		"planned stop":   plannedStop,
		"repeated stops": func(c *cluster) { plannedStop(c); time.Sleep(time.Second); plannedStop(c) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runSeeded(t, func(_ *testing.T, c *cluster) {
				end := c.startOperators(3)
				time.Sleep(3 * time.Second)
				fault(c)
				time.Sleep(5 * time.Second)
				c.network.heal()
				time.Sleep(3 * time.Second)
				end()
				c.recoverAndCheck()
			})
		})
	}
}

func crashAll(c *cluster) {
	restartAll(c, c.crash)
}

func restartAll(c *cluster, end func(at int)) {
	for at := range c.disks {
		end(at)
	}
	for at := range c.disks {
		c.start(at)
	}
}

// fillMajority lets a majority of the disks run full one after another.
func fillMajority(c *cluster) {
	for at := range len(c.disks)/2 + 1 {
		c.disks[at].SetFull(c.random.IntN(200), at == 0)
		time.Sleep(200 * time.Millisecond)
	}
}

func oneAfterRepair(c *cluster) {
	first := c.follower()
	c.crash(first)
	time.Sleep(2 * time.Second)
	c.start(first)
	// A second member fails while the first one may still be catching up.
	c.crash((first + 1) % len(c.disks))
}

func plannedStop(c *cluster) {
	leader := c.waitForLeader()
	m := c.member(leader)
	c.set(leader, nil)
	_ = m.Stop()
	c.start(leader)
}

// Guards against a history check that misses lost writes: it must fail when disks report a sync and then lose
// acknowledged changes.
func TestFaultsDetectIgnoredSyncs(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		// With one segment and no snapshots the disks lose only the tail of the log, which a restart cannot detect.
		c.configure = func(s *Settings) { s.SnapshotEntries, s.SegmentBytes = 1<<30, 1<<30 }
		crashAll(c)
		c.waitForLeader()
		for _, disk := range c.disks {
			disk.SetIgnoreSync(true)
		}
		end := c.startOperators(3)
		time.Sleep(3 * time.Second)
		end()
		time.Sleep(time.Second)
		crashAll(c)
		leader := c.waitForLeader()
		require.Error(t, c.history.check(c.readFinalState(leader)))
	})
}

// Guards against a planned stop of the leader after which the others wait for an election timeout.
func TestPlannedStopHandsOver(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		leader := c.waitForLeader()
		before := time.Now()
		require.NoError(t, c.member(leader).Stop())
		c.set(leader, nil)
		require.NotEqual(t, leader, c.waitForLeader())
		require.Less(t, time.Since(before), 300*time.Millisecond)
	})
}

// Guards against a restart that replays the whole log instead of a snapshot and its tail, and against a different state
// after it.
func TestRestartUsesSnapshot(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		for at := range 600 {
			change := &vwstate.ChangeRules{ChangeID: vwid.ChangeID(fmt.Sprint(at)), Base: vwid.ConfigVersion(at), Text: []byte("text")}
			outcome, err := proposeWithin(c.member(at%3), vwstate.Command{ChangeRules: change})
			require.NoError(t, err)
			require.Equal(t, vwid.ConfigVersion(at+1), outcome.Version)
		}
		time.Sleep(time.Second)
		for at := range c.disks {
			term := c.member(at).Status().Log.Term
			c.crash(at)
			store, loaded, err := vwstore.Open(c.disks[at], 4096)
			require.NoError(t, err)
			require.Equal(t, term, loaded.HardState.Term, "a lost term would permit a second vote in it")
			require.Greater(t, loaded.Snapshot.Index, vwraft.Index(100))
			require.Less(t, len(loaded.Entries), 500)
			require.NoError(t, store.Close())
			c.start(at)
		}
		view, err := readWithin(c.member(c.waitForLeader()), vwstate.Query{Config: true})
		require.NoError(t, err)
		require.Equal(t, vwid.ConfigVersion(600), view.Config.Version)
	})
}

// Guards against large configurations that fill memory and disk: both hold all entries since the last snapshot, and a
// limit on the number of entries alone let 250 changes of 1,500 routes take 181 MB.
func TestLargeEntriesAreCompacted(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		c.configure = func(s *Settings) { s.SnapshotBytes, s.SegmentBytes = 1<<20, 1<<18 }
		crashAll(c)
		const size = 200 << 10
		for at := range 40 {
			change := &vwstate.ChangeRules{ChangeID: vwid.ChangeID(fmt.Sprint(at)), Base: vwid.ConfigVersion(at), Text: bytes.Repeat([]byte("#"), size)}
			_, err := proposeWithin(c.member(c.waitForLeader()), vwstate.Command{ChangeRules: change})
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		for at, disk := range c.disks {
			names, err := disk.List()
			require.NoError(t, err)
			total := 0
			for _, name := range names {
				total += disk.Size(name)
			}
			require.Less(t, total, 4<<20, "the files of member %d hold 8 MB of entries", at)
		}
	})
}

// Guards against a member with a corrupt data directory that fails at each start: with RejoinOnCorruption it must join
// under a new id without an operator.
func TestDamagedMemberJoinsUnderNewID(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		configure := c.configure
		c.configure = func(s *Settings) {
			configure(s)
			s.RejoinOnCorruption = true
		}
		damaged := c.follower()
		old := c.member(damaged).Status().Self.Member
		c.kill(damaged)
		c.disks[damaged].Damage("identity", 3)
		c.start(damaged)
		time.Sleep(5 * time.Second)
		membership := c.member(c.waitForLeader()).Status().Log.Membership
		require.Len(t, membership.Voters, 3)
		require.False(t, membership.Votes(old))
		require.True(t, membership.Votes(c.member(damaged).Status().Self.Member))
	})
}

// Guards against a member that lost its disk and votes again under its old id.
func TestLostDiskJoinsUnderNewID(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		lost := c.follower()
		old := c.member(lost).Status().Self.Member
		c.wipe(lost)
		require.NotEqual(t, old, c.member(lost).Status().Self.Member)
		time.Sleep(5 * time.Second)
		membership := c.member(c.waitForLeader()).Status().Log.Membership
		require.Len(t, membership.Voters, 3)
		require.Empty(t, membership.Learners)
		require.False(t, membership.Votes(old))
		require.True(t, membership.Votes(c.member(lost).Status().Self.Member))
	})
}

// Guards against a second log: the members create one only if the logs of all initial members are empty.
func TestFirstStart(t *testing.T) {
	cases := map[string]struct {
		prepare func(c *cluster)
		want    bool
	}{
		"all empty":          {func(*cluster) {}, true},
		"one is unreachable": {func(c *cluster) { c.crash(2) }, false},
		"two lost their disk": {func(c *cluster) {
			c.waitForLeader()
			c.crash(0)
			c.crash(1)
			c.disks[0].Wipe()
			c.disks[1].Wipe()
			c.start(0)
			c.start(1)
		}, false},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := makeCluster(t, 3, 1)
				defer c.stop()
				c.startAll()
				k.prepare(c)
				time.Sleep(10 * time.Second)
				require.Equal(t, k.want, c.member(0).Status().Log.Last > 0)
			})
		})
	}
}
