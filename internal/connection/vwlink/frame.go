package vwlink

import (
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// frameHeader is the size of the length that stands before each encoded envelope on a stream.
const frameHeader = 4

// AppendFrame appends the encoding of envelope, with its length before it.
func AppendFrame(buffer []byte, envelope *vwmessage.Envelope) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer, err := envelope.MarshalMsg(buffer)
	if err != nil {
		return buffer[:start], trace.Wrap(err)
	}
	size := len(buffer) - start - frameHeader
	if size > vwmessage.MaxEnvelope {
		return buffer[:start], trace.LimitExceeded("message of %d bytes exceeds the limit of %d", size, vwmessage.MaxEnvelope)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size))
	return buffer, nil
}

// ReadFrame reads one envelope. It checks the length before it allocates.
func ReadFrame(reader io.Reader) (vwmessage.Envelope, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return vwmessage.Envelope{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > vwmessage.MaxEnvelope {
		return vwmessage.Envelope{}, trace.LimitExceeded("message of %d bytes exceeds the limit of %d", size, vwmessage.MaxEnvelope)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(reader, data); err != nil {
		return vwmessage.Envelope{}, err
	}
	var envelope vwmessage.Envelope
	rest, err := envelope.UnmarshalMsg(data)
	if err != nil {
		return vwmessage.Envelope{}, trace.BadParameter("malformed envelope: %v", err)
	}
	if len(rest) != 0 {
		return vwmessage.Envelope{}, trace.BadParameter("envelope has %d trailing bytes", len(rest))
	}
	return envelope, nil
}
