package vwraft_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// disk is what one member has synced.
type disk struct {
	hard     vwraft.HardState
	snapshot vwraft.Snapshot
	entries  []vwraft.Entry
}

func (d *disk) store(ready vwraft.Ready) {
	if ready.HardState != nil {
		d.hard = *ready.HardState
	}
	if ready.Snapshot != nil {
		d.snapshot, d.entries = *ready.Snapshot, nil
	}
	for _, entry := range ready.Entries {
		d.entries = slices.DeleteFunc(d.entries, func(e vwraft.Entry) bool { return e.Index >= entry.Index })
		d.entries = append(d.entries, entry)
	}
}

// cluster runs members over a network whose deliveries and losses the test chooses.
type cluster struct {
	t       require.TestingT
	seed    uint64
	nodes   map[vwid.Member]*vwraft.Node
	disks   map[vwid.Member]*disk
	applied map[vwid.Member]vwraft.Index
	network []vwraft.Message
	// cut holds the directions, as "from>to", in which messages are lost.
	cut   map[string]bool
	check *checker
	reads map[vwid.Member][]vwraft.ReadState
	tune  func(*vwraft.Settings)
	// slow draws whether a sync takes until finishSync; syncing holds those that have not ended.
	slow    func() bool
	syncing map[vwid.Member]vwraft.Ready
}

func voter(at int) vwraft.Voter {
	return vwraft.Voter{Member: vwid.Member(fmt.Sprintf("m%d", at)), Address: fmt.Sprintf("a%d", at)}
}

func makeCluster(t require.TestingT, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, seed: seed, cut: map[string]bool{}, check: makeChecker(),
		nodes: map[vwid.Member]*vwraft.Node{}, disks: map[vwid.Member]*disk{},
		applied: map[vwid.Member]vwraft.Index{}, reads: map[vwid.Member][]vwraft.ReadState{}, syncing: map[vwid.Member]vwraft.Ready{},
		tune: func(s *vwraft.Settings) { s.Trailing, s.CaughtUp = 4, 4 },
	}
	var membership vwraft.Membership
	for at := range size {
		membership.Voters = append(membership.Voters, voter(at))
		c.disks[voter(at).Member] = &disk{}
	}
	hard, entry, err := vwraft.Bootstrap(membership)
	require.NoError(t, err)
	*c.disks["m0"] = disk{hard: hard, entries: []vwraft.Entry{entry}}
	for _, v := range membership.Voters {
		c.start(v.Member)
	}
	return c
}

func (c *cluster) start(member vwid.Member) {
	c.seed++
	settings := vwraft.DefaultSettings(member, rand.NewPCG(c.seed, 0))
	c.tune(&settings)
	d := c.disks[member]
	node, err := vwraft.MakeNode(settings, d.hard, d.snapshot, slices.Clone(d.entries))
	require.NoError(c.t, err)
	c.nodes[member] = node
	delete(c.syncing, member)
	c.applied[member] = d.snapshot.Index
}

// members returns the running members in a fixed order.
func (c *cluster) members() []vwid.Member {
	var all []vwid.Member
	for member := range c.nodes {
		all = append(all, member)
	}
	slices.Sort(all)
	return all
}

func (c *cluster) crash(member vwid.Member) {
	delete(c.nodes, member)
	delete(c.syncing, member)
}

// settle carries out what the member asks for. With lose it crashes after sending and before syncing.
func (c *cluster) settle(member vwid.Member, lose bool) {
	node := c.nodes[member]
	for node != nil {
		ready, ok := node.Ready()
		if !ok {
			break
		}
		for _, m := range ready.Messages {
			require.Equal(c.t, c.disks[member].hard.Term, m.Term, "a message of kind %d precedes the sync of its term", m.Kind)
		}
		c.transmit(ready.Messages)
		c.apply(member, ready.Committed)
		c.reads[member] = append(c.reads[member], ready.Reads...)
		switch {
		case !ready.MustSync():
			c.transmit(ready.AfterSync)
		case lose:
			c.crash(member)
			return
		case c.slow != nil && c.slow():
			c.syncing[member] = ready
		default:
			c.finishSync(member, ready)
		}
	}
}

