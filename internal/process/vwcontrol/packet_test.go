package vwcontrol

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// Guards against a panic on malformed bytes from another process, and against a decoded packet that cannot be encoded and
// decoded again.
func FuzzDecodePacket(f *testing.F) {
	envelope, err := vwmessage.Seal(&vwmessage.Propose{Command: []byte("command")}, 7, false)
	require.NoError(f, err)
	from := vwraft.Voter{Member: "m0", Address: "a0"}
	for _, packet := range []Packet{
		{From: from, Probe: &Probe{Empty: true, Leader: "a1"}},
		{From: from, Envelope: &envelope},
		{From: from, Messages: []vwraft.Message{{Kind: vwraft.MessageAppend, From: "m0", To: "m1", Entries: []vwraft.Entry{{Index: 1, Data: []byte("x")}}}}},
	} {
		data, err := packet.Encode()
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		packet, err := DecodePacket(data)
		if err != nil {
			return
		}
		encoded, err := packet.Encode()
		require.NoError(t, err)
		_, err = DecodePacket(encoded)
		require.NoError(t, err)
	})
}
