// Package vwstore stores the Raft log of a control member in one data directory: segments of checksummed
// records, snapshots, and the member id.
package vwstore

import (
	"io"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// DefaultSegmentBytes is the segment size at which a new segment is started. It bounds the log data that must be
// read at a restart in addition to the newest snapshot.
const DefaultSegmentBytes = 8 << 20

const lockName = "lock"

// Store is an open data directory. It is not safe for concurrent use: one goroutine owns it.
type Store struct {
	files        FileSystem
	lock         io.Closer
	segmentBytes int64
	loaded       Loaded
	hardState    vwraft.HardState
	// segments are in ascending order; the last one is open for writing as activeFile.
	segments   []segment
	snapshots  []string
	activeFile File
	activeSize int64
	// batch holds the records appended since the last sync. batchStart is its offset in activeFile.
	batch         []byte
	batchStart    uint32
	rotatePending bool
	// hasTornTail means that activeFile holds part of a batch after activeSize.
	hasTornTail bool
	failure     error
}

// Open locks and reads a data directory. It stores a new member id in an empty one.
func Open(files FileSystem, segmentBytes int64) (*Store, Loaded, error) {
	lock, err := files.Lock(lockName)
	if err != nil {
		return nil, Loaded{}, trace.Wrap(err)
	}
	s := &Store{files: files, lock: lock, segmentBytes: segmentBytes}
	if err := s.open(); err != nil {
		return nil, Loaded{}, trace.NewAggregate(asFull(err), lock.Close())
	}
	loaded := s.loaded
	s.loaded = Loaded{}
	return s, loaded, nil
}

func (s *Store) open() error {
	names, err := s.files.List()
	if err != nil {
		return trace.Wrap(err)
	}
	s.loaded.Member, err = loadIdentity(s.files, names)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.load(names); err != nil {
		return trace.Wrap(err)
	}
	s.hardState = s.loaded.HardState
	if len(s.segments) == 0 {
		return trace.Wrap(s.createSegment(1))
	}
	newest := s.segments[len(s.segments)-1]
	s.activeFile, err = s.files.Append(segmentName(newest.sequence))
	if err != nil {
		return trace.Wrap(err)
	}
	return s.syncLoaded()
}

// syncLoaded makes the loaded state durable. Writes and file names that a killed process left may exist only in the
// page cache. The member reports the loaded state to its peers, so a power loss must not undo it, and a later write
// must not survive without the earlier ones.
func (s *Store) syncLoaded() error {
	if err := s.activeFile.Sync(); err != nil {
		return failedSync(err)
	}
	return failedSync(s.files.SyncDir())
}

// createSegment creates a segment and makes it the active one. Its name is durable before anything is written to it.
func (s *Store) createSegment(sequence uint64) error {
	file, err := s.files.Create(segmentName(sequence))
	if err != nil {
		return trace.Wrap(err)
	}
	s.activeFile, s.activeSize, s.rotatePending = file, 0, false
	s.segments = append(s.segments, segment{sequence: sequence})
	return trace.Wrap(failedSync(s.files.SyncDir()))
}

// Append adds the hard state, unless it is nil, and entries to the next batch. An entry replaces all
// stored entries from its index on. Nothing is durable before Sync. It returns ErrFull if the batch needs a new segment
// for which the disk has no room.
func (s *Store) Append(hardState *vwraft.HardState, entries []vwraft.Entry) error {
	if err := s.beginBatch(); err != nil {
		return err
	}
	if hardState != nil {
		s.hardState = *hardState
		if err := s.addHardState(); err != nil {
			return s.fail(err)
		}
	}
	for at := range entries {
		payload, err := entries[at].MarshalMsg(nil)
		if err != nil {
			return s.fail(err)
		}
		s.addRecord(recordEntry, payload)
		newest := &s.segments[len(s.segments)-1]
		newest.lastIndex = max(newest.lastIndex, entries[at].Index)
	}
	return nil
}

// beginBatch starts a batch unless one is open, in a new segment if the active one is full or a rotation is pending.
func (s *Store) beginBatch() error {
	if s.failure != nil {
		return s.failure
	}
	if len(s.batch) > 0 {
		return nil
	}
	if s.activeSize > 0 && (s.rotatePending || s.activeSize >= s.segmentBytes) {
		if err := s.rotateSegment(); err != nil {
			return s.fail(err)
		}
	}
	s.batchStart = uint32(s.activeSize)
	if s.activeSize == 0 {
		// Compact removes older segments, so each segment begins with the hard state.
		return s.addHardState()
	}
	return nil
}

// rotateSegment makes a new segment the active one. If there is no room for one, the active segment stays. A torn tail is
// removed first, because only the newest segment may have one.
func (s *Store) rotateSegment() error {
	if s.hasTornTail {
		if err := s.removeTornTail(); err != nil {
			return trace.Wrap(err)
		}
	}
	previous := s.activeFile
	if err := s.createSegment(s.segments[len(s.segments)-1].sequence + 1); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(previous.Close())
}

func (s *Store) addHardState() error {
	payload, err := s.hardState.MarshalMsg(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	s.addRecord(recordHardState, payload)
	return nil
}

func (s *Store) addRecord(kind recordKind, payload []byte) {
	s.batch = appendRecord(s.batch, kind, s.batchStart, payload)
}

// Sync makes all records appended since the last Sync durable, by one write and one sync. If it returns ErrFull it has
// dropped them, and the caller must append them again.
func (s *Store) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	if len(s.batch) == 0 {
		return nil
	}
	if err := s.writeBatch(); err != nil {
		s.batch = s.batch[:0]
		return s.fail(err)
	}
	if err := s.activeFile.Sync(); err != nil {
		return s.fail(failedSync(err))
	}
	s.activeSize += int64(len(s.batch))
	s.batch = s.batch[:0]
	return nil
}

// writeBatch writes the batch at the end of the active segment, after it has removed what an earlier write has left
// there.
func (s *Store) writeBatch() error {
	if s.hasTornTail {
		if err := s.removeTornTail(); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := s.activeFile.Write(s.batch)
	s.hasTornTail = err != nil
	return trace.Wrap(err)
}

// removeTornTail truncates the active segment to the last whole batch, and opens it again to write there.
func (s *Store) removeTornTail() error {
	name := segmentName(s.segments[len(s.segments)-1].sequence)
	if err := s.files.Truncate(name, s.activeSize); err != nil {
		return trace.Wrap(err)
	}
	file, err := s.files.Append(name)
	if err != nil {
		return trace.Wrap(err)
	}
	previous := s.activeFile
	s.activeFile, s.hasTornTail = file, false
	return trace.Wrap(previous.Close())
}

// Install stores a snapshot of the leader that replaces the whole log. The replacement is durable after the next Sync.
// It returns ErrFull if the disk has no room for the snapshot or a new segment.
func (s *Store) Install(snapshot vwraft.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.beginBatch(); err != nil {
		return err
	}
	s.addRecord(recordReset, nil)
	return nil
}

// Compact stores a snapshot of this member's own state and removes the files that it covers. If it returns ErrFull the
// log is as before, perhaps with the snapshot, and the caller may call it again with the same or a later snapshot.
func (s *Store) Compact(snapshot vwraft.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	// The active segment may hold later entries. After a rotation, the next Compact can remove it.
	s.rotatePending = true
	return s.removeCovered(snapshot.Index)
}

func (s *Store) writeSnapshot(snapshot vwraft.Snapshot) error {
	if s.failure != nil {
		return s.failure
	}
	data, err := encodeSnapshot(&snapshot)
	if err != nil {
		return s.fail(err)
	}
	name := snapshotName(snapshot.Index)
	if len(s.snapshots) > 0 && s.snapshots[len(s.snapshots)-1] == name {
		// An earlier call has stored it and found no room afterwards. The state at an index never changes.
		return nil
	}
	if err := writeAtomic(s.files, name, data); err != nil {
		return s.fail(err)
	}
	s.snapshots = append(s.snapshots, name)
	return nil
}

// removeCovered removes the older snapshots and, from the oldest on, the segments whose entries the
// snapshot at index covers.
func (s *Store) removeCovered(index vwraft.Index) error {
	for len(s.snapshots) > 1 {
		if err := s.files.Remove(s.snapshots[0]); err != nil {
			return s.fail(err)
		}
		s.snapshots = s.snapshots[1:]
	}
	// The newest segment is kept, and so are all older ones while the newest holds no durable record.
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index && s.activeSize > 0 {
		if err := s.files.Remove(segmentName(s.segments[0].sequence)); err != nil {
			return s.fail(err)
		}
		s.segments = s.segments[1:]
	}
	if err := s.files.SyncDir(); err != nil {
		return s.fail(failedSync(err))
	}
	return nil
}

// fail returns a refusal for lack of room as ErrFull. It records any other first failure, after which every operation
// but Close returns it as ErrUnusable.
func (s *Store) fail(err error) error {
	err = asFull(err)
	switch {
	case s.failure != nil:
	case IsFull(err):
		return err
	case IsUnusable(err):
		s.failure = err
	default:
		s.failure = ErrUnusable{Cause: err}
	}
	return s.failure
}

// Close releases the data directory. Records that were not synced are dropped.
func (s *Store) Close() error {
	return trace.NewAggregate(s.activeFile.Close(), s.lock.Close())
}
