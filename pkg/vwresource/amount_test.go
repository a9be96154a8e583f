package vwresource

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// A count that is one too high would start a task that its worker has no room for.
func TestCountIn(t *testing.T) {
	cases := map[string]struct {
		need, room Amount
		want       int
	}{
		"cpu binds":       {Amount{CPU: 3100, Memory: vwunit.MiB}, Amount{CPU: 32000, Memory: vwunit.GiB}, 10},
		"memory binds":    {Amount{CPU: 1, Memory: 64 * vwunit.MiB}, Amount{CPU: 32000, Memory: 200 * vwunit.MiB}, 3},
		"gpu binds":       {Amount{CPU: 1, GPUs: 1}, Amount{CPU: 32000, GPUs: 2}, 2},
		"exact":           {Amount{CPU: 1000}, Amount{CPU: 2000}, 2},
		"nothing needed":  {Amount{}, Amount{CPU: 1}, 32},
		"overdrawn":       {Amount{CPU: 1}, Amount{CPU: -1}, 0},
		"overdrawn other": {Amount{CPU: 1}, Amount{CPU: 10, Memory: -1}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.need.CountIn(c.room, 32))
		})
	}
}

// Fits and CountIn must agree, since entries use the one and agents the other.
func TestCountInAgreesWithFits(t *testing.T) {
	amount := rapid.Custom(func(rt *rapid.T) Amount {
		return Amount{
			CPU:    MilliCPU(rapid.IntRange(-1, 20).Draw(rt, "cpu")),
			Memory: vwunit.Bytes(rapid.IntRange(-1, 20).Draw(rt, "memory")),
			GPUs:   rapid.IntRange(-1, 3).Draw(rt, "gpus"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		need, room := amount.Draw(rt, "need"), amount.Draw(rt, "room")
		if !need.Valid() {
			return
		}
		count := need.CountIn(room, 8)
		require.True(rt, count == 0 || need.Times(count).Fits(room))
		if count < 8 {
			require.False(rt, need.Times(count+1).Fits(room))
		}
	})
}
