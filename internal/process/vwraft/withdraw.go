package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// Withdraw ends the leadership or the candidacy of this member while the caller cannot store what Ready has returned. A
// leader first hands over to the best other voter. Messages that wait for a sync are dropped, as a network may do: they
// would be old once it ends. Until Advance the caller should pass no messages and no ticks.
func (n *Node) Withdraw() {
	n.messagesAfterSync = nil
	switch n.role {
	case RoleLeader:
		if target := n.bestTransferTarget(); target != "" {
			n.handOver(target)
		}
		n.becomeFollower(n.term, "")
	case RolePreCandidate, RoleCandidate:
		n.becomeFollower(n.term, "")
	}
}

// handOver asks a voter to start an election at once. It sends the unacknowledged entries again together with the
// request, which may overtake their first copy: voters that have them would refuse a candidate without them.
func (n *Node) handOver(target vwid.Member) {
	p := n.progress[target]
	p.restartProbe(p.match)
	entries := n.log.entriesAfter(p.match, n.log.lastIndex(), n.settings.MaxBatchEntries, n.settings.MaxBatchBytes)
	if len(entries) > 0 {
		n.sendAppend(target, p, entries)
	}
	n.send(Message{Kind: MessageTimeoutNow, To: target})
}
