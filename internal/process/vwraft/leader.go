package vwraft

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Propose appends a command to the log. The entry may still be lost until it is committed; an
// error means that it is not in the log.
func (n *Node) Propose(data []byte) (Index, Term, error) {
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	if n.uncommitted > 0 && n.uncommitted+len(data) > n.settings.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return n.append(EntryCommand, data), n.term, nil
}

func (n *Node) acceptsProposals() error {
	if n.role != RoleLeader {
		return ErrNotLeader{Leader: n.leaderVoter()}
	}
	if n.transferTarget != "" {
		return ErrTransferring
	}
	return nil
}

// ProposeChange appends a membership change, which is in force at once.
func (n *Node) ProposeChange(change Change) (Index, Term, error) {
	if err := n.acceptsProposals(); err != nil {
		return 0, 0, err
	}
	membership, at := n.log.membership()
	// Before an entry of its own term is committed, a leader may not know of a change of an earlier one.
	if at > n.log.commit || !n.termCommitted() {
		return 0, 0, ErrChangePending
	}
	if change.Kind == ChangePromote && !n.CaughtUp(change.Voter.Member) {
		return 0, 0, ErrNotCaughtUp
	}
	next, err := membership.Next(change)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	data, err := next.MarshalMsg(nil)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	index := n.append(EntryMembership, data)
	n.syncProgress()
	return index, n.term, nil
}

// CaughtUp reports whether a member lacks so few entries that it may become a voter.
func (n *Node) CaughtUp(member vwid.Member) bool {
	p, ok := n.progress[member]
	if !ok || p.probing || p.snapshot != nil || p.match == 0 {
		return false
	}
	recent := n.tick-p.heardTick < uint64(n.settings.ElectionTicks)
	return recent && p.match+n.settings.CaughtUp >= n.log.last()
}

// SilentTicks returns for how many ticks nothing was heard from a member, zero when this one does not lead.
func (n *Node) SilentTicks(member vwid.Member) uint64 {
	if p, ok := n.progress[member]; ok {
		return n.tick - p.heardTick
	}
	return 0
}

func (n *Node) append(kind EntryKind, data []byte) Index {
	entry := Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.log.push(entry); err != nil {
		// The only entries that push refuses are malformed memberships, and this leader encoded it itself.
		panic("vwraft: " + err.Error())
	}
	n.uncommitted += len(data)
	return entry.Index
}

// heartbeat starts a quorum round and sends at least one message to every member.
func (n *Node) heartbeat() {
	n.round++
	n.roundTicks[n.round] = n.tick
	for member, p := range n.progress {
		p.waiting = false
		if p.snapshot == nil && p.next <= n.log.baseIndex {
			// The unacknowledged appends were lost and their entries are compacted: only a snapshot helps.
			p.reject(p.match)
		}
		if n.replicateTo(member, p) {
			continue
		}
		n.sendAppend(member, p, nil)
	}
}

// replicate sends new entries to every member that has room for them.
func (n *Node) replicate() {
	for member, p := range n.progress {
		n.replicateTo(member, p)
	}
}

// replicateTo sends what the member lacks, within its bounds, and reports whether it sent something.
func (n *Node) replicateTo(member vwid.Member, p *Progress) bool {
	sent := false
	for !p.waiting && (p.snapshot != nil || p.next <= n.log.last()) && len(p.inflight) < n.settings.MaxInflight {
		if p.snapshot != nil || p.next <= n.log.baseIndex {
			n.sendChunk(member, p)
			return true
		}
		entries := n.log.slice(p.next-1, n.log.last(), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes)
		n.sendAppend(member, p, entries)
		p.sent(entries[len(entries)-1].Index)
		sent = true
	}
	return sent
}

func (n *Node) sendAppend(member vwid.Member, p *Progress, entries []Entry) {
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		// The member needs a snapshot. Index zero matches every log, so that this is only a heartbeat.
		previous, term = 0, 0
	}
	n.send(Message{
		Kind: MessageAppend, To: member, Index: previous, LogTerm: term,
		Commit: n.log.commit, Entries: entries, Round: n.round,
	})
}

func (n *Node) sendChunk(member vwid.Member, p *Progress) {
	if p.snapshot == nil {
		snapshot := n.log.snapshot
		p.snapshot, p.offset, p.inflight = &snapshot, 0, nil
	}
	chunk := *p.snapshot
	size := int64(len(chunk.Data))
	offset := min(p.offset, size)
	chunk.Data = chunk.Data[offset:min(size, offset+int64(n.settings.MaxBatchBytes))]
	p.waiting = true
	n.send(Message{Kind: MessageSnapshot, To: member, Snapshot: &chunk, Offset: offset, Size: size, Commit: n.log.commit, Round: n.round})
}

func (n *Node) stepReply(m Message) {
	p, ok := n.progress[m.From]
	if n.role != RoleLeader || !ok {
		return
	}
	p.heardTick = n.tick
	p.round = max(p.round, min(m.Round, n.round))
	n.finishReads()
	switch {
	case m.Kind == MessageSnapshotReply:
		n.stepSnapshotReply(m, p)
	case m.Reject:
		n.stepReject(m, p)
	default:
		p.accept(min(m.Index, n.log.last()))
		n.advanceCommit()
		n.continueTransfer()
	}
}

func (n *Node) stepSnapshotReply(m Message, p *Progress) {
	// The answer to a repeated chunk must not cause another repetition.
	if p.snapshot != nil && m.Index == p.snapshot.Index && m.Offset != p.offset {
		p.offset, p.waiting = m.Offset, false
	}
}

func (n *Node) stepReject(m Message, p *Progress) {
	// A reply that was overtaken by a newer acknowledgement says nothing new.
	if m.Index <= p.match || p.snapshot != nil || (p.probing && m.Index != p.next-1) {
		return
	}
	candidate, term := n.log.conflict(m.Hint, m.HintTerm)
	if candidate == n.log.baseIndex && (m.Hint < candidate || term > m.HintTerm) {
		// Nothing that this leader still holds can match: a candidate before the base calls for a snapshot.
		candidate = min(m.Hint, n.log.baseIndex-1)
	}
	p.reject(candidate)
}

func (n *Node) advanceCommit() {
	reached := quorum(n.voters(), func(member vwid.Member) Index {
		return Index(n.valueOf(member, uint64(n.log.synced), func(p *Progress) uint64 { return uint64(p.match) }))
	})
	if term, ok := n.log.term(reached); !ok || term != n.term || reached <= n.log.commit {
		return
	}
	n.log.commit = reached
	n.uncommitted = n.log.uncommittedBytes()
	n.beginReads()
	n.leaveWhenRemoved()
}

// leaveWhenRemoved steps down once the removal of this member is committed.
func (n *Node) leaveWhenRemoved() {
	membership, at := n.log.membership()
	if at > n.log.commit || membership.Votes(n.settings.Self) {
		return
	}
	// The other members must learn of the commit from this member, before it stops.
	n.heartbeat()
	if target := n.bestTarget(); target != "" {
		n.send(Message{Kind: MessageTimeoutNow, To: target})
	}
	n.becomeFollower(n.term, "")
}

func (n *Node) termCommitted() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.term
}
