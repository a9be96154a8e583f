package vwcontrol

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// fill lets the disk of a member run full and sends changes to another one until the member has noticed.
func (c *cluster) fill(at int) {
	c.disks[at].SetFull(0, false)
	for !c.member(at).Status().DiskFull {
		c.requireChange((at+1)%len(c.disks), "noticed")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a leader with a full disk that leaves the others without a leader for an election timeout, and that
// keeps the caller of an unanswered change waiting.
func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		leader := c.waitForLeader()
		c.disks[leader].SetFull(0, false)
		answered := make(chan error, 1)
		command, err := vwstate.Encode(vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1", Text: []byte("1")}})
		require.NoError(t, err)
		before := time.Now()
		c.member(leader).Serve(&vwmessage.Propose{Command: command}, func(_ vwmessage.Body, err error) { answered <- err })
		err = <-answered
		require.ErrorIs(t, err, syscall.ENOSPC)
		require.False(t, vwverdict.IsNotRun(err), "the followers may hold the change")
		require.NotEqual(t, leader, c.waitForLeader())
		require.Less(t, time.Since(before), 300*time.Millisecond)
	})
}

// Guards against requests that wait at a member with a full disk although another member leads.
func TestMemberWithFullDiskForwards(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		full := c.follower()
		c.fill(full)
		for _, id := range []string{"1", "2", "3"} {
			before := time.Now()
			require.NoError(t, c.tryChange(c.member(full), vwid.ChangeID("forwarded "+id)))
			require.Less(t, time.Since(before), 100*time.Millisecond)
		}
		// Another member takes the leadership while the disk is full.
		plannedStop(c)
		leader := c.waitForLeader()
		time.Sleep(time.Second)
		before := time.Now()
		require.NoError(t, c.tryChange(c.member(full), "forwarded to another"))
		require.Less(t, time.Since(before), 100*time.Millisecond)
		// No member leads, as two of three disks are gone or full.
		c.crash(leader)
		time.Sleep(2 * time.Second)
		c.disks[full].EndFull()
		c.waitForLeader()
		require.NoError(t, c.tryChange(c.member(full), "after both"))
	})
}

// Guards against requests that wait at a member with a full disk while nobody leads, and against a refusal after which
// callers do not try another member.
func TestMajorityOfFullDisksRefusesAtOnce(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		full := c.follower()
		c.fill(full)
		for at := range c.disks {
			c.disks[at].SetFull(0, false)
		}
		_ = c.tryChange(c.member(c.waitForLeader()), "not stored")
		time.Sleep(2 * time.Second)
		for at := range c.disks {
			before := time.Now()
			answered := make(chan error, 1)
			c.member(at).Serve(&vwmessage.LeaseRequest{}, func(_ vwmessage.Body, err error) { answered <- err })
			err := <-answered
			require.True(t, vwverdict.IsNotRun(err))
			_, notLeader := IsNotLeader(err)
			require.True(t, notLeader)
			require.Less(t, time.Since(before), 10*time.Millisecond)
			if c.member(at).Status().DiskFull {
				require.ErrorIs(t, err, syscall.ENOSPC)
			}
		}
		for at := range c.disks {
			c.disks[at].EndFull()
		}
		c.requireChange(0, "with room")
		c.requireAllFollow()
	})
}

// Guards against a member with a full disk that holds all that it is sent in memory.
func TestMemberWithFullDiskHoldsNothing(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		full := c.follower()
		c.fill(full)
		before := c.member(full).Status().Log
		for at := range 30 {
			c.requireChange(full+1, vwid.ChangeID(fmt.Sprint(at)))
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, before, c.member(full).Status().Log)
		c.disks[full].EndFull()
		c.requireAllFollow()
	})
}

// Guards against log lines for each write that finds the disk full, and against a status that says so after there is
// room again.
func TestFullDiskIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, 3, 1)
		defer c.stop()
		var log bytes.Buffer
		c.configure = func(s *Settings) {
			s.SnapshotEntries = 20
			if s.Address == address(1) {
				s.Logger = slog.New(slog.NewTextHandler(&log, nil))
			}
		}
		c.startAll()
		c.waitForLeader()
		c.fill(1)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, c.member(1).Status().DiskFull)
			c.requireChange(0, "other")
		}
		c.disks[1].EndFull()
		c.requireAllFollow()
		require.False(t, c.member(1).Status().DiskFull)
		require.NoError(t, c.member(1).Stop())
		require.Equal(t, 1, strings.Count(log.String(), "log is full"), log.String())
		require.Equal(t, 1, strings.Count(log.String(), "has room again"), log.String())
		require.Equal(t, 0, strings.Count(log.String(), "control member stops"))
	})
}

