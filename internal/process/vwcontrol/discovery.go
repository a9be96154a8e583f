package vwcontrol

import (
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// lostAfter is how long a member with a log hears of no leader before it asks whether the membership still
// has it. It is longer than an election takes.
const lostAfter = 1500 * time.Millisecond

// discovery is how a member finds a cluster that does not know it.
//
// The rule of the first start: the member with the lowest of the initial addresses creates the log, and
// only when the members at all other initial addresses have answered that their logs are empty too.
// The others wait for that member. A member with an empty log that hears of a log waits until the
// leader has admitted it as a learner under its new id.
//
// A member that was removed while it was out of reach keeps its log and its id. It hears of no leader, asks
// the members that it knows, and is admitted as a learner too.
type discovery struct {
	empty bool
	// led is when this member last knew a leader.
	led time.Time
	// found are the members that answered, by address.
	found map[string]vwid.Member
	// joining is set once any member has a log: this one then never creates another.
	joining bool
	// leader is the address of the leader as the others tell it; it need not be an initial one.
	leader string
	// probers are the members that asked while this log was empty, by address. Messages of an earlier
	// id at such an address come from a member that has lost its disk since, and are dropped.
	probers map[string]vwid.Member
	next    time.Time
}

func makeDiscovery(empty bool, now time.Time) discovery {
	return discovery{empty: empty, led: now, found: map[string]vwid.Member{}, probers: map[string]vwid.Member{}}
}

func (d *discovery) superseded(from vwraft.Voter) bool {
	newer, ok := d.probers[from.Address]
	return d.empty && ok && newer != from.Member
}

// discover looks for the other members while this one's log is empty or it knows no leader for long.
func (c *core) discover() error {
	d := &c.discovery
	if c.writer.busy() {
		return nil
	}
	status := c.node.Status()
	d.empty = d.empty && status.Last == 0
	if status.Leader.Member != "" {
		d.led = c.now
	}
	if !d.empty && c.now.Sub(d.led) < lostAfter || c.now.Before(d.next) {
		return nil
	}
	d.next = c.now.Add(c.settings.ProbeInterval)
	c.probe(status.Membership)
	if !d.empty {
		return nil
	}
	return c.bootstrap()
}

// probe asks every member that this one knows of.
func (c *core) probe(membership vwraft.Membership) {
	addresses := append([]string{c.discovery.leader}, c.settings.Initial...)
	for _, member := range membership.All() {
		addresses = append(addresses, member.Address)
	}
	for _, heard := range c.peers.addresses {
		addresses = append(addresses, heard)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address != "" && address != c.self.Address {
			c.sendPacket(vwraft.Voter{Address: address}, Packet{Probe: &Probe{Empty: c.discovery.empty}})
		}
	}
}

func (c *core) handleProbe(from vwraft.Voter, probe Probe) {
	d := &c.discovery
	switch {
	case probe.Reply && !probe.Empty:
		d.joining, d.leader = true, probe.Leader
	case probe.Reply:
		d.found[from.Address] = from.Member
	case d.empty:
		d.probers[from.Address] = from.Member
		c.sendPacket(from, Packet{Probe: &Probe{Empty: true, Reply: true}})
	default:
		c.sendPacket(from, Packet{Probe: &Probe{Reply: true, Leader: c.node.Status().Leader.Address}})
		c.admit(from)
	}
}

// bootstrap creates the log when the rule of the first start permits it.
func (c *core) bootstrap() error {
	d := &c.discovery
	if d.joining || c.settings.Joins || c.self.Address != slices.Min(c.settings.Initial) {
		return nil
	}
	membership := vwraft.Membership{}
	for _, address := range c.settings.Initial {
		member, ok := d.found[address]
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
	if err := c.store.Append(&hard, []vwraft.Entry{entry}); err != nil {
		return trace.Wrap(err)
	}
	if err := c.store.Sync(); err != nil {
		return trace.Wrap(err)
	}
	node, err := vwraft.MakeNode(c.raft, hard, vwraft.Snapshot{}, []vwraft.Entry{entry})
	if err != nil {
		return trace.Wrap(err)
	}
	c.node, c.discovery.empty = node, false
	c.settings.Logger.Info("control log created", "members", len(membership.Voters))
	return nil
}
