// Package vwflate compresses what one message carries.
package vwflate

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// writers holds *flate.Writer, each of which takes more than a megabyte.
var writers = sync.Pool{New: func() any {
	// The level is valid, so that there is no error.
	writer, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return writer
}}

// Pack returns compressed data, which may be longer than data.
func Pack(data []byte) []byte {
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	var packed bytes.Buffer
	packed.Grow(len(data))
	writer.Reset(&packed)
	// Writes to a buffer do not fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return packed.Bytes()
}

// Unpack returns the data that Pack has compressed, or an error if it has more than limit bytes.
func Unpack(packed []byte, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(limit)+1))
	switch {
	case err != nil:
		return nil, trace.BadParameter("compressed data is malformed: %v", err)
	case len(data) > limit:
		return nil, trace.LimitExceeded("compressed data has more than %d bytes", limit)
	}
	return data, nil
}
