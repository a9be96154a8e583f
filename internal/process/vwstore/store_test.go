package vwstore_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/process/vwstoretest"
)

// smallSegmentBytes makes the store start a new segment after every few records.
const smallSegmentBytes = 300

func entry(index, term int) vwraft.Entry {
	return vwraft.Entry{Index: vwraft.Index(index), Term: vwraft.Term(term), Data: []byte(fmt.Sprintf("%d in %d", index, term))}
}

func entries(from, to, term int) []vwraft.Entry {
	var all []vwraft.Entry
	for index := from; index <= to; index++ {
		all = append(all, entry(index, term))
	}
	return all
}

func open(t require.TestingT, files vwstore.FileSystem) (*vwstore.Store, vwstore.Loaded) {
	store, loaded, err := vwstore.Open(files, smallSegmentBytes)
	require.NoError(t, err)
	return store, loaded
}

func save(t require.TestingT, store *vwstore.Store, hard *vwraft.HardState, entries []vwraft.Entry) {
	require.NoError(t, store.Append(hard, entries))
	require.NoError(t, store.Sync())
}

// Guards against lost or invented records after a restart, on the fake disk and on a real directory.
func TestReopen(t *testing.T) {
	systems := map[string]func(t *testing.T) vwstore.FileSystem{
		"memory": func(*testing.T) vwstore.FileSystem { return vwstoretest.Make() },
		"directory": func(t *testing.T) vwstore.FileSystem {
			files, err := vwstore.OpenDirectory(t.TempDir())
			require.NoError(t, err)
			return files
		},
	}
	for name, makeFiles := range systems {
		t.Run(name, func(t *testing.T) {
			files := makeFiles(t)
			store, first := open(t, files)
			require.True(t, first.Empty())
			_, _, err := vwstore.Open(files, smallSegmentBytes)
			require.True(t, vwstore.IsLocked(err), "%v", err)
			hard := vwraft.HardState{Term: 3, Vote: "m1"}
			for index := 1; index <= 40; index++ {
				save(t, store, &hard, []vwraft.Entry{entry(index, 1)})
			}
			save(t, store, nil, entries(31, 35, 2))
			// A snapshot may be far larger than a segment or any one message.
			require.NoError(t, store.Compact(vwraft.Snapshot{Index: 30, Term: 1, Data: make([]byte, 1<<20)}))
			save(t, store, nil, entries(36, 37, 2))
			require.NoError(t, store.Close())
			store, loaded := open(t, files)
			require.Equal(t, first.Member, loaded.Member)
			require.Equal(t, hard, loaded.HardState)
			require.Equal(t, vwraft.Index(30), loaded.Snapshot.Index)
			require.Len(t, loaded.Snapshot.Data, 1<<20)
			require.Equal(t, entries(31, 37, 2), loaded.Entries)
			names, err := files.List()
			require.NoError(t, err)
			require.NotContains(t, names, "segment-0000000000000001", "covered segments are deleted")
			require.NoError(t, store.Close())
		})
	}
}

// Guards against one sync per record: all records appended since the last sync share the next one.
func TestGroupCommit(t *testing.T) {
	disk := vwstoretest.Make()
	store, _ := open(t, disk)
	before := disk.Syncs()
	for index := 1; index <= 100; index++ {
		require.NoError(t, store.Append(nil, []vwraft.Entry{entry(index, 1)}))
	}
	require.NoError(t, store.Sync())
	require.Equal(t, before+1, disk.Syncs())
}

// Guards against a store that accepts writes after a failed write or sync, when data may have been lost.
func TestFailedWriteMakesUnusable(t *testing.T) {
	faults := map[string]func(*vwstoretest.Disk){
		"sync":         func(d *vwstoretest.Disk) { d.SetFailSync(true) },
		"failed write": func(d *vwstoretest.Disk) { d.FailAfterChanges(0) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			disk := vwstoretest.Make()
			store, _ := open(t, disk)
			save(t, store, nil, entries(1, 2, 1))
			inject(disk)
			require.NoError(t, store.Append(nil, entries(3, 3, 1)))
			require.True(t, vwstore.IsUnusable(store.Sync()))
			disk.SetFailSync(false)
			disk.FailAfterChanges(-1)
			require.True(t, vwstore.IsUnusable(store.Sync()), "the sync must not be tried again")
			require.True(t, vwstore.IsUnusable(store.Append(nil, entries(3, 3, 1))))
			require.True(t, vwstore.IsUnusable(store.Compact(vwraft.Snapshot{Index: 1, Term: 1})))
			require.NoError(t, store.Close())
			_, loaded := open(t, disk)
			require.Equal(t, entries(1, 2, 1), loaded.Entries)
		})
	}
}

