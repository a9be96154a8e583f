package vwraft

// Ready lists what the caller must send, store, apply and answer.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// HardState is nil when it has not changed.
	HardState *HardState
	// Snapshot is nil or replaces the whole log and, once it is synced, the state. It must be stored before Entries.
	Snapshot *Snapshot
	// Entries must be stored. They replace all stored entries from the first index on.
	Entries []Entry
	// AfterSync may be sent only when HardState, Snapshot and Entries are synced.
	AfterSync []Message
	// Committed holds the next entries to apply. They are synced on this member, and follow an installed snapshot.
	Committed []Entry
	// Reads holds the reads that may be answered once the entries up to their index are applied.
	Reads []ReadState
}

// ReadState permits the answer to the read ID once the entries up to Index are applied.
type ReadState struct {
	ID    uint64
	Index Index
}

// pendingSync holds the hard state and the last entry that a sync in progress covers.
type pendingSync struct {
	hard HardState
	last Index
}

// MustSync reports whether r holds something to store and sync. The caller must call Advance when that is done.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

func (r *Ready) empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns the next work for the caller, and false when there is none. While a sync is in progress it returns
// nothing to store and no message that waits for a sync; all other methods may be called meanwhile.
func (n *Node) Ready() (Ready, bool) {
	if n.role == RoleLeader {
		n.startReads()
		n.replicate()
	}
	ready := Ready{
		Messages:  n.messages,
		Reads:     n.permittedReads,
		Committed: n.log.entriesAfter(n.log.deliveredIndex, min(n.log.commitIndex, n.log.syncedIndex), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes),
	}
	n.messages, n.permittedReads = nil, nil
	n.log.deliveredIndex += Index(len(ready.Committed))
	if n.pendingSync == nil {
		n.addUnsynced(&ready)
	}
	return ready, !ready.empty()
}

// addUnsynced adds the unsynced state to ready, and the messages that wait for its sync.
func (n *Node) addUnsynced(ready *Ready) {
	ready.Snapshot, n.installedSnapshot = n.installedSnapshot, nil
	ready.Entries = n.log.entriesAfter(n.log.submittedIndex, n.log.lastIndex(), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes)
	n.log.submittedIndex += Index(len(ready.Entries))
	if hard := (HardState{Term: n.term, Vote: n.vote}); hard != n.submittedHardState {
		ready.HardState, n.submittedHardState = &hard, hard
	}
	if n.log.submittedIndex == n.log.lastIndex() {
		// A reply may acknowledge any entry, so all replies wait for the batch that holds the last one.
		ready.AfterSync, n.messagesAfterSync = n.messagesAfterSync, nil
	}
	if ready.MustSync() {
		n.pendingSync = &pendingSync{hard: n.submittedHardState, last: n.log.submittedIndex}
	}
}

// Advance reports that the contents of the last Ready with MustSync are synced.
func (n *Node) Advance() {
	sync := n.pendingSync
	if sync == nil {
		return
	}
	n.pendingSync = nil
	// If the log was truncated during the sync, submittedIndex was lowered, and the next sync covers the new entries.
	n.log.syncedIndex = max(n.log.syncedIndex, min(sync.last, n.log.submittedIndex))
	if n.role == RoleLeader {
		n.advanceCommit()
	}
	ownVote := HardState{Term: n.term, Vote: n.settings.Self}
	if n.role == RoleCandidate && sync.hard == ownVote && !n.votes[n.settings.Self].received {
		n.countVote(n.settings.Self, true)
	}
}
