package vwstore

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const temporarySuffix = ".tmp"

// Loaded is the state read from a data directory when it was opened.
type Loaded struct {
	Member    vwid.Member
	HardState vwraft.HardState
	Snapshot  vwraft.Snapshot
	Entries   []vwraft.Entry
	// Truncated is the number of bytes cut from a torn tail of the newest segment.
	Truncated int64
	// Leftovers counts the temporary files and torn tails that could not be removed because the disk is full.
	Leftovers int
}

// Empty reports whether neither a snapshot nor an entry was loaded.
func (l *Loaded) Empty() bool {
	return l.Snapshot.Index == 0 && len(l.Entries) == 0
}

// logFileKind returns "segment" or "snapshot" for a file of the log, and "" for any other file.
func logFileKind(name string) string {
	kind, number, ok := strings.Cut(name, "-")
	if !ok || len(number) != 16 || (kind != "segment" && kind != "snapshot") {
		return ""
	}
	return kind
}

// load reads the files of the log into s and s.loaded, and removes temporary files.
func (s *Store) load(names []string) error {
	snapshot := ""
	var segments []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := s.leaveIfFull(removeExisting(s.files, name)); err != nil {
				return trace.Wrap(err)
			}
		case logFileKind(name) == "snapshot":
			// Names ascend with the index, so the last one is the newest.
			snapshot = name
			s.snapshots = append(s.snapshots, name)
		case logFileKind(name) == "segment":
			segments = append(segments, name)
		}
	}
	if err := s.loadSnapshot(snapshot); err != nil {
		return trace.Wrap(err)
	}
	for at, name := range segments {
		if err := s.loadSegment(name, at == len(segments)-1); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(s.trimToSnapshot())
}

func (s *Store) loadSnapshot(name string) error {
	if name == "" {
		return nil
	}
	data, err := s.files.Read(name)
	if err != nil {
		return trace.Wrap(err)
	}
	s.loaded.Snapshot, err = decodeSnapshot(name, data)
	return err
}

func (s *Store) loadSegment(name string, isNewest bool) error {
	data, err := s.files.Read(name)
	if err != nil {
		return trace.Wrap(err)
	}
	result, err := scanSegment(name, data, isNewest)
	if err != nil {
		return err
	}
	if torn := int64(len(data)) - result.validSize; torn > 0 {
		s.loaded.Truncated = torn
		leftovers := s.loaded.Leftovers
		if err := s.leaveIfFull(s.files.Truncate(name, result.validSize)); err != nil {
			return trace.Wrap(err)
		}
		s.hasTornTail = s.loaded.Leftovers > leftovers
	}
	var seg segment
	if _, err := fmt.Sscanf(name, "segment-%016x", &seg.sequence); err != nil {
		return trace.BadParameter("segment %s has no number", name)
	}
	for at, record := range result.records {
		if err := s.replay(record); err != nil {
			return ErrCorrupt{File: name, Offset: result.offsets[at], Reason: err.Error()}
		}
		if record.Entry != nil {
			seg.lastIndex = max(seg.lastIndex, record.Entry.Index)
		}
	}
	s.segments = append(s.segments, seg)
	s.activeSize = result.validSize
	return nil
}

// leaveIfFull counts a leftover if err is a refusal for lack of room, and returns any other error. A torn tail is
// removed before the next write, and a temporary file is replaced by the next one or removed at the next start.
func (s *Store) leaveIfFull(err error) error {
	if !IsFull(asFull(err)) {
		return err
	}
	s.loaded.Leftovers++
	return nil
}

// replay applies one record to s.loaded.
func (s *Store) replay(record Record) error {
	l := &s.loaded
	switch {
	case record.HardState != nil:
		l.HardState = *record.HardState
	case record.Reset:
		l.Entries = nil
	case record.Entry != nil && len(l.Entries) > 0:
		first, last := l.Entries[0].Index, l.Entries[len(l.Entries)-1].Index
		index := record.Entry.Index
		switch {
		case index <= first:
			l.Entries = nil
		case index <= last+1:
			l.Entries = l.Entries[:index-first]
		case last <= l.Snapshot.Index && index <= l.Snapshot.Index+1:
			// A removed segment may be present again after a crash if its removal was not synced. The snapshot covers it.
			l.Entries = nil
		default:
			return trace.BadParameter("entry %d follows entry %d", index, last)
		}
	}
	if record.Entry != nil {
		l.Entries = append(l.Entries, *record.Entry)
	}
	return nil
}

// trimToSnapshot drops the entries that the snapshot covers, or all entries if they conflict with the snapshot. It
// returns ErrCorrupt if entries between the snapshot and the first entry are missing.
func (s *Store) trimToSnapshot() error {
	l := &s.loaded
	if len(l.Entries) == 0 {
		return nil
	}
	first := l.Entries[0].Index
	if first > l.Snapshot.Index+1 {
		return ErrCorrupt{
			File:   segmentName(s.segments[0].sequence),
			Reason: fmt.Sprintf("the first entry is %d but the snapshot ends with entry %d", first, l.Snapshot.Index),
		}
	}
	if first == l.Snapshot.Index+1 {
		return nil
	}
	at := l.Snapshot.Index - first
	if int(at) >= len(l.Entries) || l.Entries[at].Term != l.Snapshot.Term {
		// The process stopped after Install stored the snapshot of the leader and before the reset record was synced.
		l.Entries = nil
		return nil
	}
	l.Entries = l.Entries[at+1:]
	return nil
}
