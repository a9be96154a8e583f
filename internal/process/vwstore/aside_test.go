package vwstore_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
)

// A damaged directory that is set aside must open as that of a new member, also when the machine loses power meanwhile
// and when it is damaged again.
func TestSetAside(t *testing.T) {
	disk := vwstoretest.Make()
	store, first := open(t, disk)
	require.NoError(t, store.Close())
	members := map[string]bool{string(first.Member): true}
	for round := range 200 {
		store, _ := open(t, disk)
		save(t, store, &vwraft.HardState{Term: 1}, entries(1, 4, 1))
		save(t, store, nil, entries(5, 6, 1))
		require.NoError(t, store.Close())
		disk.Damage("segment-0000000000000001", 20)
		_, _, err := vwstore.Open(disk, small)
		require.True(t, vwstore.IsCorrupt(err), "%v", err)
		disk.Interrupt(round % 10)
		err = vwstore.SetAside(disk)
		disk.Crash(rand.New(rand.NewPCG(uint64(round), 0)))
		if err != nil {
			// A part of the files may be left, which must never look like a sound log.
			left, loaded, err := vwstore.Open(disk, small)
			if err == nil {
				require.True(t, loaded.Empty())
				require.False(t, members[string(loaded.Member)], "an identity that may have voted returns in round %d", round)
				require.NoError(t, left.Close())
				continue
			}
			require.True(t, vwstore.IsCorrupt(err), "round %d: %v", round, err)
			require.NoError(t, vwstore.SetAside(disk), "round %d", round)
		}
		store, loaded := open(t, disk)
		require.True(t, loaded.Empty())
		require.False(t, members[string(loaded.Member)], "an identity that may have voted returns in round %d", round)
		members[string(loaded.Member)] = true
		require.NoError(t, store.Close())
	}
}
