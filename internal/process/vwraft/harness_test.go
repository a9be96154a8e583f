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

// disk holds the synced state of one member.
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

// cluster simulates members on a network whose deliveries and losses the test controls.
type cluster struct {
	t        require.TestingT
	seed     uint64
	nodes    map[vwid.Member]*vwraft.Node
	disks    map[vwid.Member]*disk
	applied  map[vwid.Member]vwraft.Index
	inFlight []vwraft.Message
	// blockedLinks holds the links, as "from>to", on which messages are lost.
	blockedLinks   map[string]bool
	checker        *checker
	reads          map[vwid.Member][]vwraft.ReadState
	adjustSettings func(*vwraft.Settings)
	// delaySync decides whether a sync lasts until finishSync; pendingSyncs holds the syncs in progress.
	delaySync    func() bool
	pendingSyncs map[vwid.Member]vwraft.Ready
}

func voter(at int) vwraft.Voter {
	return vwraft.Voter{Member: vwid.Member(fmt.Sprintf("m%d", at)), Address: fmt.Sprintf("a%d", at)}
}

func makeCluster(t require.TestingT, size int, seed uint64) *cluster {
	c := &cluster{
		t: t, seed: seed, blockedLinks: map[string]bool{}, checker: makeChecker(),
		nodes: map[vwid.Member]*vwraft.Node{}, disks: map[vwid.Member]*disk{},
		applied: map[vwid.Member]vwraft.Index{}, reads: map[vwid.Member][]vwraft.ReadState{}, pendingSyncs: map[vwid.Member]vwraft.Ready{},
		adjustSettings: func(s *vwraft.Settings) { s.TrailingEntries, s.MaxPromotionLag = 4, 4 },
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
	c.adjustSettings(&settings)
	d := c.disks[member]
	node, err := vwraft.MakeNode(settings, d.hard, d.snapshot, slices.Clone(d.entries))
	require.NoError(c.t, err)
	c.nodes[member] = node
	delete(c.pendingSyncs, member)
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
	delete(c.pendingSyncs, member)
}

// processReady carries out the work that Ready returns. With crashBeforeSync the member crashes after sending messages
// and before syncing.
func (c *cluster) processReady(member vwid.Member, crashBeforeSync bool) {
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
		case crashBeforeSync:
			c.crash(member)
			return
		case c.delaySync != nil && c.delaySync():
			c.pendingSyncs[member] = ready
		default:
			c.finishSync(member, ready)
		}
	}
}

// finishSync completes the sync of a member.
func (c *cluster) finishSync(member vwid.Member, ready vwraft.Ready) {
	delete(c.pendingSyncs, member)
	c.disks[member].store(ready)
	c.transmit(ready.AfterSync)
	if ready.Snapshot != nil {
		c.applied[member] = ready.Snapshot.Index
	}
	c.nodes[member].Advance()
	c.checkLeader(member)
}

func (c *cluster) apply(member vwid.Member, entries []vwraft.Entry) {
	for _, entry := range entries {
		require.Equal(c.t, c.applied[member]+1, entry.Index)
		c.applied[member] = entry.Index
		require.NoError(c.t, c.checker.recordCommitted(entry))
	}
}

func (c *cluster) checkLeader(member vwid.Member) {
	if status := c.nodes[member].Status(); status.Role == vwraft.RoleLeader {
		require.NoError(c.t, c.checker.recordLeader(member, status.Term))
	}
}

// transmit encodes and decodes each message and puts it on the network unless its link is blocked.
func (c *cluster) transmit(messages []vwraft.Message) {
	for _, m := range messages {
		data, err := m.Encode()
		require.NoError(c.t, err)
		decoded, err := vwraft.DecodeMessage(data)
		require.NoError(c.t, err)
		if !c.blockedLinks[string(m.From)+">"+string(m.To)] {
			c.inFlight = append(c.inFlight, decoded)
		}
	}
}

func (c *cluster) isolate(member vwid.Member, blocked bool) {
	for other := range c.disks {
		c.blockedLinks[string(member)+">"+string(other)] = blocked
		c.blockedLinks[string(other)+">"+string(member)] = blocked
	}
}

// deliverAll delivers messages until none is in flight.
func (c *cluster) deliverAll() {
	for len(c.inFlight) > 0 {
		m := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		c.step(m)
	}
}

func (c *cluster) step(m vwraft.Message) {
	if node := c.nodes[m.To]; node != nil {
		node.Step(m)
		c.processReady(m.To, false)
	}
}

// run ticks every member and delivers all messages after each round of ticks.
func (c *cluster) run(ticks int) {
	for range ticks {
		for _, member := range c.members() {
			c.nodes[member].Tick()
			c.processReady(member, false)
		}
		c.deliverAll()
	}
}

// leader runs until the leader of the newest term has committed an entry of that term, and returns it.
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
	c.processReady(member, false)
	c.deliverAll()
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

// repair unblocks all links, completes all syncs and starts all members that do not run.
func (c *cluster) repair() {
	clear(c.blockedLinks)
	c.delaySync = nil
	for _, member := range slices.Sorted(maps.Keys(c.pendingSyncs)) {
		c.finishSync(member, c.pendingSyncs[member])
		c.processReady(member, false)
	}
	for _, member := range slices.Sorted(maps.Keys(c.disks)) {
		if c.nodes[member] == nil {
			c.start(member)
		}
	}
}

// runSeeds runs f with several seeds, each as a subtest.
func runSeeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { f(t, seed*100) })
	}
}
