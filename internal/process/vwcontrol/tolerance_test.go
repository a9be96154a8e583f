package vwcontrol

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// replaceTime is enough for a successor to become a voter and for a silent voter to be removed.
	replaceTime = 8 * time.Second
	// toleratedLosses is how many of the five members may lose their disks at once.
	toleratedLosses = 2
)

// setTolerance makes three members the initial ones of a cluster that has to bear toleratedLosses.
func setTolerance(s *Settings) {
	setThreeInitial(s)
	s.Tolerance = toleratedLosses
}

// startFiveVoters starts five of the members, three of which are initial ones.
func startFiveVoters(t *testing.T, c *cluster) {
	c.configure = setTolerance
	for at := range 5 {
		c.start(at)
	}
	time.Sleep(5 * time.Second)
	require.Len(t, c.membership().Voters, 5)
}

// loseTwoDisks takes the disks of the first members that run, as many as may be lost, and starts these again a second later.
func (c *cluster) loseTwoDisks() {
	var lost []int
	for at := range c.disks {
		if c.member(at) != nil && len(lost) < toleratedLosses {
			c.crash(at)
			c.disks[at].Wipe()
			lost = append(lost, at)
		}
	}
	time.Sleep(time.Second)
	for _, at := range lost {
		c.start(at)
	}
}

// Guards against replaced members that stay voters: a majority then needs more of the others than are left after the loss of
// as many disks as the settings allow, and what was acknowledged can be neither read nor changed. Guards as well against
// the removal of members that are only cut off: the voters that are left may all lose their disks.
func TestToleratedLossesAfterReplacements(t *testing.T) {
	// The members 5 to 7 are successors.
	cases := map[string]func(t *testing.T, c *cluster){
		"two at once, planned": func(_ *testing.T, c *cluster) {
			c.start(5)
			c.start(6)
			time.Sleep(6 * time.Second)
			c.crash(3)
			time.Sleep(6 * time.Second)
			c.crash(4)
		},
		"two at once, unplanned": func(_ *testing.T, c *cluster) {
			c.crash(3)
			c.crash(4)
			time.Sleep(time.Second)
			c.start(5)
			c.start(6)
		},
		"three after each other": func(_ *testing.T, c *cluster) {
			for turn := range 3 {
				c.crash(2 + turn)
				time.Sleep(time.Second)
				c.start(5 + turn)
				time.Sleep(replaceTime)
			}
		},
		"while another is cut off": func(_ *testing.T, c *cluster) {
			c.start(5)
			c.start(6)
			time.Sleep(4 * time.Second)
			c.isolate(2, false, true)
			c.crash(3)
			c.crash(4)
			time.Sleep(10 * time.Second)
			c.network.heal()
		},
		"while another loses its disk": func(_ *testing.T, c *cluster) {
			c.start(5)
			c.start(6)
			time.Sleep(4 * time.Second)
			c.crash(3)
			c.wipe(2)
			c.crash(4)
		},
		"the leader among them": func(_ *testing.T, c *cluster) {
			c.start(5)
			c.start(6)
			time.Sleep(4 * time.Second)
			leader := c.waitForLeader()
			c.crash(leader)
			c.crash((leader + 1) % 5)
		},
		"one is back after its removal": func(_ *testing.T, c *cluster) {
			c.crash(4)
			time.Sleep(time.Second)
			c.start(5)
			time.Sleep(replaceTime)
			c.start(4)
		},
		"a successor waits while dead voters reach the limit of members": func(_ *testing.T, c *cluster) {
			c.start(5)
			c.start(6)
			time.Sleep(4 * time.Second)
			c.crash(3)
			c.crash(4)
			c.wipe(1)
			time.Sleep(time.Second)
			c.start(7)
		},
		"two cut off and not replaced": func(t *testing.T, c *cluster) {
			c.isolate(3, false, true)
			c.isolate(4, false, true)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				require.Len(t, c.membership().Voters, 5)
			}
			c.network.heal()
		},
		"the leader is new when two fall silent": func(t *testing.T, c *cluster) {
			leader := c.waitForLeader()
			c.isolate((leader+1)%5, false, true)
			c.crash(leader)
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				require.Len(t, c.membership().Voters, 5)
			}
			c.network.heal()
			c.start(leader)
		},
	}
	for name, replace := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seedCount) {
				synctest.Test(t, func(t *testing.T) {
					c := makeCluster(t, 8, seed)
					defer c.stop()
					startFiveVoters(t, c)
					replace(t, c)
					time.Sleep(2 * replaceTime)
					c.changeRules("acknowledged before the loss")
					c.loseTwoDisks()
					leader := c.member(c.waitForLeader())
					view, err := readWithin(leader, vwstate.Query{Config: true})
					require.NoError(t, err, "seed %d", seed)
					require.Equal(t, "acknowledged before the loss", string(view.Config.Text), "seed %d", seed)
					c.changeRules("after the loss")
				})
			}
		})
	}
}

