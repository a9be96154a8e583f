package vwcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 500 * time.Millisecond
	// acknowledgeWithin bounds the time until a change is acknowledged while the disk of one member is full.
	acknowledgeWithin = 2 * time.Second
	// followWithin bounds the time until all members have applied the same entries after the last disk has room again.
	followWithin = 2 * time.Second
)

// supervisor starts members that have ended by themselves again, as the platform does, and counts them.
type supervisor struct {
	cluster *cluster
	ends    atomic.Int64
}

func (c *cluster) supervise() *supervisor {
	s := &supervisor{cluster: c}
	c.group.Run(func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			for at := range c.disks {
				s.restartEnded(at)
			}
		}
	})
	return s
}

func (s *supervisor) restartEnded(at int) {
	m := s.cluster.member(at)
	if m == nil || m.group.Context().Err() == nil {
		return
	}
	s.ends.Add(1)
	s.cluster.kill(at)
	for {
		time.Sleep(restartDelay)
		if s.cluster.group.Context().Err() != nil {
			return
		}
		started, err := Start(context.Background(), s.cluster.settings(at), s.cluster.disks[at], endpoint{s.cluster.network, address(at)})
		if err == nil {
			s.cluster.set(at, started)
			return
		}
		s.ends.Add(1)
		s.cluster.disks[at].Kill()
	}
}

// requireChange requires that a change, which a client sends to the members from at on until one acknowledges it, is
// acknowledged in time.
func (c *cluster) requireChange(at int, id vwid.ChangeID) {
	c.requireChangeWithin(acknowledgeWithin, at, id)
}

func (c *cluster) requireChangeWithin(within time.Duration, at int, id vwid.ChangeID) {
	begin := time.Now()
	for time.Since(begin) < within {
		if m := c.member(at % len(c.disks)); m != nil && c.tryChange(m, id) == nil {
			return
		}
		at++
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(c.t, "change not acknowledged", "%s within %v", id, within)
}

// tryChange sends a change to one member for at most a second. Other changes may come first.
func (c *cluster) tryChange(m *Member, id vwid.ChangeID) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	view, err := m.Client().Read(ctx, vwstate.Query{Config: true})
	if err != nil {
		return err
	}
	_, err = m.Client().Propose(ctx, vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: view.Config.Version, Text: []byte(id)}})
	return err
}

// requireAllFollow requires that all members have applied the same entries in time.
func (c *cluster) requireAllFollow() {
	begin := time.Now()
	for !c.allFollow() {
		require.Less(c.t, time.Since(begin), followWithin, "members do not follow")
		time.Sleep(10 * time.Millisecond)
	}
}

// allFollow reports whether all members run, know the same leader and have applied all that it has committed.
func (c *cluster) allFollow() bool {
	leader := c.member(c.waitForLeader())
	if leader == nil {
		return false
	}
	want := leader.Status()
	for at := range c.disks {
		m := c.member(at)
		if m == nil {
			return false
		}
		status := m.Status()
		if status.Log.Leader.Member != want.Self.Member || status.Applied < want.Log.Commit {
			return false
		}
	}
	return true
}

// fullness is how a disk is full.
type fullness struct {
	// room returns how many bytes fit before it is full.
	room         func(random *rand.Rand) int
	refusesNames bool
	// leaderOnly fills the disk of the member that leads, each time.
	leaderOnly bool
	configure  func(*Settings)
}

func noRoom(*rand.Rand) int { return 0 }

var fullDisks = map[string]fullness{
	"no byte fits":             {room: noRoom},
	"part of a write fits":     {room: func(random *rand.Rand) int { return 1 + random.IntN(120) }},
	"part of a snapshot fits":  {room: func(random *rand.Rand) int { return 300 + random.IntN(3000) }, configure: func(s *Settings) { s.SnapshotEntries = 5 }},
	"segment cannot be rolled": {room: noRoom, configure: func(s *Settings) { s.SegmentBytes = 200 }},
	"nothing can be removed":   {room: func(random *rand.Rand) int { return random.IntN(120) }, refusesNames: true},
	"always the leader":        {room: noRoom, leaderOnly: true},
	"reads by quorum":          {room: noRoom, configure: func(s *Settings) { s.ReadsByQuorum = true }},
}

// Guards against a full disk that ends a process, and against changes that are refused or not answered for longer than
// an election although a majority has room, or after the last disk has room again: the disks of the members are full
// for a few seconds each, never two at once, twice in turn.
func TestDisksFullInTurn(t *testing.T) {
	for name, full := range fullDisks {
		t.Run(name, func(t *testing.T) {
			runSeeded(t, func(t *testing.T, c *cluster) {
				if full.configure != nil {
					c.configure = full.configure
					restartAll(c, c.kill)
					c.waitForLeader()
				}
				s := c.supervise()
				end := c.startOperators(3)
				for round := range 2 {
					for turn, at := range c.random.Perm(len(c.disks)) {
						if full.leaderOnly {
							at = c.waitForLeader()
						}
						c.disks[at].SetFull(full.room(c.random), full.refusesNames)
						begin := time.Now()
						for change := 0; time.Since(begin) < 3*time.Second; change++ {
							c.requireChange(c.random.IntN(len(c.disks)), vwid.ChangeID(fmt.Sprintf("round %d turn %d change %d", round, turn, change)))
							time.Sleep(300 * time.Millisecond)
						}
						c.disks[at].EndFull()
						c.requireAllFollow()
					}
					c.requireChange(0, vwid.ChangeID(fmt.Sprintf("after round %d", round)))
				}
				end()
				require.Zero(t, s.ends.Load(), "members have ended")
				// The members must be able to read what they have stored.
				crashAll(c)
				c.recoverAndCheck()
			})
		})
	}
}