// Guards against silent loss of entries: damage before the last batch must not be treated as a torn tail.
func TestDamage(t *testing.T) {
	build := func(t *testing.T) (*vwstoretest.Disk, string, int) {
		disk := vwstoretest.Make()
		store, _, err := vwstore.Open(disk, vwstore.DefaultSegmentBytes)
		require.NoError(t, err)
		save(t, store, &vwraft.HardState{Term: 1}, entries(1, 4, 1))
		synced := disk.Size("segment-0000000000000001")
		save(t, store, nil, entries(5, 8, 1))
		require.NoError(t, store.Compact(vwraft.Snapshot{Index: 2, Term: 1}))
		require.NoError(t, store.Close())
		return disk, "segment-0000000000000001", synced
	}
	disk, segment, synced := build(t)
	for offset := range disk.Size(segment) {
		disk, _, _ := build(t)
		disk.Damage(segment, offset)
		_, loaded, err := vwstore.Open(disk, vwstore.DefaultSegmentBytes)
		if offset < synced {
			require.True(t, vwstore.IsCorrupt(err), "offset %d: %v", offset, err)
			require.ErrorContains(t, err, segment)
			require.ErrorContains(t, err, "move the data directory away")
			continue
		}
		require.NoError(t, err, "offset %d", offset)
		require.Less(t, len(loaded.Entries), 6)
		require.Equal(t, entries(3, 8, 1)[:len(loaded.Entries)], loaded.Entries)
	}
	for _, name := range []string{"identity", "snapshot-0000000000000002"} {
		for offset := range disk.Size(name) {
			disk, _, _ := build(t)
			disk.Damage(name, offset)
			_, _, err := vwstore.Open(disk, smallSegmentBytes)
			require.True(t, vwstore.IsCorrupt(err), "%s at %d: %v", name, offset, err)
		}
	}
	require.NoError(t, disk.Remove("identity"))
	_, _, err := vwstore.Open(disk, smallSegmentBytes)
	require.True(t, vwstore.IsCorrupt(err), "a log without its identity must not get a new one")
}

// Guards against entries of the old log that survive the installation of a leader's snapshot.
func TestInstallDropsOldEntries(t *testing.T) {
	disk := vwstoretest.Make()
	store, _ := open(t, disk)
	save(t, store, nil, entries(1, 10, 1))
	require.NoError(t, store.Install(vwraft.Snapshot{Index: 5, Term: 2}))
	disk.Crash(rand.New(rand.NewPCG(1, 1)))
	store, loaded := open(t, disk)
	require.Equal(t, vwraft.Index(5), loaded.Snapshot.Index)
	require.Empty(t, loaded.Entries, "crash between the snapshot and the reset record")
	require.NoError(t, store.Install(vwraft.Snapshot{Index: 7, Term: 2}))
	save(t, store, nil, entries(8, 9, 2))
	require.NoError(t, store.Close())
	_, loaded = open(t, disk)
	require.Equal(t, entries(8, 9, 2), loaded.Entries)
}

// model records the synced entries, which a store must hold, and the written ones, which it may hold.
type model struct {
	synced, written []vwraft.Entry
	snapshot        vwraft.Index
}

// verify returns an error if a synced entry is missing or an entry was loaded that was never written.
func (m *model) verify(loaded vwstore.Loaded) error {
	if loaded.Snapshot.Index != m.snapshot {
		return fmt.Errorf("snapshot %d is lost; found %d", m.snapshot, loaded.Snapshot.Index)
	}
	found := loaded.Entries
	if m.isPrefix(found, m.synced) && len(found) >= len(m.synced) {
		return nil
	}
	if m.isPrefix(found, m.written) && m.keepsSynced(found) {
		return nil
	}
	return fmt.Errorf("found %v; synced %v, written %v", found, m.synced, m.written)
}