// Guards against a first change that is acknowledged while control has fewer voters than the tolerated losses need: after these it could
// be neither read nor changed.
func TestFirstChangeOutlastsTheToleratedLosses(t *testing.T) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			c := makeCluster(t, 5, seed)
			defer c.stop()
			c.configure = setTolerance
			c.startAll()
			c.requireChangeWithin(2*firstChangeWait, 0, "acknowledged at the first start")
			c.loseTwoDisks()
			view, err := readWithin(c.member(c.waitForLeader()), vwstate.Query{Config: true})
			require.NoError(t, err, "seed %d", seed)
			require.Equal(t, "acknowledged at the first start", string(view.Config.Text), "seed %d", seed)
			c.changeRules("after the loss")
		})
	}
}

// Guards against a log that is never created, because the first member has lost its disk before it could, and against a second one
// that loses what was acknowledged in the first.
func TestFirstMemberLosesItsDiskAtTheFirstStart(t *testing.T) {
	const lastLoss, step = 2 * time.Second, 50 * time.Millisecond
	for lostAfter := time.Duration(0); lostAfter <= lastLoss; lostAfter += step {
		t.Run(lostAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := makeCluster(t, 5, uint64(lostAfter))
				defer c.stop()
				lost := false
				c.configure = func(s *Settings) {
					setTolerance(s)
					s.JoinOnly = lost && s.Address == address(0)
				}
				c.startAll()
				time.Sleep(lostAfter)
				acknowledged := c.tryChange(c.member(1), "before the loss") == nil
				c.crash(0)
				c.disks[0].Wipe()
				lost = true
				time.Sleep(time.Second)
				c.start(0)
				c.requireChangeWithin(2*firstChangeWait, 0, "after the loss")
				if acknowledged {
					view, err := readWithin(c.member(c.waitForLeader()), vwstate.Query{Config: true})
					require.NoError(t, err)
					require.Greater(t, view.Config.Version, vwid.ConfigVersion(1), "lost after %v", lostAfter)
				}
				time.Sleep(replaceTime)
				require.Len(t, c.membership().Voters, 5)
			})
		})
	}
}

// Guards against a deployment with fewer members than its settings ask for, which would never accept a change.
func TestFirstChangeWithTooFewMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, 4, 1)
		defer c.stop()
		c.configure = setTolerance
		c.startAll()
		c.requireChangeWithin(2*firstChangeWait, 0, "with four members")
	})
}

// Guards against a replaced member that still counts as a voter while the leader waits for it to fall silent: two disks that
// are lost right after its stop would end control. A successor has had its time to catch up by then.
func TestStoppedMemberCountsNoLongerAtOnce(t *testing.T) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			c := makeCluster(t, 8, seed)
			defer c.stop()
			startFiveVoters(t, c)
			c.start(5)
			time.Sleep(replaceTime)
			require.Len(t, c.membership().Voters, 6)
			stopped := c.member(4)
			c.set(4, nil)
			require.NoError(t, stopped.Stop())
			endpoint{c.network, address(4)}.Receive(nil)
			c.changeRules("acknowledged before the loss")
			c.loseTwoDisks()
			c.changeRules("after the loss")
		})
	}
}

// Guards against the removal of members that stop to be started again: they would have to catch up as learners.
func TestRestartedMembersStayVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, 8, 1)
		defer c.stop()
		startFiveVoters(t, c)
		before := c.membership()
		for at := range 5 {
			stopped := c.member(at)
			c.set(at, nil)
			require.NoError(t, stopped.Stop())
			endpoint{c.network, address(at)}.Receive(nil)
			c.start(at)
			time.Sleep(2 * time.Second)
			require.ElementsMatch(t, before.Voters, c.membership().Voters)
		}
	})
}

// lockedLog is a log that members write while a test reads it.
type lockedLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards against a tolerance that is lost without a notice, until the next loss ends control.
func TestLostToleranceIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, 5, 1)
		defer c.stop()
		var log lockedLog
		c.configure = func(s *Settings) {
			setThreeInitial(s)
			s.Tolerance = toleratedLosses
			s.Logger = slog.New(slog.NewTextHandler(&log, nil))
		}
		c.startAll()
		time.Sleep(5 * time.Second)
		leader := c.waitForLeader()
		status := c.member(leader).Status()
		require.Equal(t, []int{5, 5}, []int{status.Voters, status.AnsweringVoters})
		require.NotContains(t, log.String(), "fewer losses than it is set to\" tolerated=1 wanted=2 voters=5")
		c.isolate((leader+1)%5, false, true)
		time.Sleep(3 * time.Second)
		status = c.member(leader).Status()
		require.Equal(t, []int{5, 4}, []int{status.Voters, status.AnsweringVoters})
		require.Contains(t, log.String(), "fewer losses than it is set to\" tolerated=1 wanted=2 voters=5 answering=4")
		c.network.heal()
		time.Sleep(3 * time.Second)
		require.Contains(t, log.String(), "control tolerates the losses that it is set to\" tolerated=2 voters=5 answering=5")
	})
}
