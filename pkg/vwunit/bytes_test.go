package vwunit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An amount that is misread by a unit or overflows would turn a limit into another one.
func TestParseBytes(t *testing.T) {
	accepted := map[string]Bytes{"0B": 0, "1B": 1, "64MiB": 64 * MiB, "3KiB": 3072, "8589934591GiB": 8589934591 * GiB}
	for text, want := range accepted {
		got, err := ParseBytes(text)
		require.NoError(t, err, text)
		require.Equal(t, want, got)
		require.Equal(t, text, got.String())
	}
	for _, text := range []string{"", "B", "64", "64MB", "-1B", "+1B", "1.5MiB", "8589934592GiB", " 1B", "1 B"} {
		_, err := ParseBytes(text)
		require.Error(t, err, text)
	}
}
