package vwflate

import (
	"bytes"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

// Guards against a short message that takes all memory when it is unpacked.
func TestUnpackIsBounded(t *testing.T) {
	packed := Pack(make([]byte, 1<<20))
	require.Less(t, len(packed), 1<<14)
	_, err := Unpack(packed, 1<<20-1)
	require.True(t, trace.IsLimitExceeded(err))
	data, err := Unpack(packed, 1<<20)
	require.NoError(t, err)
	require.Equal(t, make([]byte, 1<<20), data)
}

func FuzzUnpack(f *testing.F) {
	f.Add(Pack([]byte("text")))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packed []byte) {
		data, err := Unpack(packed, 1<<16)
		if err == nil {
			again, err := Unpack(Pack(data), 1<<16)
			require.NoError(t, err)
			require.True(t, bytes.Equal(data, again))
		}
	})
}
