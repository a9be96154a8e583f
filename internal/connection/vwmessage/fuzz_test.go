package vwmessage_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A message from another process must not crash this one, make it allocate much more than the message
// is long, or mean something else after it is passed on.
func FuzzOpen(f *testing.F) {
	for kind := vwmessage.KindHello; kind <= vwmessage.KindPackedRun; kind++ {
		f.Add(uint16(kind), []byte{0x80})
	}
	// An array that claims 4 billion elements.
	f.Add(uint16(vwmessage.KindDemand), []byte("\x81\xa5Teams\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, kind uint16, data []byte) {
		envelope := vwmessage.Envelope{Version: vwmessage.CurrentVersion, Kind: vwmessage.Kind(kind), Body: data}
		var body vwmessage.Body
		var err error
		// An element has at most 256 bytes in memory and at least one on the wire.
		require.LessOrEqual(t, allocated(func() { body, err = vwmessage.Open(envelope) }), uint64(64<<10+256*len(data)))
		if err != nil {
			return
		}
		first, err := vwmessage.Seal(body, 1, false)
		require.NoError(t, err)
		again, err := vwmessage.Open(first)
		require.NoError(t, err)
		second, err := vwmessage.Seal(again, 1, false)
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}
