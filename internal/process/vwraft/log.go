package vwraft

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// placedMembership is a membership together with the entry that brought it.
type placedMembership struct {
	index      Index
	membership Membership
}

// Log holds the entries after a base, the newest snapshot, and how far each has come.
type Log struct {
	// baseIndex and baseTerm name the entry before entries[0].
	baseIndex Index
	baseTerm  Term
	entries   []Entry
	snapshot  Snapshot
	// memberships are ordered by index. The last one is in force, committed or not.
	memberships []placedMembership
	// saved has been handed out for syncing, synced is on disk, delivered was handed out as committed.
	// A snapshot of the leader counts as synced at once, since only messages that wait for its sync speak of it.
	saved, synced, commit, delivered Index
}

// makeLog returns the log after a restart. Entries that the snapshot covers are dropped.
func makeLog(snapshot Snapshot, entries []Entry) (*Log, error) {
	l := &Log{}
	l.reset(snapshot)
	for _, entry := range entries {
		if entry.Index <= l.last() {
			continue
		}
		if entry.Index != l.last()+1 {
			return nil, trace.BadParameter("the log has no entry %d; the next one is %d", l.last()+1, entry.Index)
		}
		if err := l.push(entry); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	l.saved, l.synced = l.last(), l.last()
	return l, nil
}

// reset replaces the whole log by a snapshot.
func (l *Log) reset(snapshot Snapshot) {
	l.baseIndex, l.baseTerm, l.entries = snapshot.Index, snapshot.Term, nil
	l.snapshot = snapshot
	l.memberships = []placedMembership{{index: snapshot.Index, membership: snapshot.Membership}}
	l.saved, l.synced, l.commit, l.delivered = snapshot.Index, snapshot.Index, snapshot.Index, snapshot.Index
}

func (l *Log) last() Index {
	return l.baseIndex + Index(len(l.entries))
}

func (l *Log) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false when the log does not hold that entry.
func (l *Log) term(index Index) (Term, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *Log) matches(index Index, term Term) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// upToDate reports whether a log that ends with (index, term) holds at least what this log holds.
func (l *Log) upToDate(index Index, term Term) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// membership returns the membership in force and the entry that brought it.
func (l *Log) membership() (Membership, Index) {
	placed := l.memberships[len(l.memberships)-1]
	return placed.membership, placed.index
}

func (l *Log) membershipAt(index Index) Membership {
	for _, placed := range slices.Backward(l.memberships) {
		if placed.index <= index {
			return placed.membership
		}
	}
	return l.memberships[0].membership
}

func (l *Log) push(entry Entry) error {
	if entry.Kind == EntryMembership {
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return trace.Wrap(err)
		}
		l.memberships = append(l.memberships, placedMembership{index: entry.Index, membership: membership})
	}
	l.entries = append(l.entries, entry)
	return nil
}

// merge appends entries that follow a matching entry, and drops what conflicts with them.
func (l *Log) merge(entries []Entry) error {
	for at, entry := range entries {
		if entry.Index <= l.commit || l.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= l.last() {
			l.truncate(entry.Index - 1)
		}
		for _, added := range entries[at:] {
			if err := l.push(added); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
	return nil
}

// truncate drops the entries after last.
func (l *Log) truncate(last Index) {
	if last < l.commit {
		panic(fmt.Sprintf("vwraft: committed entry %d would be dropped", last+1))
	}
	// The handed-out tail of the array is copied by the next append, so that slices in messages stay intact.
	l.entries = slices.Clip(l.entries[:last-l.baseIndex])
	l.memberships = slices.DeleteFunc(l.memberships, func(p placedMembership) bool { return p.index > last })
	l.saved, l.synced = min(l.saved, last), min(l.synced, last)
}

// slice returns the entries after index, bounded in number and bytes but at least one.
func (l *Log) slice(index, limit Index, maxEntries, maxBytes int) []Entry {
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

// conflict returns the last entry at or before index whose term is at most term.
func (l *Log) conflict(index Index, term Term) (Index, Term) {
	for index = min(index, l.last()); index > l.baseIndex; index-- {
		if found, ok := l.term(index); ok && found <= term {
			return index, found
		}
	}
	return l.baseIndex, l.baseTerm
}

// compact stores a snapshot of the state after index and drops the entries before it but for trailing ones.
func (l *Log) compact(index Index, data []byte, trailing Index, trailingBytes int) (Snapshot, error) {
	term, ok := l.term(index)
	if !ok || index > l.delivered || index <= l.snapshot.Index {
		return Snapshot{}, trace.BadParameter("no snapshot can be taken at entry %d", index)
	}
	l.snapshot = Snapshot{Index: index, Term: term, Membership: l.membershipAt(index), Data: data}
	if base := l.trailingBase(index, trailing, trailingBytes); base > l.baseIndex {
		l.dropBefore(base)
	}
	return l.snapshot, nil
}

// trailingBase returns the index after which at most that many entries and bytes come before the one after index.
func (l *Log) trailingBase(index, entries Index, bytes int) Index {
	size := 0
	for base := index; base > l.baseIndex; base-- {
		size += len(l.entries[base-l.baseIndex-1].Data)
		if index-base >= entries || size > bytes {
			return base
		}
	}
	return l.baseIndex
}

func (l *Log) dropBefore(base Index) {
	membership := l.membershipAt(base)
	term, _ := l.term(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex, l.baseTerm = base, term
	l.memberships = slices.DeleteFunc(l.memberships, func(p placedMembership) bool { return p.index <= base })
	l.memberships = slices.Insert(l.memberships, 0, placedMembership{index: base, membership: membership})
}

func (l *Log) uncommittedBytes() int {
	size := 0
	for _, entry := range l.entries[l.commit-l.baseIndex:] {
		size += len(entry.Data)
	}
	return size
}
