package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// partialSnapshot is a snapshot of which a follower has received the first chunks.
type partialSnapshot struct {
	from     vwid.Member
	snapshot Snapshot
}

func (n *Node) stepAppend(m Message) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	switch {
	case m.Index < n.log.commitIndex && len(m.Entries) == 0 && m.Index < n.log.baseIndex:
		// A heartbeat before the base acknowledges nothing beyond its own index. sendAppend uses index 0 for a member
		// that needs a snapshot.
		reply.Index = m.Index
	case m.Index < n.log.commitIndex && !n.log.matches(m.Index, m.LogTerm):
		// Committed entries are equal on all members, so the leader may continue after them.
		reply.Index = n.log.commitIndex
	case n.log.matches(m.Index, m.LogTerm):
		if err := n.log.merge(m.Entries); err != nil {
			return
		}
		reply.Index = m.Index + Index(len(m.Entries))
		n.log.commitIndex = max(n.log.commitIndex, min(m.Commit, reply.Index))
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.Hint, reply.HintTerm = n.log.lastPossibleMatch(m.Index, m.LogTerm)
	}
	n.sendAfterSync(reply)
}

func (n *Node) stepSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if n.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		n.log.commitIndex = max(n.log.commitIndex, m.Snapshot.Index)
	}
	if m.Snapshot.Index <= n.log.commitIndex {
		n.partialSnapshot = nil
		reply.Index = n.log.commitIndex
		n.sendAfterSync(reply)
		return
	}
	n.receiveSnapshotChunk(m)
	if received := int64(len(n.partialSnapshot.snapshot.Data)); received < m.Size {
		reply.Kind, reply.Index, reply.Offset = MessageSnapshotReply, m.Snapshot.Index, received
		n.sendAfterSync(reply)
		return
	}
	n.installSnapshot(n.partialSnapshot.snapshot)
	reply.Index = n.log.commitIndex
	n.sendAfterSync(reply)
}

func (n *Node) receiveSnapshotChunk(m Message) {
	partial := n.partialSnapshot
	if partial == nil || partial.from != m.From || partial.snapshot.Index != m.Snapshot.Index || partial.snapshot.Term != m.Snapshot.Term {
		partial = &partialSnapshot{from: m.From, snapshot: *m.Snapshot}
		partial.snapshot.Data = nil
		n.partialSnapshot = partial
	}
	if m.Offset == int64(len(partial.snapshot.Data)) {
		partial.snapshot.Data = append(partial.snapshot.Data, m.Snapshot.Data...)
	}
}

func (n *Node) installSnapshot(snapshot Snapshot) {
	n.partialSnapshot = nil
	n.log.resetToSnapshot(snapshot)
	n.installedSnapshot = &snapshot
}
