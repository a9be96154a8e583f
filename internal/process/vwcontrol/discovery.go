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
// If the first member loses its disk before that, it is back as one that only joins, and the next address takes its place.
// It creates a log only if that of the first member, if there was one, never had a leader: after the first member is known to be
// back, all others reply that they have voted in no election, and a majority of the initial members has lost no disk that
// could have held a vote.
//
// A member that was removed while it was unreachable keeps its log and its id. It receives nothing from a leader, probes
// the members whose addresses it has, and is admitted as a learner too.
type discovery struct {
	logEmpty bool
	// leaderSeenAt is when this member's raft status last had a leader.
	leaderSeenAt time.Time
	// emptyPeers holds the members that replied in this round that their log is empty, by address.
	emptyPeers map[string]emptyPeer
	// joiners holds the initial members that only join, by address. With each one that becomes known a round begins, in which all
	// have to reply again.
	joiners map[string]vwid.Member
	round   uint64
	// logHolders holds the members that replied that they have a log, by address. While there is one, this member creates none.
	logHolders map[string]vwid.Member
	// leaderAddress is the leader's address from the last reply of a member with a log. It need not be an initial one.
	leaderAddress string
	// probers holds the members that probed this one while its log was empty, by address. Messages of an earlier id
	// at such an address were sent before that member lost its disk, and are dropped.
	probers   map[string]vwid.Member
	nextProbe time.Time
}

// emptyPeer is a member with an empty log.
type emptyPeer struct {
	member vwid.Member
	// hasVoted is set if the member has taken part in an election.
	hasVoted bool
}

func makeDiscovery(empty bool, now time.Time) discovery {
	return discovery{logEmpty: empty, leaderSeenAt: now, emptyPeers: map[string]emptyPeer{}, joiners: map[string]vwid.Member{}, logHolders: map[string]vwid.Member{}, probers: map[string]vwid.Member{}}
}

// observeEmpty records the reply of an initial member with an empty log.
func (d *discovery) observeEmpty(from vwraft.Voter, probe *Probe) {
	if probe.JoinOnly && d.joiners[from.Address] != from.Member {
		d.joiners[from.Address] = from.Member
		// What the earlier member at this address had is lost.
		delete(d.logHolders, from.Address)
		d.round++
		clear(d.emptyPeers)
	}
	if probe.Round == d.round {
		d.emptyPeers[from.Address] = emptyPeer{member: from.Member, hasVoted: probe.Term > 0}
	}
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
			c.sendPacket(vwraft.Voter{Address: address}, Packet{Probe: &Probe{Empty: c.discovery.logEmpty, Round: c.discovery.round}})
		}
	}
}

// handleProbe records the reply to a probe, or answers a probe. For a probe, a leader with a log also
// proposes to add the sender as a learner if the membership lacks it.
func (c *core) handleProbe(from vwraft.Voter, probe Probe) {
	d := &c.discovery
	joiner, joins := d.joiners[from.Address]
	switch {
	case probe.Reply && joins && joiner != from.Member && !probe.JoinOnly:
		// The reply is from before the member at this address lost its disk.
	case probe.Reply && !probe.Empty:
		d.logHolders[from.Address], d.leaderAddress = from.Member, probe.Leader
	case probe.Reply:
		if slices.Contains(c.settings.Initial, from.Address) {
			d.observeEmpty(from, &probe)
		}
	case d.logEmpty:
		d.probers[from.Address] = from.Member
		c.sendPacket(from, Packet{Probe: &Probe{Empty: true, Reply: true, Round: probe.Round, JoinOnly: c.settings.JoinOnly, Term: c.node.Status().Term}})
	default:
		c.sendPacket(from, Packet{Probe: &Probe{Reply: true, Leader: c.knownLeader().Address}})
		c.admitLearner(from)
	}
}

// bootstrap creates the log if the rule of the first start permits it.
func (c *core) bootstrap() error {
	d := &c.discovery
	if len(d.logHolders) > 0 || c.settings.JoinOnly || !c.isFirst() {
		return nil
	}
	membership := vwraft.Membership{}
	hasVoted := c.node.Status().Term > 0
	for _, address := range c.settings.Initial {
		peer, ok := d.emptyPeers[address]
		if address == c.self.Address {
			peer, ok = emptyPeer{member: c.self.Member}, true
		}
		if !ok {
			return nil
		}
		hasVoted = hasVoted || peer.hasVoted
		membership.Voters = append(membership.Voters, vwraft.Voter{Member: peer.member, Address: address})
	}
	if len(d.joiners) > 0 && (hasVoted || len(c.settings.Initial)-len(d.joiners) < len(c.settings.Initial)/2+1) {
		return nil
	}
	return trace.Wrap(c.createLog(membership))
}

// isFirst reports whether this member has the lowest initial address of those that do not only join.
func (c *core) isFirst() bool {
	for _, address := range c.settings.Initial {
		if _, joins := c.discovery.joiners[address]; !joins && address < c.self.Address {
			return false
		}
	}
	return slices.Contains(c.settings.Initial, c.self.Address)
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
	c.settings.Logger.Info("control log created", "members", len(membership.Voters), "joining", len(c.discovery.joiners))
	return nil
}