func (*model) isPrefix(found, expected []vwraft.Entry) bool {
	return len(found) <= len(expected) && slices.EqualFunc(found, expected[:len(found)], equalEntries)
}

// keepsSynced reports whether found holds each synced entry that no unsynced write replaced.
func (m *model) keepsSynced(found []vwraft.Entry) bool {
	for at := range m.synced {
		replaced := at >= len(m.written) || !equalEntries(m.synced[at], m.written[at])
		if replaced {
			return true
		}
		if at >= len(found) {
			return false
		}
	}
	return true
}

func equalEntries(a, b vwraft.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
}

// Guards against a model that accepts wrong states, with which TestCrashes could not fail.
func TestModelDetectsInjectedFaults(t *testing.T) {
	m := model{synced: entries(1, 3, 1), written: entries(1, 5, 1)}
	require.NoError(t, m.verify(vwstore.Loaded{Entries: entries(1, 4, 1)}))
	faults := map[string]vwstore.Loaded{
		"synced entry lost": {Entries: entries(1, 2, 1)},
		"invented entry":    {Entries: entries(1, 6, 1)},
		"changed entry":     {Entries: entries(1, 3, 2)},
		"other snapshot":    {Entries: entries(1, 3, 1), Snapshot: vwraft.Snapshot{Index: 1}},
	}
	for name, loaded := range faults {
		t.Run(name, func(t *testing.T) { require.Error(t, m.verify(loaded)) })
	}
}

// Guards against lost synced entries under any sequence of writes, syncs, snapshots and crashes.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		m := model{}
		term := 1
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				next := int(m.snapshot) + len(m.written) + 1
				from := max(int(m.snapshot)+1, next-rapid.IntRange(0, 3).Draw(t, "replaced"))
				if from < next {
					term++
				}
				added := entries(from, from+rapid.IntRange(0, 5).Draw(t, "more"), term)
				require.NoError(t, store.Append(nil, added))
				m.written = append(slices.Clone(m.written[:from-int(m.snapshot)-1]), added...)
			},
			"sync": func(t *rapid.T) {
				require.NoError(t, store.Sync())
				m.synced = slices.Clone(m.written)
			},
			"compact": func(t *rapid.T) {
				require.NoError(t, store.Sync())
				m.synced = slices.Clone(m.written)
				if len(m.written) == 0 {
					return
				}
				covered := rapid.IntRange(1, len(m.written)).Draw(t, "covered")
				last := m.written[covered-1]
				require.NoError(t, store.Compact(vwraft.Snapshot{Index: last.Index, Term: last.Term}))
				m.snapshot, m.written = last.Index, m.written[covered:]
				m.synced = slices.Clone(m.written)
			},
			"crash": func(t *rapid.T) {
				disk.Crash(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "torn"), 0)))
				reopened, loaded := open(t, disk)
				require.NoError(t, m.verify(loaded))
				store = reopened
				m.written = slices.Clone(loaded.Entries)
				m.synced = slices.Clone(loaded.Entries)
			},
		})
	})
}

// Guards against a member that refuses to start after its process is killed between a write and its sync and its
// machine then loses power during the next write. If only the later of the two writes was left on the disk, the store
// took the missing one for corruption.
func TestStartAfterKillAndPowerLoss(t *testing.T) {
	for seed := range uint64(50) {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		save(t, store, nil, entries(1, 1, 1))
		for index, stop := range []func(){disk.Kill, func() { disk.Crash(rand.New(rand.NewPCG(seed, 0))) }} {
			require.NoError(t, store.Append(nil, entries(2+index, 2+index, 1)))
			disk.FailAfterChanges(1)
			require.Error(t, store.Sync())
			stop()
			var loaded vwstore.Loaded
			store, loaded = open(t, disk)
			require.GreaterOrEqual(t, len(loaded.Entries), 1+index, "seed %d", seed)
		}
	}
}

// crashDriver applies changes to a store that a kill or a power loss may interrupt at any point.
type crashDriver struct {
	t     *rapid.T
	disk  *vwstoretest.Disk
	store *vwstore.Store
	// next is the index after the last written entry, and lastDurable that of the last entry which must not be lost.
	next, lastDurable int
	// snapshot is the index of the newest snapshot that must exist, and pendingSnapshot that of the one last started,
	// which may exist.
	snapshot, pendingSnapshot int
}

