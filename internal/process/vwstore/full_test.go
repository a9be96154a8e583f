package vwstore_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
)

// contents returns the bytes of all files of the log by name.
func contents(t require.TestingT, disk *vwstoretest.Disk) map[string]string {
	names, err := disk.List()
	require.NoError(t, err)
	found := map[string]string{}
	for _, name := range names {
		data, err := disk.Read(name)
		require.NoError(t, err)
		if name != "identity" {
			found[name] = string(data)
		}
	}
	return found
}

// Guards against a full disk that makes the store unusable until a restart, and against one that leaves part of a batch
// before a later one: after each refused write, whatever part of it fitted, the batch is appended again once there is
// room.
func TestWriteAfterFullDisk(t *testing.T) {
	for room := range 120 {
		for _, refusesNames := range []bool{false, true} {
			disk := vwstoretest.Make()
			store, first := open(t, disk)
			withRoom := vwstoretest.Make()
			reference, _ := open(t, withRoom)
			save(t, store, &vwraft.HardState{Term: 1}, entries(1, 2, 1))
			save(t, reference, &vwraft.HardState{Term: 1}, entries(1, 2, 1))
			for index := 3; index <= 20; index++ {
				disk.SetFull(room, refusesNames)
				added := entries(index, index+3, 1)
				for range 3 {
					err := store.Append(nil, added)
					if err == nil {
						err = store.Sync()
					}
					require.True(t, vwstore.IsFull(err), "room %d: %v", room, err)
					require.ErrorIs(t, err, syscall.ENOSPC)
				}
				disk.EndFull()
				save(t, store, nil, added)
				save(t, reference, nil, added)
			}
			require.Equal(t, contents(t, withRoom), contents(t, disk), "room %d", room)
			disk.Crash(rand.New(rand.NewPCG(uint64(room), 0)))
			_, loaded := open(t, disk)
			require.Equal(t, first.Member, loaded.Member)
			require.Equal(t, vwraft.HardState{Term: 1}, loaded.HardState)
			require.Equal(t, entries(1, 23, 1), loaded.Entries)
			require.Zero(t, loaded.Truncated)
		}
	}
}

// Guards against a torn tail of a full disk that cannot be removed at the start and then stays in a segment that is not
// the newest, where it counts as corruption.
func TestTornTailIsRemovedBeforeNextSegment(t *testing.T) {
	disk := vwstoretest.Make()
	store, _ := open(t, disk)
	save(t, store, nil, entries(1, 4, 1))
	disk.SetFull(30, true)
	require.NoError(t, store.Append(nil, entries(5, 5, 1)))
	require.True(t, vwstore.IsFull(store.Sync()))
	disk.Kill()
	store, loaded := open(t, disk)
	require.Equal(t, 1, loaded.Leftovers)
	disk.EndFull()
	require.NoError(t, store.Compact(vwraft.Snapshot{Index: 3, Term: 1}))
	save(t, store, nil, entries(5, 5, 1))
	require.NoError(t, store.Close())
	names, err := disk.List()
	require.NoError(t, err)
	require.Contains(t, names, "segment-0000000000000002")
	_, loaded = open(t, disk)
	require.Equal(t, entries(4, 5, 1), loaded.Entries)
}

// Guards against a snapshot for which there is no room and that loses the earlier one, the entries after it or its place
// in the order of snapshots when it is stored later.
func TestSnapshotOnFullDisk(t *testing.T) {
	for room := range 150 {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		save(t, store, nil, entries(1, 9, 1))
		require.NoError(t, store.Compact(vwraft.Snapshot{Index: 3, Term: 1}))
		disk.SetFull(room, true)
		snapshot := vwraft.Snapshot{Index: 7, Term: 1, Data: make([]byte, 100)}
		require.True(t, vwstore.IsFull(store.Compact(snapshot)))
		disk.EndFull()
		if room%2 == 0 {
			require.NoError(t, store.Compact(snapshot))
			save(t, store, nil, entries(10, 12, 1))
		}
		disk.Kill()
		_, loaded := open(t, disk)
		next := int(loaded.Snapshot.Index) + 1
		require.Equal(t, entries(next, 9, 1), loaded.Entries[:10-next])
		if room%2 == 0 {
			require.Equal(t, snapshot, loaded.Snapshot)
			require.Equal(t, entries(8, 12, 1), loaded.Entries)
			continue
		}
		require.Contains(t, []vwraft.Index{3, 7}, loaded.Snapshot.Index)
	}
}

