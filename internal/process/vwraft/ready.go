package vwraft

// Ready is what the caller must carry out, in the order of the fields, before it calls Advance.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// HardState is nil when it has not changed.
	HardState *HardState
	// Snapshot replaces the whole log and the state. It is to be stored before Entries.
	Snapshot *Snapshot
	// Entries are to be stored. They replace entries from the first index on.
	Entries []Entry
	// AfterSync may be sent only when HardState, Snapshot and Entries are synced.
	AfterSync []Message
	// Committed are the next entries to apply, after Snapshot.
	Committed []Entry
	// Reads may be answered once the entries up to their index are applied.
	Reads []ReadState
}

// ReadState permits the answer to the read with that id.
type ReadState struct {
	ID    uint64
	Index Index
}

// MustSync reports whether something has to be stored and synced.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

func (r *Ready) empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.AfterSync) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Ready returns what is to be done, and false when there is nothing. Only Advance may follow a true result.
func (n *Node) Ready() (Ready, bool) {
	if n.role == RoleLeader {
		n.beginReads()
		n.replicate()
	}
	ready := Ready{
		Messages:  n.messages,
		AfterSync: n.afterSync,
		Snapshot:  n.installed,
		Entries:   n.log.slice(n.log.saved, n.log.last(), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes),
		Reads:     n.reads,
	}
	if hard := (HardState{Term: n.term, Vote: n.vote}); hard != n.savedHard {
		ready.HardState = &hard
	}
	if saved := n.log.saved + Index(len(ready.Entries)); saved < n.log.last() {
		// Replies may acknowledge entries beyond this batch; they wait for the batch that holds the last one.
		ready.AfterSync = nil
	}
	limit := min(n.log.commit, n.log.saved+Index(len(ready.Entries)))
	ready.Committed = n.log.slice(n.log.delivered, limit, n.settings.MaxBatchEntries, n.settings.MaxBatchBytes)
	if ready.empty() {
		return Ready{}, false
	}
	n.take(&ready)
	return ready, true
}

func (n *Node) take(ready *Ready) {
	n.messages, n.installed, n.reads = nil, nil, nil
	if ready.AfterSync != nil {
		n.afterSync = nil
	}
	n.log.saved += Index(len(ready.Entries))
	n.log.delivered += Index(len(ready.Committed))
	n.savedHard = HardState{Term: n.term, Vote: n.vote}
}

// Advance tells that everything in the last Ready was carried out and synced.
func (n *Node) Advance() {
	n.log.synced = n.log.saved
	if n.role == RoleLeader {
		n.advanceCommit()
	}
	if (n.role == RoleCandidate || n.role == RolePreCandidate) && !n.votes[n.settings.Self].known {
		n.countVote(n.settings.Self, true)
	}
}
