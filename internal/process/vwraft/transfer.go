package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// TransferLeadership transfers the leadership to the voter with the most entries, for a planned stop. Until it succeeds
// or ElectionTicks have passed, proposals are refused. It returns false when this member is not the leader or no other
// voter has replied within ElectionTicks.
func (n *Node) TransferLeadership() bool {
	if n.role != RoleLeader {
		return false
	}
	if n.transferTarget != "" {
		return true
	}
	target := n.bestTransferTarget()
	if target == "" {
		return false
	}
	n.transferTarget, n.transferTick = target, n.tick
	n.continueTransfer()
	return true
}

func (n *Node) bestTransferTarget() vwid.Member {
	var best vwid.Member
	for _, voter := range n.voters() {
		p, ok := n.progress[voter.Member]
		if !ok || n.tick-p.lastContactTick >= uint64(n.settings.ElectionTicks) {
			continue
		}
		if best == "" || p.match > n.progress[best].match {
			best = voter.Member
		}
	}
	return best
}

// continueTransfer requests an election of the transfer target once it has all entries.
func (n *Node) continueTransfer() {
	p, ok := n.progress[n.transferTarget]
	if n.role != RoleLeader || !ok || p.match < n.log.lastIndex() {
		return
	}
	n.leaseRevoked = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.transferTarget})
}
