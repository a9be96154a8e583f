package vwraft

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// indexedMembership is a membership with the index of the entry or snapshot that set it.
type indexedMembership struct {
	index      Index
	membership Membership
}

// Log holds the newest snapshot, the entries after a base index, and how far they are synced and committed.
type Log struct {
	// baseIndex and baseTerm are those of the entry before entries[0].
	baseIndex Index
	baseTerm  Term
	entries   []Entry
	snapshot  Snapshot
	// memberships is ordered by index. The last one is in force, committed or not.
	memberships []indexedMembership
	// submittedIndex is the last entry that Ready returned for storage, syncedIndex the last one on disk, and
	// deliveredIndex the last one that Ready returned as committed. A snapshot received from the leader counts as
	// synced at once, because the messages that acknowledge it are held until its sync.
	submittedIndex, syncedIndex, commitIndex, deliveredIndex Index
}

// restoreLog builds the log from stored state. Entries that the snapshot covers are dropped; a gap is an error.
func restoreLog(snapshot Snapshot, entries []Entry) (*Log, error) {
	l := &Log{}
	l.resetToSnapshot(snapshot)
	for _, entry := range entries {
		if entry.Index <= l.lastIndex() {
			continue
		}
		if entry.Index != l.lastIndex()+1 {
			return nil, trace.BadParameter("the log has no entry %d; the next one is %d", l.lastIndex()+1, entry.Index)
		}
		if err := l.appendEntry(entry); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	l.submittedIndex, l.syncedIndex = l.lastIndex(), l.lastIndex()
	return l, nil
}

// resetToSnapshot replaces the whole log with a snapshot.
func (l *Log) resetToSnapshot(snapshot Snapshot) {
	l.baseIndex, l.baseTerm, l.entries = snapshot.Index, snapshot.Term, nil
	l.snapshot = snapshot
	l.memberships = []indexedMembership{{index: snapshot.Index, membership: snapshot.Membership}}
	l.submittedIndex, l.syncedIndex, l.commitIndex, l.deliveredIndex = snapshot.Index, snapshot.Index, snapshot.Index, snapshot.Index
}

func (l *Log) lastIndex() Index {
	return l.baseIndex + Index(len(l.entries))
}

func (l *Log) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, and false when the log does not hold that entry.
func (l *Log) term(index Index) (Term, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *Log) matches(index Index, term Term) bool {
	actual, ok := l.term(index)
	return ok && actual == term
}

// upToDate reports whether a log that ends with (index, term) is at least as up to date as this log.
func (l *Log) upToDate(index Index, term Term) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// membership returns the membership in force and the index of the entry or snapshot that set it.
func (l *Log) membership() (Membership, Index) {
	latest := l.memberships[len(l.memberships)-1]
	return latest.membership, latest.index
}

func (l *Log) membershipAt(index Index) Membership {
	for _, entry := range slices.Backward(l.memberships) {
		if entry.index <= index {
			return entry.membership
		}
	}
	return l.memberships[0].membership
}

func (l *Log) appendEntry(entry Entry) error {
	if entry.Kind == EntryMembership {
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return trace.Wrap(err)
		}
		l.memberships = append(l.memberships, indexedMembership{index: entry.Index, membership: membership})
	}
	l.entries = append(l.entries, entry)
	return nil
}

// merge appends entries that follow a matching entry, and drops the existing entries that conflict with them.
func (l *Log) merge(entries []Entry) error {
	for at, entry := range entries {
		if entry.Index <= l.commitIndex || l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.lastIndex() {
			l.truncate(entry.Index - 1)
		}
		for _, added := range entries[at:] {
			if err := l.appendEntry(added); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
	return nil
}

// truncate drops the entries after lastIndex.
func (l *Log) truncate(lastIndex Index) {
	if lastIndex < l.commitIndex {
		panic(fmt.Sprintf("vwraft: committed entry %d would be dropped", lastIndex+1))
	}
	// Clip makes the next append copy the array, so that slices of it in messages are not overwritten.
	l.entries = slices.Clip(l.entries[:lastIndex-l.baseIndex])
	l.memberships = slices.DeleteFunc(l.memberships, func(m indexedMembership) bool { return m.index > lastIndex })
	l.submittedIndex, l.syncedIndex = min(l.submittedIndex, lastIndex), min(l.syncedIndex, lastIndex)
}

// entriesAfter returns the entries after index and up to limit, at most maxEntries of them with maxBytes of data. If
// there are any it returns at least one, whatever its size.
func (l *Log) entriesAfter(index, limit Index, maxEntries, maxBytes int) []Entry {
	if index < l.baseIndex || index >= limit {
		return nil
	}
	found := l.entries[index-l.baseIndex : limit-l.baseIndex]
	size := 0
	for at := range found {
		size += len(found[at].Data)
		if at > 0 && (at == maxEntries || size > maxBytes) {
			return found[:at:at]
		}
	}
	return found[:len(found):len(found)]
}

// lastPossibleMatch returns the last entry at or before index whose term is at most term, or the base if there is
// none.
func (l *Log) lastPossibleMatch(index Index, term Term) (Index, Term) {
	for index = min(index, l.lastIndex()); index > l.baseIndex; index-- {
		if found, ok := l.term(index); ok && found <= term {
			return index, found
		}
	}
	return l.baseIndex, l.baseTerm
}

// compact records a snapshot of the state after index and drops the entries up to it, apart from the trailing ones.
func (l *Log) compact(index Index, data []byte, trailing Index, trailingBytes int) (Snapshot, error) {
	term, ok := l.term(index)
	if !ok || index > l.deliveredIndex || index <= l.snapshot.Index {
		return Snapshot{}, trace.BadParameter("no snapshot can be taken at entry %d", index)
	}
	l.snapshot = Snapshot{Index: index, Term: term, Membership: l.membershipAt(index), Data: data}
	if base := l.retainedBase(index, trailing, trailingBytes); base > l.baseIndex {
		l.discardThrough(base)
	}
	return l.snapshot, nil
}

// retainedBase returns the lowest base that retains at most maxEntries entries and maxBytes bytes up to and including
// index.
func (l *Log) retainedBase(index, maxEntries Index, maxBytes int) Index {
	size := 0
	for base := index; base > l.baseIndex; base-- {
		size += len(l.entries[base-l.baseIndex-1].Data)
		if index-base >= maxEntries || size > maxBytes {
			return base
		}
	}
	return l.baseIndex
}

func (l *Log) discardThrough(base Index) {
	membership := l.membershipAt(base)
	term, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, term
	l.memberships = slices.DeleteFunc(l.memberships, func(m indexedMembership) bool { return m.index <= base })
	l.memberships = slices.Insert(l.memberships, 0, indexedMembership{index: base, membership: membership})
}

func (l *Log) uncommittedBytes() int {
	size := 0
	for _, entry := range l.entries[l.commitIndex-l.baseIndex:] {
		size += len(entry.Data)
	}
	return size
}
