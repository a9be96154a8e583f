// Package vwstore keeps the log of a control member in one data directory: segments of records with
// checksums, snapshots, and the id of the member.
package vwstore

import (
	"io"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
)

// DefaultSegmentBytes is the size from which on a new segment is started. It bounds what must be
// read at a restart beyond the newest snapshot.
const DefaultSegmentBytes = 8 << 20

const lockName = "lock"

// Store is an open data directory. It is not safe for concurrent use: one goroutine owns it.
type Store struct {
	files        FileSystem
	lock         io.Closer
	segmentBytes int64
	loaded       Loaded
	hard         vwraft.HardState
	// segments are ordered; the last one is written to.
	segments  []segment
	snapshots []string
	file      File
	size      int64
	// batch holds the records since the last sync. batchStart is where it begins in the file.
	batch      []byte
	batchStart uint32
	rotate     bool
	failure    error
}

// Open locks and reads a data directory. An empty one gets a new member id.
func Open(files FileSystem, segmentBytes int64) (*Store, Loaded, error) {
	lock, err := files.Lock(lockName)
	if err != nil {
		return nil, Loaded{}, trace.Wrap(err)
	}
	s := &Store{files: files, lock: lock, segmentBytes: segmentBytes}
	if err := s.open(); err != nil {
		return nil, Loaded{}, trace.NewAggregate(err, lock.Close())
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
	s.hard = s.loaded.HardState
	if len(s.segments) == 0 {
		return trace.Wrap(s.create(1))
	}
	newest := s.segments[len(s.segments)-1]
	s.file, err = s.files.Append(segmentName(newest.sequence))
	if err != nil {
		return trace.Wrap(err)
	}
	return s.syncLoaded()
}

// syncLoaded makes durable what was loaded. A process that was killed may have left writes and names that only the
// operating system holds. The member tells others what it has loaded, and a later write must not outlast them.
func (s *Store) syncLoaded() error {
	if err := s.file.Sync(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.files.SyncDir())
}

// create starts a new segment. Its name is durable before anything is written to it.
func (s *Store) create(sequence uint64) error {
	file, err := s.files.Create(segmentName(sequence))
	if err != nil {
		return trace.Wrap(err)
	}
	s.file, s.size, s.rotate = file, 0, false
	s.segments = append(s.segments, segment{sequence: sequence})
	return trace.Wrap(s.files.SyncDir())
}

// Append adds the hard state, unless it is nil, and entries to the next batch. An entry replaces all
// stored ones from its index on. Nothing is durable before Sync.
func (s *Store) Append(hard *vwraft.HardState, entries []vwraft.Entry) error {
	if err := s.begin(); err != nil {
		return err
	}
	if hard != nil {
		s.hard = *hard
		if err := s.addHardState(); err != nil {
			return s.fail(err)
		}
	}
	for at := range entries {
		payload, err := entries[at].MarshalMsg(nil)
		if err != nil {
			return s.fail(err)
		}
		s.add(recordEntry, payload)
		newest := &s.segments[len(s.segments)-1]
		newest.last = max(newest.last, entries[at].Index)
	}
	return nil
}

// begin prepares for another record, in a new segment when the newest one is full.
func (s *Store) begin() error {
	if s.failure != nil {
		return s.failure
	}
	if len(s.batch) > 0 {
		return nil
	}
	if s.size > 0 && (s.rotate || s.size >= s.segmentBytes) {
		if err := s.startSegment(); err != nil {
			return s.fail(err)
		}
	}
	s.batchStart = uint32(s.size)
	if s.size == 0 {
		// Older segments will be removed, so each one begins with the hard state.
		return s.addHardState()
	}
	return nil
}

func (s *Store) startSegment() error {
	if err := s.file.Close(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.create(s.segments[len(s.segments)-1].sequence + 1))
}

func (s *Store) addHardState() error {
	payload, err := s.hard.MarshalMsg(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	s.add(recordHardState, payload)
	return nil
}

func (s *Store) add(kind recordKind, payload []byte) {
	s.batch = appendRecord(s.batch, kind, s.batchStart, payload)
}

// Sync makes everything that was appended since the last Sync durable, by one write and one sync.
func (s *Store) Sync() error {
	if s.failure != nil {
		return s.failure
	}
	if len(s.batch) == 0 {
		return nil
	}
	if _, err := s.file.Write(s.batch); err != nil {
		return s.fail(err)
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err)
	}
	s.size += int64(len(s.batch))
	s.batch = s.batch[:0]
	return nil
}

// Install stores a snapshot that replaces the whole log. It is durable after the next Sync.
func (s *Store) Install(snapshot vwraft.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.begin(); err != nil {
		return err
	}
	s.add(recordReset, nil)
	return nil
}

// Compact stores a snapshot of this member's own state and removes the files that it covers.
func (s *Store) Compact(snapshot vwraft.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	// The newest segment may hold later entries; a new one lets it go with the next snapshot.
	s.rotate = true
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
	if err := writeAtomic(s.files, name, data); err != nil {
		return s.fail(err)
	}
	s.snapshots = append(s.snapshots, name)
	return nil
}

// removeCovered removes the older snapshots and the segments, from the oldest on, whose entries the
// snapshot at index covers.
func (s *Store) removeCovered(index vwraft.Index) error {
	for len(s.snapshots) > 1 {
		if err := s.files.Remove(s.snapshots[0]); err != nil {
			return s.fail(err)
		}
		s.snapshots = s.snapshots[1:]
	}
	// The newest segment stays, and the one before it as long as the newest holds nothing durable.
	for len(s.segments) > 1 && s.segments[0].last <= index && s.size > 0 {
		if err := s.files.Remove(segmentName(s.segments[0].sequence)); err != nil {
			return s.fail(err)
		}
		s.segments = s.segments[1:]
	}
	if err := s.files.SyncDir(); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) fail(err error) error {
	if s.failure == nil {
		s.failure = ErrUnusable{Cause: err}
	}
	return s.failure
}

// Close releases the data directory. Records that were not synced are dropped.
func (s *Store) Close() error {
	return trace.NewAggregate(s.file.Close(), s.lock.Close())
}
