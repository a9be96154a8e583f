package vwlink_test

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// Bytes from a peer must not crash the process, and a frame that is read must be written as the same one,
// however the stream is cut into pieces.
func FuzzReadFrame(f *testing.F) {
	sealed, err := vwmessage.Seal(&vwmessage.Cancel{SubmissionID: "s", Epoch: 2}, 7, true)
	require.NoError(f, err)
	frame, err := vwlink.AppendFrame(nil, &sealed)
	require.NoError(f, err)
	f.Add(frame)
	f.Add(frame[:len(frame)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		envelope, err := vwlink.ReadFrame(bytes.NewReader(data))
		pieces, errPieces := vwlink.ReadFrame(iotest.OneByteReader(bytes.NewReader(data)))
		require.Equal(t, err == nil, errPieces == nil)
		require.Equal(t, envelope, pieces)
		if err != nil {
			return
		}
		first, err := vwlink.AppendFrame(nil, &envelope)
		require.NoError(t, err)
		again, err := vwlink.ReadFrame(bytes.NewReader(first))
		require.NoError(t, err)
		second, err := vwlink.AppendFrame(nil, &again)
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