// finishSync ends the sync of a member.
func (c *cluster) finishSync(member vwid.Member, ready vwraft.Ready) {
	delete(c.syncing, member)
	c.disks[member].store(ready)
	c.transmit(ready.AfterSync)
	if ready.Snapshot != nil {
		c.applied[member] = ready.Snapshot.Index
	}
	c.nodes[member].Advance()
	c.observe(member)
}

func (c *cluster) apply(member vwid.Member, entries []vwraft.Entry) {
	for _, entry := range entries {
		require.Equal(c.t, c.applied[member]+1, entry.Index)
		c.applied[member] = entry.Index
		require.NoError(c.t, c.check.committed(entry))
	}
}

func (c *cluster) observe(member vwid.Member) {
	if status := c.nodes[member].Status(); status.Role == vwraft.RoleLeader {
		require.NoError(c.t, c.check.leads(member, status.Term))
	}
}

// transmit passes each message through its encoding.
func (c *cluster) transmit(messages []vwraft.Message) {
	for _, m := range messages {
		data, err := m.Encode()
		require.NoError(c.t, err)
		decoded, err := vwraft.DecodeMessage(data)
		require.NoError(c.t, err)
		if !c.cut[string(m.From)+">"+string(m.To)] {
			c.network = append(c.network, decoded)
		}
	}
}

func (c *cluster) isolate(member vwid.Member, cut bool) {
	for other := range c.disks {
		c.cut[string(member)+">"+string(other)] = cut
		c.cut[string(other)+">"+string(member)] = cut
	}
}

// deliver hands over all messages until the network is empty.
func (c *cluster) deliver() {
	for len(c.network) > 0 {
		m := c.network[0]
		c.network = c.network[1:]
		c.step(m)
	}
}

func (c *cluster) step(m vwraft.Message) {
	if node := c.nodes[m.To]; node != nil {
		node.Step(m)
		c.settle(m.To, false)
	}
}

// run lets every member tick and delivers all messages in between.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, member := range c.members() {
			c.nodes[member].Tick()
			c.settle(member, false)
		}
		c.deliver()
	}
}

// leader runs until one member leads in the newest term with an entry of it committed, and returns it.
func (c *cluster) leader() vwid.Member {
	for range 200 {
		c.run(1)
		var newest vwraft.Term
		for _, member := range c.members() {
			newest = max(newest, c.nodes[member].Status().Term)
		}
		for _, member := range c.members() {
			if status := c.nodes[member].Status(); status.TermCommitted && status.Term == newest {
				return member
			}
		}
	}
	require.Fail(c.t, "no leader within 200 ticks")
	return ""
}

func (c *cluster) propose(member vwid.Member, data string) {
	_, _, err := c.nodes[member].Propose([]byte(data))
	require.NoError(c.t, err)
	c.settle(member, false)
	c.deliver()
}

func (c *cluster) compact(member vwid.Member) {
	if c.applied[member] <= c.nodes[member].Status().Snapshot {
		return
	}
	snapshot, err := c.nodes[member].Compact(c.applied[member], []byte(fmt.Sprintf("state at %d", c.applied[member])))
	require.NoError(c.t, err)
	d := c.disks[member]
	d.snapshot = snapshot
	d.entries = slices.DeleteFunc(d.entries, func(e vwraft.Entry) bool { return e.Index <= snapshot.Index })
}

// heal starts all members that do not run, and ends all syncs and all faults of the network.
func (c *cluster) heal() {
	clear(c.cut)
	c.slow = nil
	for _, member := range slices.Sorted(maps.Keys(c.syncing)) {
		c.finishSync(member, c.syncing[member])
		c.settle(member, false)
	}
	for _, member := range slices.Sorted(maps.Keys(c.disks)) {
		if c.nodes[member] == nil {
			c.start(member)
		}
	}
}

// seeds runs a test with a few seeds, each as a subtest.
func seeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { f(t, seed*100) })
	}
}
