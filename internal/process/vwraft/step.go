package vwraft

// Step handles a message from another member. It ignores messages to other members.
func (n *Node) Step(m Message) {
	if m.To != n.settings.Self || m.From == n.settings.Self {
		return
	}
	if m.Term > n.term && !n.stepHigherTerm(m) {
		return
	}
	if m.Term < n.term && m.Kind != MessagePreVote {
		n.stepLowerTerm(m)
		return
	}
	n.dispatch(m)
}

// stepHigherTerm adopts a newer term, and reports whether the message is to be handled.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !m.Reject {
			return true
		}
	case MessageVote:
		// A member that was partitioned must not depose a leader that other members still follow.
		if n.mustRefuseVotes() && !m.Transfer {
			return false
		}
	case MessageAppend, MessageSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, "")
	return true
}

// stepLowerTerm replies to a former leader with the newer term, so that it steps down.
func (n *Node) stepLowerTerm(m Message) {
	if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
		n.sendAfterSync(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.stepPreVote(m)
	case MessagePreVoteReply:
		n.stepPreVoteReply(m)
	case MessageVote:
		n.stepVote(m)
	case MessageVoteReply:
		n.stepVoteReply(m)
	case MessageAppend:
		n.recordLeaderContact(m)
		n.stepAppend(m)
	case MessageSnapshot:
		n.recordLeaderContact(m)
		n.stepSnapshot(m)
	case MessageAppendReply, MessageSnapshotReply:
		n.stepReply(m)
	case MessageTimeoutNow:
		n.stepTimeoutNow()
	}
}

// recordLeaderContact records a message from the leader of the current term.
func (n *Node) recordLeaderContact(m Message) {
	if n.role != RoleFollower {
		n.becomeFollower(n.term, m.From)
	}
	n.leader = m.From
	n.ticksSinceLeader = 0
	n.elapsedTicks = 0
	if n.electionTimeoutTicks < n.settings.ElectionTicks {
		// The short timeout of a member without a leader would end between two heartbeats.
		n.resetElectionTimer()
	}
}

func (n *Node) stepTimeoutNow() {
	if n.role == RoleFollower {
		n.campaign(true)
	}
}