func (h *crashDriver) save() {
	count := rapid.IntRange(1, 4).Draw(h.t, "entries")
	added := entries(h.next, h.next+count-1, 1)
	h.next += count
	if h.store.Append(nil, added) == nil && h.store.Sync() == nil {
		h.lastDurable = h.next - 1
	}
}

func (h *crashDriver) compact() {
	if h.lastDurable <= h.snapshot {
		return
	}
	h.pendingSnapshot = rapid.IntRange(h.snapshot+1, h.lastDurable).Draw(h.t, "covered")
	if h.store.Compact(vwraft.Snapshot{Index: vwraft.Index(h.pendingSnapshot), Term: 1}) == nil {
		h.snapshot = h.pendingSnapshot
	}
}

// reopen kills the process or cuts the power, opens the store and checks the loaded state. A member acts on the state
// that it loads, so all of it counts as durable from then on.
func (h *crashDriver) reopen() {
	if rapid.Bool().Draw(h.t, "power") {
		h.disk.Crash(rand.New(rand.NewPCG(rapid.Uint64().Draw(h.t, "left"), 0)))
	} else {
		h.disk.Kill()
	}
	var loaded vwstore.Loaded
	h.store, loaded = open(h.t, h.disk)
	found := int(loaded.Snapshot.Index)
	require.True(h.t, found == h.snapshot || found == h.pendingSnapshot, "snapshot %d instead of %d or %d", found, h.snapshot, h.pendingSnapshot)
	h.snapshot, h.pendingSnapshot = found, found
	for _, e := range loaded.Entries {
		require.Equal(h.t, entry(found+1, 1), e)
		found++
	}
	require.GreaterOrEqual(h.t, found, h.lastDurable)
	require.Less(h.t, found, h.next)
	h.lastDurable, h.next = found, found+1
}

// Guards against a member that does not start, or that loses entries which it has reported to its peers, after a kill
// or a power loss at any point. An unsynced write that it had loaded after a kill and reported was lost in the next
// power loss.
func TestKillAndPowerLossSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := vwstoretest.Make()
		store, _ := open(t, disk)
		h := &crashDriver{t: t, disk: disk, store: store, next: 1}
		t.Repeat(map[string]func(*rapid.T){
			"save":    func(*rapid.T) { h.save() },
			"compact": func(*rapid.T) { h.compact() },
			"reopen":  func(*rapid.T) { h.reopen() },
			"interrupted": func(t *rapid.T) {
				h.disk.FailAfterChanges(rapid.IntRange(0, 6).Draw(t, "changes"))
				h.save()
				if rapid.Bool().Draw(t, "compacts") {
					h.compact()
				}
				h.reopen()
			},
		})
	})
}

// Guards against a panic on damaged bytes, and against a record that its checksum does not protect: one with a flipped bit
// must be rejected.
func FuzzDecodeRecord(f *testing.F) {
	disk := vwstoretest.Make()
	store, _ := open(f, disk)
	save(f, store, &vwraft.HardState{Term: 2, Vote: "m1"}, entries(1, 2, 1))
	require.NoError(f, store.Install(vwraft.Snapshot{Index: 9, Term: 3}))
	require.NoError(f, store.Sync())
	data, err := disk.Read("segment-0000000000000001")
	require.NoError(f, err)
	for _, part := range strings.SplitAfter(string(data), "\x1A") {
		f.Add([]byte("\xF5vw\x1A" + strings.TrimSuffix(part, "\xF5vw\x1A")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := vwstore.DecodeRecord(data)
		if err != nil {
			return
		}
		require.False(t, record.Entry != nil && record.HardState != nil)
		const lengthOffset, headerSize = 4, 17
		size := headerSize + int(binary.LittleEndian.Uint32(data[lengthOffset:]))
		require.LessOrEqual(t, size, len(data))
		for _, index := range []int{0, lengthOffset, headerSize - 1, size / 2, size - 1} {
			for bit := range 8 {
				data[index] ^= 1 << bit
				_, err := vwstore.DecodeRecord(data)
				require.Error(t, err, "bit %d of byte %d is flipped", bit, index)
				data[index] ^= 1 << bit
			}
		}
		again, err := vwstore.DecodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, record, again)
	})
}
