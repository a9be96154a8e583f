package vwcontrol

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
)

//go:generate go tool msgp -tests=false -io=false -o packet_gen.go -file packet.go

// Packet is the unit of data that control members send to each other.
type Packet struct {
	From vwraft.Voter
	// Messages are those of the replicated log.
	Messages []vwraft.Message `msg:",omitempty,limit=65536"`
	// Probe is sent by a member that looks for a cluster to join, or is the reply.
	Probe *Probe `msg:",omitempty"`
	// Envelope is a request that is forwarded to the leader, or the reply.
	Envelope *vwmessage.Envelope `msg:",omitempty"`
	// Stopping is set by a member that is about to end. If it was replaced, it need not be waited for.
	Stopping bool `msg:",omitempty"`
}

// Probe states whether the sender's log is empty, that is, whether it has never held a part of a log.
type Probe struct {
	Empty bool
	Reply bool
	// Leader is the address of the leader that the replying member knows.
	Leader string `msg:",omitempty"`
	// Round is the prober's, which the reply repeats.
	Round uint64 `msg:",omitempty"`
	// JoinOnly is set by a replying member that creates no log, because its disk may have held one.
	JoinOnly bool `msg:",omitempty"`
	// Term is that of a replying member with an empty log. It is zero if the member has taken part in no election.
	Term vwraft.Term `msg:",omitempty"`
}

// Encode returns the encoded packet.
func (z *Packet) Encode() ([]byte, error) {
	data, err := z.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// DecodePacket decodes a packet. It returns an error, and never panics, on malformed data.
func DecodePacket(data []byte) (Packet, error) {
	var packet Packet
	rest, err := packet.UnmarshalMsg(data)
	if err != nil {
		return Packet{}, trace.BadParameter("malformed packet: %v", err)
	}
	if len(rest) != 0 {
		return Packet{}, trace.BadParameter("packet has %d trailing bytes", len(rest))
	}
	return packet, nil
}
