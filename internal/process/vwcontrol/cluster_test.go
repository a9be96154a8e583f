package vwcontrol

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// cluster runs members on fake disks over a fake network, within a synctest bubble.
type cluster struct {
	t         require.TestingT
	random    *rand.Rand
	network   *network
	disks     []*vwstoretest.Disk
	history   *history
	group     *vwgroup.Group
	configure func(*Settings)

	mu      sync.Mutex
	members []*Member
	log     bytes.Buffer
}

func makeCluster(t require.TestingT, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), network: makeNetwork(seed), history: makeHistory(),
		group: vwgroup.Make(context.Background()), members: make([]*Member, size),
		configure: func(s *Settings) { s.SnapshotEntries = 20 },
	}
	for range size {
		disk := vwstoretest.Make()
		disk.SetSyncDelay(3 * time.Millisecond)
		c.disks = append(c.disks, disk)
	}
	c.group.Run(c.watchLeaders)
	return c
}

func address(at int) string { return fmt.Sprintf("a%d", at) }

func (c *cluster) settings(at int) Settings {
	var initial []string
	for other := range c.disks {
		initial = append(initial, address(other))
	}
	settings := DefaultSettings(address(at), initial)
	settings.Random = rand.NewPCG(c.random.Uint64(), 3)
	settings.SegmentBytes = 4096
	settings.Logger = slog.New(slog.DiscardHandler)
	c.configure(&settings)
	return settings
}

func (c *cluster) startAll() {
	for at := range c.disks {
		c.start(at)
	}
}

func (c *cluster) start(at int) {
	if c.member(at) != nil {
		return
	}
	m, err := Start(context.Background(), c.settings(at), c.disks[at], endpoint{c.network, address(at)})
	require.NoError(c.t, err)
	var last vwid.ConfigVersion
	require.NoError(c.t, m.Watch(func(version vwid.ConfigVersion) {
		c.history.recordVersion(at, last, version)
		last = version
	}))
	c.set(at, m)
}

func (c *cluster) member(at int) *Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[at]
}

func (c *cluster) set(at int, m *Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[at] = m
}

// crash simulates a power failure of a member: its disk loses what was not synced.
func (c *cluster) crash(at int) {
	c.terminate(at, func(disk *vwstoretest.Disk) { disk.Crash(c.random) })
}

// kill ends the process of a member at once. The operating system keeps what it has written.
func (c *cluster) kill(at int) {
	c.terminate(at, (*vwstoretest.Disk).Kill)
}

func (c *cluster) terminate(at int, lose func(*vwstoretest.Disk)) {
	m := c.member(at)
	if m == nil {
		return
	}
	c.set(at, nil)
	endpoint{c.network, address(at)}.Receive(nil)
	lose(c.disks[at])
	_ = m.Kill()
}

// wipe replaces the disk of a member by an empty one and starts it again.
func (c *cluster) wipe(at int) {
	c.crash(at)
	c.disks[at].Wipe()
	c.start(at)
}

// isolate drops, or with cut false delivers again, all packets from and to a member. With oneWay it affects only those
// that the member sends.
func (c *cluster) isolate(at int, oneWay, cut bool) {
	for other := range c.disks {
		c.network.setCut(address(at), address(other), cut)
		if !oneWay {
			c.network.setCut(address(other), address(at), cut)
		}
	}
}

// waitForLeader waits until the leader of the highest term has committed an entry of it, and returns its position.
func (c *cluster) waitForLeader() int {
	for range 2000 {
		time.Sleep(10 * time.Millisecond)
		best, term := -1, vwraft.Term(0)
		for at := range c.disks {
			m := c.member(at)
			if m == nil {
				continue
			}
			status := m.Status().Log
			if status.Term > term {
				best, term = -1, status.Term
			}
			if status.TermCommitted && status.Term == term {
				best = at
			}
		}
		if best >= 0 {
			return best
		}
	}
	require.Fail(c.t, "no leader within 20 s")
	return -1
}

func (c *cluster) follower() int {
	return (c.waitForLeader() + 1) % len(c.disks)
}

// watchLeaders records the leaders at intervals shorter than a term can be.
func (c *cluster) watchLeaders(ctx context.Context) {
	for ctx.Err() == nil {
		for at := range c.disks {
			if m := c.member(at); m != nil {
				if status := m.Status(); status.Log.Role == vwraft.RoleLeader {
					c.history.recordLeader(status.Log.Term, status.Self.Member)
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// recoverAndCheck ends all faults, restarts the members that have stopped and checks the history against the final
// state.
func (c *cluster) recoverAndCheck() {
	c.network.heal()
	for at := range c.disks {
		c.disks[at].SetFailSync(false)
		c.disks[at].EndFull()
		if m := c.member(at); m != nil && m.group.Context().Err() != nil {
			c.crash(at)
		}
		c.start(at)
	}
	c.waitForLeader()
	time.Sleep(15 * time.Second)
	require.NoError(c.t, c.history.check(c.readFinalState(c.waitForLeader())))
	c.requireEqualStates()
}

// stop ends all goroutines.
func (c *cluster) stop() {
	_ = c.group.Stop()
	for at := range c.disks {
		c.crash(at)
	}
}

// readFinalState reads the configuration and each change of the history at a member.
func (c *cluster) readFinalState(at int) (finalState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	found := finalState{changes: map[vwid.ChangeID]vwstate.ChangeOutcome{}}
	client := c.member(at).Client()
	view, err := client.Read(ctx, vwstate.Query{Config: true})
	if err != nil {
		return found, err
	}
	found.config = *view.Config
	for _, id := range c.history.ids() {
		view, err := client.Read(ctx, vwstate.Query{Change: id})
		if err != nil {
			return found, err
		}
		if view.Change != nil {
			found.changes[id] = *view.Change
		}
	}
	return found, nil
}

// requireEqualStates requires that all members have applied the same entries with the same result. It stops them.
func (c *cluster) requireEqualStates() {
	var first []byte
	for at := range c.disks {
		m := c.member(at)
		status, reference := m.Status(), c.member(0).Status()
		require.NoError(c.t, m.Kill())
		saved, err := m.core.state.Save()
		require.NoError(c.t, err)
		if at == 0 {
			first = saved
		}
		require.Equal(c.t, reference.Applied, status.Applied, "member %d: %+v; member 0: %+v", at, status, reference)
		require.True(c.t, bytes.Equal(first, saved), "the state of member %d differs from that of member 0", at)
	}
}

// runSeeded runs a scenario for clusters of 3 and 5 members with seedCount seeds each.
func runSeeded(t *testing.T, scenario func(t *testing.T, c *cluster)) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(seedCount) {
			t.Run(fmt.Sprintf("size %d seed %d", size, seed), func(t *testing.T) {
				runScenario(t, size, seed, scenario)
			})
		}
	}
}
