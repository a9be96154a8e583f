package vwraft

import (
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Propose appends a command to the log. The entry may be lost until it is committed. After an error it is not in
// the log.
func (n *Node) Propose(data []byte) (Index, Term, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(data) > n.settings.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	return n.append(EntryCommand, data), n.term, nil
}

func (n *Node) checkCanPropose() error {
	if n.role != RoleLeader {
		return ErrNotLeader{Leader: n.leaderVoter()}
	}
	if n.transferTarget != "" {
		return ErrTransferring
	}
	return nil
}

// ProposeChange appends a membership change, which takes effect when it is appended.
func (n *Node) ProposeChange(change Change) (Index, Term, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	membership, membershipIndex := n.log.membership()
	// Until an entry of its own term is committed, this leader's log may lack a membership change of an earlier term.
	if membershipIndex > n.log.commitIndex || !n.hasCommittedInTerm() {
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

// CaughtUp reports whether a member replied within the shortest election timeout and lacks at most MaxPromotionLag
// entries, so that it may become a voter. It is false on a member that is not the leader.
func (n *Node) CaughtUp(member vwid.Member) bool {
	p, ok := n.progress[member]
	if !ok || p.probing || p.snapshot != nil || p.match == 0 {
		return false
	}
	recent := n.tick-p.lastContactTick < uint64(n.settings.ElectionTicks)
	return recent && p.match+n.settings.MaxPromotionLag >= n.log.lastIndex()
}

// TicksSinceContact returns the number of ticks since the last reply of a member, or since this leader began to track
// it. It returns zero if this member is not the leader or the other is not in the membership.
func (n *Node) TicksSinceContact(member vwid.Member) uint64 {
	if p, ok := n.progress[member]; ok {
		return n.tick - p.lastContactTick
	}
	return 0
}

func (n *Node) append(kind EntryKind, data []byte) Index {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	if err := n.log.appendEntry(entry); err != nil {
		// appendEntry fails only on a malformed membership, and this leader encoded the membership itself.
		panic("vwraft: " + err.Error())
	}
	n.uncommittedBytes += len(data)
	return entry.Index
}

// heartbeat starts a quorum round and sends at least one message to every member.
func (n *Node) heartbeat() {
	n.currentRound++
	n.roundStartTicks[n.currentRound] = n.tick
	for member, p := range n.progress {
		p.awaitingReply = false
		if p.snapshot == nil && p.next <= n.log.baseIndex {
			// The unacknowledged appends were lost and their entries are compacted, so the member needs a snapshot.
			p.restartProbe(p.match)
		}
		if n.replicateTo(member, p) {
			continue
		}
		n.sendAppend(member, p, nil)
	}
}

// replicate sends new entries to every member that is below its limit of unacknowledged appends.
func (n *Node) replicate() {
	for member, p := range n.progress {
		n.replicateTo(member, p)
	}
}

// replicateTo sends the missing entries, or the next snapshot chunk, to a member within its limit of unacknowledged
// appends, and reports whether it sent a message.
func (n *Node) replicateTo(member vwid.Member, p *Progress) bool {
	sent := false
	for !p.awaitingReply && (p.snapshot != nil || p.next <= n.log.lastIndex()) && len(p.inflight) < n.settings.MaxInflight {
		if p.snapshot != nil || p.next <= n.log.baseIndex {
			n.sendSnapshotChunk(member, p)
			return true
		}
		entries := n.log.entriesAfter(p.next-1, n.log.lastIndex(), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes)
		n.sendAppend(member, p, entries)
		p.recordSent(entries[len(entries)-1].Index)
		sent = true
	}
	return sent
}

func (n *Node) sendAppend(member vwid.Member, p *Progress, entries []Entry) {
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		// The member needs a snapshot. Index zero matches every log, so the message serves only as a heartbeat.
		previous, term = 0, 0
	}
	n.send(Message{
		Kind: MessageAppend, To: member, Index: previous, LogTerm: term,
		Commit: n.log.commitIndex, Entries: entries, Round: n.currentRound,
	})
}

func (n *Node) sendSnapshotChunk(member vwid.Member, p *Progress) {
	if p.snapshot == nil {
		snapshot := n.log.snapshot
		p.snapshot, p.snapshotOffset, p.inflight = &snapshot, 0, nil
	}
	chunk := *p.snapshot
	size := int64(len(chunk.Data))
	offset := min(p.snapshotOffset, size)
	chunk.Data = chunk.Data[offset:min(size, offset+int64(n.settings.MaxBatchBytes))]
	p.awaitingReply = true
	n.send(Message{Kind: MessageSnapshot, To: member, Snapshot: &chunk, Offset: offset, Size: size, Commit: n.log.commitIndex, Round: n.currentRound})
}

func (n *Node) stepReply(m Message) {
	p, ok := n.progress[m.From]
	if n.role != RoleLeader || !ok {
		return
	}
	p.lastContactTick = n.tick
	p.ackedRound = max(p.ackedRound, min(m.Round, n.currentRound))
	n.releaseReads()
	switch {
	case m.Kind == MessageSnapshotReply:
		n.stepSnapshotReply(m, p)
	case m.Reject:
		n.stepReject(m, p)
	default:
		p.acknowledge(min(m.Index, n.log.lastIndex()))
		n.advanceCommit()
		n.continueTransfer()
	}
}

func (n *Node) stepSnapshotReply(m Message, p *Progress) {
	// A duplicate reply, caused by a retransmitted chunk, must not cause another retransmission.
	if p.snapshot != nil && m.Index == p.snapshot.Index && m.Offset != p.snapshotOffset {
		p.snapshotOffset, p.awaitingReply = m.Offset, false
	}
}

func (n *Node) stepReject(m Message, p *Progress) {
	// Ignore a rejection that a newer acknowledgement or probe has made stale.
	if m.Index <= p.match || p.snapshot != nil || (p.probing && m.Index != p.next-1) {
		return
	}
	candidate, term := n.log.lastPossibleMatch(m.Hint, m.HintTerm)
	if candidate == n.log.baseIndex && (m.Hint < candidate || term > m.HintTerm) {
		// No entry that this leader still holds can match. A candidate before the base makes it send a snapshot.
		candidate = min(m.Hint, n.log.baseIndex-1)
	}
	p.restartProbe(candidate)
}

func (n *Node) advanceCommit() {
	quorumIndex := quorumValue(n.voters(), func(member vwid.Member) Index {
		return Index(n.memberValue(member, uint64(n.log.syncedIndex), func(p *Progress) uint64 { return uint64(p.match) }))
	})
	if term, ok := n.log.term(quorumIndex); !ok || term != n.term || quorumIndex <= n.log.commitIndex {
		return
	}
	n.log.commitIndex = quorumIndex
	n.uncommittedBytes = n.log.uncommittedBytes()
	n.startReads()
	n.stepDownIfRemoved()
}

// stepDownIfRemoved steps down once the removal of this member is committed.
func (n *Node) stepDownIfRemoved() {
	membership, membershipIndex := n.log.membership()
	if membershipIndex > n.log.commitIndex || membership.Votes(n.settings.Self) {
		return
	}
	// Send the commit index of the removal to the other members before this member stops.
	n.heartbeat()
	// Then let the best transfer target start an election at once instead of after a timeout.
	if target := n.bestTransferTarget(); target != "" {
		n.send(Message{Kind: MessageTimeoutNow, To: target})
	}
	n.becomeFollower(n.term, "")
}

func (n *Node) hasCommittedInTerm() bool {
	term, ok := n.log.term(n.log.commitIndex)
	return ok && term == n.term
}
