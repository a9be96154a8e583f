package vwmessage

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// minPackedPayload is the smallest payload that is compressed. Less text saves fewer bytes than a message has besides.
	minPackedPayload = 256
	// maxPayload bounds an unpacked payload, which may be much longer than the message that carries it.
	maxPayload = MaxEnvelope
)

// packers holds *flate.Writer, each of which takes more than a megabyte.
var packers = sync.Pool{New: func() any {
	// The level is valid, so that there is no error.
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return writer
}}

// PackPayload returns a compressed payload, and false if it would not be shorter.
func PackPayload(payload []byte) ([]byte, bool) {
	if len(payload) < minPackedPayload {
		return nil, false
	}
	packer := packers.Get().(*flate.Writer)
	defer packers.Put(packer)
	var packed bytes.Buffer
	packed.Grow(len(payload))
	packer.Reset(&packed)
	// Writes to a buffer do not fail.
	_, _ = packer.Write(payload)
	_ = packer.Close()
	return packed.Bytes(), packed.Len() < len(payload)
}

// UnpackPayload returns the payload that PackPayload has compressed.
func UnpackPayload(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	payload, err := io.ReadAll(io.LimitReader(reader, maxPayload+1))
	switch {
	case err != nil:
		return nil, trace.BadParameter("a payload cannot be unpacked: %v", err)
	case len(payload) > maxPayload:
		return nil, trace.LimitExceeded("a payload has more than %d bytes", maxPayload)
	}
	return payload, nil
}
