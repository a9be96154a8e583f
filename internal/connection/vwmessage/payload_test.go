package vwmessage_test

import (
	"bytes"
	"compress/flate"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

func randomText(alphabet string, length int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, length)
	for i := range text {
		text[i] = alphabet[random.IntN(len(alphabet))]
	}
	return text
}

// Under load a job's payload goes out once for nearly each task, over the narrow network link of an entry, where starts and
// answers wait behind it.
func TestPackedPayload(t *testing.T) {
	cases := map[string]struct {
		payload []byte
		// ratio is the largest length of the packed payload relative to the original; zero means that it is not packed.
		ratio float64
	}{
		"text of few letters": {randomText("abcdefghijklmnop", 2000), 0.6},
		"repetitive text":     {[]byte(strings.Repeat("a reference; ", 200)), 0.1},
		"random bytes":        {randomText(string(allBytes()), 2000), 0},
		"short":               {[]byte("short"), 0},
		"empty":               {nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			packed, shorter := vwmessage.PackPayload(c.payload)
			require.Equal(t, c.ratio > 0, shorter)
			if !shorter {
				return
			}
			require.LessOrEqual(t, float64(len(packed)), c.ratio*float64(len(c.payload)))
			unpacked, err := vwmessage.UnpackPayload(packed)
			require.NoError(t, err)
			require.Equal(t, c.payload, unpacked)
		})
	}
}

func allBytes() []byte {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	return all
}

// A malformed payload, or one that grows without end, must not end the process.
func TestMalformedPackedPayload(t *testing.T) {
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestSpeed)
	require.NoError(t, err)
	_, err = writer.Write(make([]byte, vwmessage.MaxEnvelope+1))
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	for name, packed := range map[string][]byte{
		"empty": nil, "no stream": []byte("not compressed"), "cut": bomb.Bytes()[:10], "too long": bomb.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := vwmessage.UnpackPayload(packed)
			require.Error(t, err)
		})
	}
}

func FuzzUnpackPayload(f *testing.F) {
	packed, _ := vwmessage.PackPayload(randomText("abcdefghijklmnop", 2000))
	f.Add(packed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packed []byte) {
		payload, err := vwmessage.UnpackPayload(packed)
		if err == nil {
			require.LessOrEqual(t, len(payload), vwmessage.MaxEnvelope)
		}
	})
}
