package vwcontrol

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
)

//go:generate go tool msgp -tests=false -io=false -o packet_gen.go -file packet.go

// Packet is what one control member sends to another.
type Packet struct {
	From vwraft.Voter
	// Messages belong to the replicated log.
	Messages []vwraft.Message `msg:",omitempty,limit=65536"`
	// Probe is a sign of a member whose log is empty, or the answer to one.
	Probe *Probe `msg:",omitempty"`
	// Envelope is a request that is forwarded to the leader, or its reply.
	Envelope *vwmessage.Envelope `msg:",omitempty"`
}

// Probe tells whether the sender has ever held a part of a log.
type Probe struct {
	Empty bool
	Reply bool
	// Leader is the address of the leader that the replying member knows.
	Leader string `msg:",omitempty"`
}

// Encode returns the bytes of a packet.
func (z *Packet) Encode() ([]byte, error) {
	data, err := z.MarshalMsg(nil)
	return data, trace.Wrap(err)
}

// DecodePacket returns the packet in data. It never panics on bytes from outside.
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
