package vwmessage

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwflate"
)

const (
	// minPackedPayload is the smallest payload that is compressed. Less text saves fewer bytes than a message has besides.
	minPackedPayload = 256
	// maxPayload bounds an unpacked payload, which may be much longer than the message that carries it.
	maxPayload = MaxEnvelope
)

// PackPayload returns a compressed payload, and false if it would not be shorter.
func PackPayload(payload []byte) ([]byte, bool) {
	if len(payload) < minPackedPayload {
		return nil, false
	}
	packed := vwflate.Pack(payload)
	return packed, len(packed) < len(payload)
}

// UnpackPayload returns the payload that PackPayload has compressed.
func UnpackPayload(packed []byte) ([]byte, error) {
	payload, err := vwflate.Unpack(packed, maxPayload)
	return payload, trace.Wrap(err, "a payload cannot be unpacked")
}
