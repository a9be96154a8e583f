package vwcontrol

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// leaderlessTimeout is how long a member with a log has no leader in its raft status before it probes the others, in
// case it was removed from the membership. It is longer than an election takes.
const leaderlessTimeout = 1500 * time.Millisecond

// discovery lets a member join a cluster whose membership does not contain it.
//
// Rule of the first start: the member with the lowest of the initial addresses creates the log, and only after the
// members at all other initial addresses have replied that their logs are empty too. The others wait for that member.
// A member with an empty log that receives a reply from a member with a log waits until the leader has admitted it as a
// learner under its new id.
//
// A member that was removed while it was unreachable keeps its log and its id. It receives nothing from a leader, probes
// the members whose addresses it has, and is admitted as a learner too.
type discovery struct {
	logEmpty bool
	// leaderSeenAt is when this member's raft status last had a leader.
	leaderSeenAt time.Time
	// emptyPeers holds the members that replied that their log is empty, by address.
	emptyPeers map[string]vwid.Member
	// logExists is set once a member has replied that it has a log. This member then never creates one.
	logExists bool
	// leaderAddress is the leader's address from the last reply of a member with a log. It need not be an initial one.
	leaderAddress string
	// probers holds the members that probed this one while its log was empty, by address. Messages of an earlier id
	// at such an address were sent before that member lost its disk, and are dropped.
	probers   map[string]vwid.Member
	nextProbe time.Time
}

func makeDiscovery(empty bool, now time.Time) discovery {
	return discovery{logEmpty: empty, leaderSeenAt: now, emptyPeers: map[string]vwid.Member{}, probers: map[string]vwid.Member{}}
}

// isSuperseded reports whether this member's log is empty and another id has probed it from the sender's address.
func (d *discovery) isSuperseded(from vwraft.Voter) bool {
	newer, ok := d.probers[from.Address]
	return d.logEmpty && ok && newer != from.Member
}

// runDiscovery probes the other members while this one's log is empty or its raft status has had no leader for
// leaderlessTimeout, and creates the log if the rule of the first start permits it.
func (c *core) runDiscovery() error {
	d := &c.discovery
	if c.writer.busy() {
		return nil
	}
	status := c.node.Status()
	d.logEmpty = d.logEmpty && status.Last == 0
	if status.Leader.Member != "" {
		d.leaderSeenAt = c.now
	}
	if !d.logEmpty && c.now.Sub(d.leaderSeenAt) < leaderlessTimeout || c.now.Before(d.nextProbe) {
		return nil
	}
	d.nextProbe = c.now.Add(c.settings.ProbeInterval)
	c.sendProbes(status.Membership)
	if !d.logEmpty {
		return nil
	}
	return c.bootstrap()
}

// sendProbes sends a probe to every address that this member has.
func (c *core) sendProbes(membership vwraft.Membership) {
	addresses := append([]string{c.discovery.leaderAddress}, c.settings.Initial...)
	for _, member := range membership.All() {
		addresses = append(addresses, member.Address)
	}
	for _, address := range c.peers.addresses {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address != "" && address != c.self.Address {
			c.sendPacket(vwraft.Voter{Address: address}, Packet{Probe: &Probe{Empty: c.discovery.logEmpty}})
		}
	}
}

// handleProbe records the reply to a probe, or answers a probe. For a probe, a leader with a log also
// proposes to add the sender as a learner if the membership lacks it.
func (c *core) handleProbe(from vwraft.Voter, probe Probe) {
	d := &c.discovery
	switch {
	case probe.Reply && !probe.Empty:
		d.logExists, d.leaderAddress = true, probe.Leader
	case probe.Reply:
		d.emptyPeers[from.Address] = from.Member
	case d.logEmpty:
		d.probers[from.Address] = from.Member
		c.sendPacket(from, Packet{Probe: &Probe{Empty: true, Reply: true}})
	default:
		c.sendPacket(from, Packet{Probe: &Probe{Reply: true, Leader: c.knownLeader().Address}})
		c.admitLearner(from)
	}
}

// bootstrap creates the log if the rule of the first start permits it.
func (c *core) bootstrap() error {
	d := &c.discovery
	if d.logExists || c.settings.JoinOnly || c.self.Address != slices.Min(c.settings.Initial) {
		return nil
	}
	membership := vwraft.Membership{}
	for _, address := range c.settings.Initial {
		member, ok := d.emptyPeers[address]
		if address == c.self.Address {
			member, ok = c.self.Member, true
		}
		if !ok {
			return nil
		}
		membership.Voters = append(membership.Voters, vwraft.Voter{Member: member, Address: address})
	}
	return trace.Wrap(c.createLog(membership))
}

func (c *core) createLog(membership vwraft.Membership) error {
	hard, entry, err := vwraft.Bootstrap(membership)
	if err != nil {
		return trace.Wrap(err)
	}
	err = c.store.Append(&hard, []vwraft.Entry{entry})
	if err == nil {
		err = c.store.Sync()
	}
	if vwstore.IsFull(err) {
		// The next probe tries again.
		c.recordFull(err)
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	c.recordRoom()
	node, err := vwraft.MakeNode(c.raftSettings, hard, vwraft.Snapshot{}, []vwraft.Entry{entry})
	if err != nil {
		return trace.Wrap(err)
	}
	c.node, c.discovery.logEmpty = node, false
	c.settings.Logger.Info("control log created", "members", len(membership.Voters))
	return nil
}
