package vwraft

// Progress is what the leader knows about another member.
type Progress struct {
	// match is the last entry that the member is known to have synced, next the first one to send.
	match, next Index
	// probing means that the member's matching entry is searched for; one append is sent at a time.
	probing bool
	// waiting means that the probe or snapshot chunk is unanswered; the next heartbeat sends it again.
	waiting bool
	// inflight holds the last index of each unacknowledged append.
	inflight []Index
	// snapshot is being sent when not nil; offset is the first byte that the member lacks.
	snapshot *Snapshot
	offset   int64
	// heardTick is the leader's tick at the last message from the member.
	heardTick uint64
	// round is the newest quorum round that the member has answered.
	round uint64
}

func makeProgress(last Index, tick uint64) *Progress {
	return &Progress{next: last + 1, probing: true, heardTick: tick}
}

// accept records that the member has synced the entries up to match.
func (p *Progress) accept(match Index) {
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
	p.probing, p.waiting = false, false
}

// reject goes back to searching for the matching entry, which is at or before candidate.
func (p *Progress) reject(candidate Index) {
	p.probing, p.waiting = true, false
	p.inflight = nil
	p.next = max(p.match, candidate) + 1
}

// sent records an append that ends with last.
func (p *Progress) sent(last Index) {
	if p.probing {
		p.waiting = true
		return
	}
	p.inflight = append(p.inflight, last)
	p.next = last + 1
}