// Guards against a snapshot without room that ends the member or stops it from storing entries, which need less.
func TestSnapshotWithoutRoomIsStoredLater(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		c.configure = func(s *Settings) { s.SnapshotEntries = 5 }
		restartAll(c, c.kill)
		c.waitForLeader()
		leader := c.waitForLeader()
		before := c.member(leader).Status().Log.Snapshot
		names, err := c.disks[leader].List()
		require.NoError(t, err)
		// Entries of 10 bytes fit, a snapshot of the state does not.
		for at := range 30 {
			c.disks[leader].SetFull(400, false)
			c.requireChange(leader, vwid.ChangeID(fmt.Sprint(at)))
		}
		require.Greater(t, c.member(leader).Status().Log.Snapshot, before)
		require.True(t, c.member(leader).Status().DiskFull)
		require.Equal(t, vwraft.RoleLeader, c.member(leader).Status().Log.Role)
		c.disks[leader].EndFull()
		c.requireChange(leader, "with room")
		time.Sleep(time.Second)
		require.False(t, c.member(leader).Status().DiskFull)
		after, err := c.disks[leader].List()
		require.NoError(t, err)
		require.NotEqual(t, names, after)
		c.recoverAndCheck()
	})
}

// Guards against a member that does not start, or starts and does not follow, when it is killed while its disk is full.
func TestRestartOnFullDisk(t *testing.T) {
	runSeeded(t, func(_ *testing.T, c *cluster) {
		end := c.startOperators(2)
		for round := range 2 {
			for at := range c.disks {
				c.disks[at].SetFull(c.random.IntN(200), round == 1)
				c.requireChange(at+1, "while it is full")
				c.kill(at)
				c.start(at)
				c.requireChange(at+1, "after its start")
				time.Sleep(2 * time.Second)
				c.disks[at].EndFull()
				c.requireAllFollow()
			}
		}
		end()
		c.recoverAndCheck()
	})
}

// Guards against a member that replaces one whose disk is lost, and whose own disk is full while it receives the
// snapshot.
func TestLearnerWithFullDiskJoins(t *testing.T) {
	runSeeded(t, func(t *testing.T, c *cluster) {
		for at := range 30 {
			c.requireChange(at, vwid.ChangeID(fmt.Sprint(at)))
		}
		lost := c.follower()
		c.crash(lost)
		c.disks[lost].Wipe()
		c.start(lost)
		c.disks[lost].SetFull(c.random.IntN(100), c.random.IntN(2) == 0)
		time.Sleep(3 * time.Second)
		c.requireChange(lost+1, "while it is full")
		c.disks[lost].EndFull()
		time.Sleep(3 * time.Second)
		c.requireAllFollow()
		require.Len(t, c.membership().Voters, len(c.disks))
		require.Empty(t, c.membership().Learners)
		c.recoverAndCheck()
	})
}

// Guards against a first start that ends because the member that creates the log has no room for it.
func TestLogIsCreatedOnceThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeCluster(t, 3, 1)
		defer c.stop()
		c.startAll()
		c.disks[0].SetFull(10, false)
		time.Sleep(5 * time.Second)
		require.Zero(t, c.member(0).Status().Log.Last)
		require.True(t, c.member(0).Status().DiskFull)
		c.disks[0].EndFull()
		c.requireChange(0, "first")
		c.requireAllFollow()
		require.False(t, c.member(0).Status().DiskFull)
	})
}

// Guards against a failed sync that is treated as a full disk: what is stored after it is unknown, so the member must end.
func TestFailedSyncEndsMember(t *testing.T) {
	runScenario(t, 3, 1, func(t *testing.T, c *cluster) {
		failed := c.follower()
		c.disks[failed].SetFullAtSync()
		c.requireChange(failed+1, "not stored there")
		time.Sleep(time.Second)
		err := c.member(failed).Wait()
		require.ErrorIs(t, err, syscall.ENOSPC)
		c.disks[failed].SetFailSync(false)
		c.kill(failed)
		c.start(failed)
		c.requireAllFollow()
	})
}
