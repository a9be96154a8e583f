package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// incomingSnapshot is a snapshot of which a part has arrived.
type incomingSnapshot struct {
	from     vwid.Member
	snapshot Snapshot
}

func (n *Node) stepAppend(m Message) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	switch {
	case m.Index < n.log.commit && len(m.Entries) == 0 && m.Index < n.log.baseIndex:
		reply.Index = m.Index
	case m.Index < n.log.commit && !n.log.matches(m.Index, m.LogTerm):
		// Committed entries are the same everywhere, so the leader may continue after them.
		reply.Index = n.log.commit
	case n.log.matches(m.Index, m.LogTerm):
		if err := n.log.merge(m.Entries); err != nil {
			return
		}
		reply.Index = m.Index + Index(len(m.Entries))
		n.log.commit = max(n.log.commit, min(m.Commit, reply.Index))
	default:
		reply.Reject, reply.Index = true, m.Index
		reply.Hint, reply.HintTerm = n.log.conflict(m.Index, m.LogTerm)
	}
	n.sendAfterSync(reply)
}

func (n *Node) stepSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if n.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		n.log.commit = max(n.log.commit, m.Snapshot.Index)
	}
	if m.Snapshot.Index <= n.log.commit {
		n.incoming = nil
		reply.Index = n.log.commit
		n.sendAfterSync(reply)
		return
	}
	n.receiveChunk(m)
	if received := int64(len(n.incoming.snapshot.Data)); received < m.Size {
		reply.Kind, reply.Index, reply.Offset = MessageSnapshotReply, m.Snapshot.Index, received
		n.sendAfterSync(reply)
		return
	}
	n.install(n.incoming.snapshot)
	reply.Index = n.log.commit
	n.sendAfterSync(reply)
}

func (n *Node) receiveChunk(m Message) {
	part := n.incoming
	if part == nil || part.from != m.From || part.snapshot.Index != m.Snapshot.Index || part.snapshot.Term != m.Snapshot.Term {
		part = &incomingSnapshot{from: m.From, snapshot: *m.Snapshot}
		part.snapshot.Data = nil
		n.incoming = part
	}
	if m.Offset == int64(len(part.snapshot.Data)) {
		part.snapshot.Data = append(part.snapshot.Data, m.Snapshot.Data...)
	}
}

func (n *Node) install(snapshot Snapshot) {
	n.incoming = nil
	n.log.reset(snapshot)
	n.installed = &snapshot
}