// Guards against a snapshot of the leader that is installed without its reset record when the disk runs full between the
// two.
func TestInstallOnFullDisk(t *testing.T) {
	for room := range 200 {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		save(t, store, nil, entries(1, 9, 1))
		disk.SetFull(room, false)
		snapshot := vwraft.Snapshot{Index: 20, Term: 2, Data: make([]byte, 30)}
		install := func() error {
			if err := store.Install(snapshot); err != nil {
				return err
			}
			if err := store.Append(&vwraft.HardState{Term: 2}, entries(21, 22, 2)); err != nil {
				return err
			}
			return store.Sync()
		}
		require.True(t, vwstore.IsFull(install()))
		require.True(t, vwstore.IsFull(install()))
		disk.EndFull()
		require.NoError(t, install())
		disk.Kill()
		_, loaded := open(t, disk)
		require.Equal(t, snapshot, loaded.Snapshot)
		require.Equal(t, vwraft.HardState{Term: 2}, loaded.HardState)
		require.Equal(t, entries(21, 22, 2), loaded.Entries)
	}
}

// Guards against a snapshot of the leader that is stored twice and removed twice, because the disk ran full after it was
// stored and it was installed again.
func TestInstallAgainOnFullDisk(t *testing.T) {
	for room := range 200 {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		save(t, store, nil, entries(1, 9, 1))
		disk.SetFull(room, false)
		snapshot := vwraft.Snapshot{Index: 20, Term: 2, Data: make([]byte, 30)}
		for err := store.Install(snapshot); ; err = store.Install(snapshot) {
			if err == nil {
				err = store.Sync()
			}
			if err == nil {
				break
			}
			require.True(t, vwstore.IsFull(err))
			disk.EndFull()
		}
		disk.EndFull()
		save(t, store, nil, entries(21, 25, 2))
		require.NoError(t, store.Compact(vwraft.Snapshot{Index: 23, Term: 2}))
		disk.Kill()
		_, loaded := open(t, disk)
		require.Equal(t, vwraft.Index(23), loaded.Snapshot.Index)
		require.Equal(t, entries(24, 25, 2), loaded.Entries)
	}
}

// Guards against a failed sync on a full disk that is taken for a write that found no room: what is stored after it is
// not known, so the store must not go on.
func TestFailedSyncOnFullDisk(t *testing.T) {
	disk := vwstoretest.Make()
	store, _ := open(t, disk)
	save(t, store, nil, entries(1, 2, 1))
	disk.SetFullAtSync()
	require.NoError(t, store.Append(nil, entries(3, 3, 1)))
	err := store.Sync()
	require.True(t, vwstore.IsUnusable(err))
	require.False(t, vwstore.IsFull(err))
	disk.SetFailSync(false)
	require.True(t, vwstore.IsUnusable(store.Append(nil, entries(3, 3, 1))))
}

// Guards against a start that fails because the first one ended while it wrote the identity: the temporary file that it
// left is replaced by the new identity before all temporary files are removed.
func TestStartAfterFirstStartEndedEarly(t *testing.T) {
	path := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(path, "identity.tmp"), []byte("part"), 0o600))
	files, err := vwstore.OpenDirectory(path)
	require.NoError(t, err)
	store, loaded := open(t, files)
	require.True(t, loaded.Empty())
	require.NoError(t, store.Close())
}

// Guards against an empty directory that a start on a full disk leaves in a state in which no later start succeeds.
func TestFirstStartOnFullDisk(t *testing.T) {
	// An identity needs 45 bytes.
	for room := range 45 {
		for _, refusesNames := range []bool{false, true} {
			disk := vwstoretest.Make()
			disk.SetFull(room, refusesNames)
			for range 3 {
				_, _, err := vwstore.Open(disk, smallSegmentBytes)
				require.True(t, vwstore.IsFull(err), "room %d: %v", room, err)
			}
			disk.EndFull()
			store, loaded := open(t, disk)
			require.True(t, loaded.Empty())
			require.Zero(t, loaded.Leftovers)
			save(t, store, nil, entries(1, 2, 1))
		}
	}
}

// Guards against a directory with a log that cannot be opened while its disk is full, whatever was being written when
// the process was killed.
func TestStartOnFullDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		save(t, store, nil, entries(1, 4, 1))
		disk.SetFull(rapid.IntRange(0, 150).Draw(t, "room"), rapid.Bool().Draw(t, "refuses names"))
		if rapid.Bool().Draw(t, "compacts") {
			_ = store.Compact(vwraft.Snapshot{Index: 2, Term: 1, Data: make([]byte, 200)})
		}
		err := store.Append(nil, entries(5, 8, 1))
		if err == nil {
			_ = store.Sync()
		}
		disk.Kill()
		store, loaded := open(t, disk)
		last := int(loaded.Snapshot.Index) + len(loaded.Entries)
		require.GreaterOrEqual(t, last, 4)
		disk.EndFull()
		save(t, store, nil, entries(last+1, last+9, 1))
		require.NoError(t, store.Compact(vwraft.Snapshot{Index: 3, Term: 1}))
		save(t, store, nil, entries(last+10, last+10, 1))
		disk.Crash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "left"), 0)))
		_, loaded = open(t, disk)
		require.Equal(t, entries(4, last+10, 1), loaded.Entries)
	})
}
