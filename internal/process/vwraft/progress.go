package vwraft

// Progress is the replication state of another member as seen by the leader.
type Progress struct {
	// match is the last entry that the member has acknowledged as synced, next the first one to send.
	match, next Index
	// probing means that the last matching entry is not yet found; one append is sent at a time.
	probing bool
	// awaitingReply means that a probe or snapshot chunk is unanswered; the next heartbeat sends it again.
	awaitingReply bool
	// inflight holds the last index of each unacknowledged append.
	inflight []Index
	// snapshot is not nil while it is being sent; snapshotOffset is the first byte that the member lacks.
	snapshot       *Snapshot
	snapshotOffset int64
	// lastContactTick is the leader's tick at the last reply of the member, or when this leader began to track it.
	lastContactTick uint64
	// ackedRound is the newest quorum round that the member has answered.
	ackedRound uint64
}

func makeProgress(last Index, tick uint64) *Progress {
	return &Progress{next: last + 1, probing: true, lastContactTick: tick}
}

// acknowledge records that the member has synced the entries up to match.
func (p *Progress) acknowledge(match Index) {
	if match >= p.match {
		p.match = match
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.snapshot != nil {
		if p.match < p.snapshot.Index {
			return
		}
		p.snapshot = nil
	}
	if p.probing {
		p.next = p.match + 1
	}
	p.probing, p.awaitingReply = false, false
}

// restartProbe discards the unacknowledged appends and searches for the last matching entry from candidate down.
func (p *Progress) restartProbe(candidate Index) {
	p.probing, p.awaitingReply = true, false
	p.inflight = nil
	p.next = max(p.match, candidate) + 1
}

// recordSent records an append that ends with last.
func (p *Progress) recordSent(last Index) {
	if p.probing {
		p.awaitingReply = true
		return
	}
	p.inflight = append(p.inflight, last)
	p.next = last + 1
}
