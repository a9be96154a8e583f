package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// campaign starts a pre-vote. With transfer, which the leader requested, it starts the election at once.
func (n *Node) campaign(transfer bool) {
	membership, _ := n.log.membership()
	if !membership.Votes(n.settings.Self) {
		return
	}
	n.leader, n.transferElection = "", transfer
	n.votes = map[vwid.Member]voteResponse{}
	if transfer {
		n.startElection()
		return
	}
	n.role = RolePreCandidate
	n.requestVotes(MessagePreVote, n.term+1)
	n.countVote(n.settings.Self, true)
}

// startElection starts an election in the next term. Advance counts the member's own vote once it is synced.
func (n *Node) startElection() {
	n.role = RoleCandidate
	n.term++
	n.vote = n.settings.Self
	n.votes = map[vwid.Member]voteResponse{}
	n.resetElectionTimer()
	n.requestVotes(MessageVote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term Term) {
	for _, voter := range n.voters() {
		if voter.Member == n.settings.Self {
			continue
		}
		m := Message{Kind: kind, To: voter.Member, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: n.transferElection}
		n.sendAfterSync(m)
	}
}

// mustRefuseVotes reports whether a leader may rely on this member for its lease, so that votes must be refused.
func (n *Node) mustRefuseVotes() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.ticksSinceLeader < n.settings.ElectionTicks
}

func (n *Node) stepPreVote(m Message) {
	granted := m.Term > n.term && !n.mustRefuseVotes() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.sendAfterSync(reply)
}

func (n *Node) stepVote(m Message) {
	canVote := n.vote == m.From || (n.vote == "" && n.leader == "")
	granted := canVote && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		// Give the candidate a full election timeout to win and to send its first heartbeat.
		n.resetElectionTimer()
	}
	n.sendAfterSync(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

func (n *Node) stepPreVoteReply(m Message) {
	if n.role == RolePreCandidate && (m.Reject || m.Term == n.term+1) {
		n.countVote(m.From, !m.Reject)
	}
}

func (n *Node) stepVoteReply(m Message) {
	if n.role == RoleCandidate {
		n.countVote(m.From, !m.Reject)
	}
}

func (n *Node) countVote(member vwid.Member, granted bool) {
	if !n.votes[member].received {
		n.votes[member] = voteResponse{received: true, granted: granted}
	}
	won := quorumValue(n.voters(), func(m vwid.Member) uint64 { return boolToCount(n.votes[m].granted) })
	lost := quorumValue(n.voters(), func(m vwid.Member) uint64 { return boolToCount(n.votes[m].received && !n.votes[m].granted) })
	switch {
	case won == 1 && n.role == RolePreCandidate:
		n.startElection()
	case won == 1:
		n.becomeLeader()
	case lost == 1 && n.role == RolePreCandidate:
		n.becomeFollower(n.term, "")
		n.resetRetryTimer()
	case lost == 1:
		n.becomeFollower(n.term, "")
	}
}

func boolToCount(condition bool) uint64 {
	if condition {
		return 1
	}
	return 0
}

func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.settings.Self
	n.votes, n.partialSnapshot = nil, nil
	n.elapsedTicks, n.currentRound = 0, 0
	n.roundStartTicks = map[uint64]uint64{}
	n.leaseRevoked, n.transferTarget, n.transferElection = false, "", false
	n.progress = map[vwid.Member]*Progress{}
	n.syncProgress()
	n.uncommittedBytes = n.log.uncommittedBytes()
	n.append(EntryEmpty, nil)
	n.heartbeat()
}

// syncProgress adds the progress of new members and deletes that of removed ones.
func (n *Node) syncProgress() {
	membership, _ := n.log.membership()
	for _, member := range membership.All() {
		if _, ok := n.progress[member.Member]; !ok && member.Member != n.settings.Self {
			n.progress[member.Member] = makeProgress(n.log.lastIndex(), n.tick)
		}
	}
	for member := range n.progress {
		if _, ok := membership.Find(member); !ok {
			delete(n.progress, member)
		}
	}
}
