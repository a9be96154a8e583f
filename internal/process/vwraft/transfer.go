package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// Transfer hands the leadership to the voter that has the most entries, for a planned stop. Until
// it succeeds or an election timeout has passed, proposals are refused. It reports false when
// there is nobody to hand over to.
func (n *Node) Transfer() bool {
	if n.role != RoleLeader {
		return false
	}
	if n.transferTarget != "" {
		return true
	}
	target := n.bestTarget()
	if target == "" {
		return false
	}
	n.transferTarget, n.transferTick = target, n.tick
	n.continueTransfer()
	return true
}

func (n *Node) bestTarget() vwid.Member {
	var best vwid.Member
	for _, voter := range n.voters() {
		p, ok := n.progress[voter.Member]
		if !ok || n.tick-p.heardTick >= uint64(n.settings.ElectionTicks) {
			continue
		}
		if best == "" || p.match > n.progress[best].match {
			best = voter.Member
		}
	}
	return best
}

// continueTransfer asks the target to start its election once it has every entry.
func (n *Node) continueTransfer() {
	p, ok := n.progress[n.transferTarget]
	if n.role != RoleLeader || !ok || p.match < n.log.last() {
		return
	}
	n.leaseless = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.transferTarget})
}
