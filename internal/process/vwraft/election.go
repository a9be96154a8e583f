package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// campaign starts a pre-vote, or at the request of the leader the election itself.
func (n *Node) campaign(transfer bool) {
	membership, _ := n.log.membership()
	if !membership.Votes(n.settings.Self) {
		return
	}
	n.leader, n.transferred = "", transfer
	n.votes = map[vwid.Member]ballot{}
	if transfer {
		n.elect()
		return
	}
	n.role = RolePreCandidate
	n.requestVotes(MessagePreVote, n.term+1)
	n.countVote(n.settings.Self, true)
}

// elect starts an election. The own vote counts once it is synced, in Advance.
func (n *Node) elect() {
	n.role = RoleCandidate
	n.term++
	n.vote = n.settings.Self
	n.votes = map[vwid.Member]ballot{}
	n.resetTimer()
	n.requestVotes(MessageVote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term Term) {
	for _, voter := range n.voters() {
		if voter.Member == n.settings.Self {
			continue
		}
		m := Message{Kind: kind, To: voter.Member, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: n.transferred}
		n.sendAfterSync(m)
	}
}

// leased reports whether this member has promised a leader to refuse votes.
func (n *Node) leased() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.sinceLeader < n.settings.ElectionTicks
}

func (n *Node) stepPreVote(m Message) {
	granted := m.Term > n.term && !n.leased() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Reject: !granted}
	if granted {
		reply.Term = m.Term
	}
	n.sendAfterSync(reply)
}

func (n *Node) stepVote(m Message) {
	free := n.vote == m.From || (n.vote == "" && n.leader == "")
	granted := free && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		// The candidate gets the time to win and to be heard of.
		n.resetTimer()
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
	if !n.votes[member].known {
		n.votes[member] = ballot{known: true, granted: granted}
	}
	won := quorum(n.voters(), func(m vwid.Member) uint64 { return count(n.votes[m].granted) })
	lost := quorum(n.voters(), func(m vwid.Member) uint64 { return count(n.votes[m].known && !n.votes[m].granted) })
	switch {
	case won == 1 && n.role == RolePreCandidate:
		n.elect()
	case won == 1:
		n.becomeLeader()
	case lost == 1 && n.role == RolePreCandidate:
		n.becomeFollower(n.term, "")
		n.retrySoon()
	case lost == 1:
		n.becomeFollower(n.term, "")
	}
}

func count(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}

func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.settings.Self
	n.votes, n.incoming = nil, nil
	n.elapsed, n.round = 0, 0
	n.roundTicks = map[uint64]uint64{}
	n.leaseless, n.transferTarget, n.transferred = false, "", false
	n.progress = map[vwid.Member]*Progress{}
	n.syncProgress()
	n.uncommitted = n.log.uncommittedBytes()
	n.append(EntryEmpty, nil)
	n.heartbeat()
}

// syncProgress adds and drops progress after a change of the membership.
func (n *Node) syncProgress() {
	membership, _ := n.log.membership()
	for _, member := range membership.All() {
		if _, ok := n.progress[member.Member]; !ok && member.Member != n.settings.Self {
			n.progress[member.Member] = makeProgress(n.log.last(), n.tick)
		}
	}
	for member := range n.progress {
		if _, ok := membership.Find(member); !ok {
			delete(n.progress, member)
		}
	}
}
