package vwstore

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const temporarySuffix = ".tmp"

// Loaded is what a data directory held when it was opened.
type Loaded struct {
	Member    vwid.Member
	HardState vwraft.HardState
	Snapshot  vwraft.Snapshot
	Entries   []vwraft.Entry
	// Truncated is the number of bytes of a torn tail that were dropped.
	Truncated int64
}

// Empty reports whether the member has never held any part of a log.
func (l *Loaded) Empty() bool {
	return l.Snapshot.Index == 0 && len(l.Entries) == 0
}

// kindOf returns "segment" or "snapshot" for the files of the log.
func kindOf(name string) string {
	kind, number, ok := strings.Cut(name, "-")
	if !ok || len(number) != 16 || (kind != "segment" && kind != "snapshot") {
		return ""
	}
	return kind
}

// load reads the files of the log into s and s.loaded.
func (s *Store) load(names []string) error {
	snapshot := ""
	var segments []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := s.files.Remove(name); err != nil {
				return trace.Wrap(err)
			}
		case kindOf(name) == "snapshot":
			// Names ascend with the index, so the last one is the newest.
			snapshot = name
			s.snapshots = append(s.snapshots, name)
		case kindOf(name) == "segment":
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
	return trace.Wrap(s.connect())
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

func (s *Store) loadSegment(name string, newest bool) error {
	data, err := s.files.Read(name)
	if err != nil {
		return trace.Wrap(err)
	}
	found, err := scan(name, data, newest)
	if err != nil {
		return err
	}
	if torn := int64(len(data)) - found.whole; torn > 0 {
		s.loaded.Truncated = torn
		if err := s.files.Truncate(name, found.whole); err != nil {
			return trace.Wrap(err)
		}
	}
	var one segment
	if _, err := fmt.Sscanf(name, "segment-%016x", &one.sequence); err != nil {
		return trace.BadParameter("segment %s has no number", name)
	}
	for at, record := range found.records {
		if err := s.replay(record); err != nil {
			return ErrCorrupt{File: name, Offset: found.offsets[at], Reason: err.Error()}
		}
		if record.Entry != nil {
			one.last = max(one.last, record.Entry.Index)
		}
	}
	s.segments = append(s.segments, one)
	s.size = found.whole
	return nil
}

// replay adds one record to what was loaded.
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
			// A removed segment may come back when its removal was not synced.
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

// connect drops the entries that the snapshot covers, and all entries when they do not continue it.
func (s *Store) connect() error {
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
		// The process stopped after it stored a snapshot of the leader and before it dropped its own entries.
		l.Entries = nil
		return nil
	}
	l.Entries = l.Entries[at+1:]
	return nil
}
