package vwcontrol

import (
	"slices"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// maxPacketBytes bounds the data in one packet, well below vwmessage.MaxEnvelope.
const maxPacketBytes = 1 << 20

// peers holds what the packets of other members say of their senders.
type peers struct {
	// addresses serve for members that are not in the membership yet.
	addresses map[vwid.Member]string
	// stopping has the members whose last packet says that they are about to end.
	stopping map[vwid.Member]bool
}

func makePeers() peers {
	return peers{addresses: map[vwid.Member]string{}, stopping: map[vwid.Member]bool{}}
}

func (p *peers) observe(packet *Packet) {
	p.addresses[packet.From.Member] = packet.From.Address
	delete(p.stopping, packet.From.Member)
	if packet.Stopping {
		p.stopping[packet.From.Member] = true
	}
}

// send groups raft messages by receiver into packets of at most maxPacketBytes of data; a larger message gets a packet
// of its own.
func (c *core) send(messages []vwraft.Message) {
	var order []vwid.Member
	grouped := map[vwid.Member][]vwraft.Message{}
	sizes := map[vwid.Member]int{}
	for _, m := range messages {
		if !slices.Contains(order, m.To) {
			order = append(order, m.To)
		}
		if sizes[m.To] += messageSize(m); sizes[m.To] > maxPacketBytes && len(grouped[m.To]) > 0 {
			c.sendMessages(m.To, grouped[m.To])
			grouped[m.To], sizes[m.To] = nil, messageSize(m)
		}
		grouped[m.To] = append(grouped[m.To], m)
	}
	for _, member := range order {
		c.sendMessages(member, grouped[member])
	}
}

func (c *core) sendMessages(member vwid.Member, messages []vwraft.Message) {
	if to := c.resolvePeer(member); to.Address != "" {
		c.sendPacket(to, Packet{Messages: messages})
	}
}

// resolvePeer returns a member with its address, which is empty if it is not known.
func (c *core) resolvePeer(member vwid.Member) vwraft.Voter {
	membership := c.node.Status().Membership
	if found, known := membership.Find(member); known {
		return found
	}
	return vwraft.Voter{Member: member, Address: c.peers.addresses[member]}
}

// messageSize returns the bytes of data in a raft message.
func messageSize(m vwraft.Message) int {
	size := 0
	for _, entry := range m.Entries {
		size += len(entry.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

func (c *core) sendPacket(to vwraft.Voter, packet Packet) {
	packet.From, packet.Stopping = c.self, c.stopping
	data, err := packet.Encode()
	if err != nil {
		c.settings.Logger.Error("packet not encoded", "error", err)
		return
	}
	c.transport.Send(to, data)
}

// handlePacket decodes and handles a packet from another member.
func (c *core) handlePacket(data []byte) {
	c.advanceClock()
	packet, err := DecodePacket(data)
	if err != nil {
		c.settings.Logger.Warn("packet dropped", "error", err)
		return
	}
	if packet.From.Member == c.self.Member || packet.From.Address == c.self.Address || (packet.Probe == nil && c.discovery.isSuperseded(packet.From)) {
		return
	}
	c.peers.observe(&packet)
	for at := range packet.Messages {
		if c.outage.active {
			c.outage.observeLeader(&packet.Messages[at], c.now)
			continue
		}
		// Messages in the name of another member than the packet's sender are dropped.
		if packet.Messages[at].From == packet.From.Member {
			c.node.Step(packet.Messages[at])
		}
	}
	if packet.Probe != nil {
		c.handleProbe(packet.From, *packet.Probe)
	}
	if packet.Envelope != nil {
		c.handleEnvelope(packet.From, *packet.Envelope)
	}
}

// handleEnvelope handles a forwarded request or the reply to one.
func (c *core) handleEnvelope(from vwraft.Voter, envelope vwmessage.Envelope) {
	body, err := vwmessage.Open(envelope)
	if err != nil {
		c.settings.Logger.Warn("envelope dropped", "error", err)
		return
	}
	if envelope.Reply {
		c.forwards.reply(from.Member, envelope.Call, body)
		return
	}
	c.serve(body, func(reply vwmessage.Body, err error) {
		if err != nil {
			reply = failureOf(err)
		}
		sealed, err := vwmessage.Seal(reply, envelope.Call, true)
		if err != nil {
			c.settings.Logger.Error("reply not encoded", "error", err)
			return
		}
		c.sendPacket(from, Packet{Envelope: &sealed})
	}, false)
}
