package vwraft

// Ready is what the caller must carry out.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// HardState is nil when it has not changed.
	HardState *HardState
	// Snapshot replaces the whole log and, once it is synced, the state. It is to be stored before Entries.
	Snapshot *Snapshot
	// Entries are to be stored. They replace entries from the first index on.
	Entries []Entry
	// AfterSync may be sent only when HardState, Snapshot and Entries are synced.
	AfterSync []Message
	// Committed are the next entries to apply. They are synced here, and follow an installed snapshot.
	Committed []Entry
	// Reads may be answered once the entries up to their index are applied.
	Reads []ReadState
}

// ReadState permits the answer to the read with that id.
type ReadState struct {
	ID    uint64
	Index Index
}

// storing is what was handed out for a sync that has not ended.
type storing struct {
	hard HardState
	last Index
}

// MustSync reports whether something has to be stored and synced. Advance must follow when that is done.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

func (r *Ready) empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns what is to be done, and false when there is nothing. While a sync has not ended, it
// hands out nothing more to store and no message that waits for a sync; all other calls are permitted.
func (n *Node) Ready() (Ready, bool) {
	if n.role == RoleLeader {
		n.beginReads()
		n.replicate()
	}
	ready := Ready{
		Messages:  n.messages,
		Reads:     n.reads,
		Committed: n.log.slice(n.log.delivered, min(n.log.commit, n.log.synced), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes),
	}
	n.messages, n.reads = nil, nil
	n.log.delivered += Index(len(ready.Committed))
	if n.storing == nil {
		n.store(&ready)
	}
	return ready, !ready.empty()
}

// store adds what is to be stored, and the messages that wait for it.
func (n *Node) store(ready *Ready) {
	ready.Snapshot, n.installed = n.installed, nil
	ready.Entries = n.log.slice(n.log.saved, n.log.last(), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes)
	n.log.saved += Index(len(ready.Entries))
	if hard := (HardState{Term: n.term, Vote: n.vote}); hard != n.savedHard {
		ready.HardState, n.savedHard = &hard, hard
	}
	if n.log.saved == n.log.last() {
		// Replies may acknowledge every entry, so they wait for the batch that holds the last one.
		ready.AfterSync, n.afterSync = n.afterSync, nil
	}
	if ready.MustSync() {
		n.storing = &storing{hard: n.savedHard, last: n.log.saved}
	}
}

// Advance tells that what the last Ready with MustSync handed out is synced.
func (n *Node) Advance() {
	done := n.storing
	if done == nil {
		return
	}
	n.storing = nil
	// Where the log was cut in the meantime, saved was lowered, and the next sync covers what replaced it.
	n.log.synced = max(n.log.synced, min(done.last, n.log.saved))
	if n.role == RoleLeader {
		n.advanceCommit()
	}
	own := HardState{Term: n.term, Vote: n.settings.Self}
	if n.role == RoleCandidate && done.hard == own && !n.votes[n.settings.Self].known {
		n.countVote(n.settings.Self, true)
	}
}
