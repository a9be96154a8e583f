package vwstore_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
)

// Guards against a member id that is used again without its log: after SetAside a damaged directory must open as that
// of a new member, also when the machine loses power during the call and when the directory is damaged again.
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
		_, _, err := vwstore.Open(disk, smallSegmentBytes)
		require.True(t, vwstore.IsCorrupt(err), "%v", err)
		disk.FailAfterChanges(round % 10)
		err = vwstore.SetAside(disk)
		disk.Crash(rand.New(rand.NewPCG(uint64(round), 0)))
		if err != nil {
			// Some files may not be renamed yet; they must not be loaded as an intact log.
			left, loaded, err := vwstore.Open(disk, smallSegmentBytes)
			if err == nil {
				require.True(t, loaded.Empty())
				require.False(t, members[string(loaded.Member)], "a member id that may have voted is reused in round %d", round)
				require.NoError(t, left.Close())
				continue
			}
			require.True(t, vwstore.IsCorrupt(err), "round %d: %v", round, err)
			require.NoError(t, vwstore.SetAside(disk), "round %d", round)
		}
		store, loaded := open(t, disk)
		require.True(t, loaded.Empty())
		require.False(t, members[string(loaded.Member)], "a member id that may have voted is reused in round %d", round)
		members[string(loaded.Member)] = true
		require.NoError(t, store.Close())
	}
}
