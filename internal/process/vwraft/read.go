package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// pendingRead waits for a quorum round. Round is zero until the read has a round and an index.
type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

// maxPendingReads bounds the reads that wait for a quorum round.
const maxPendingReads = 10_000

// Read asks for permission to answer a linearizable read, which Ready.Reads gives. Reads that wait
// when the leadership ends are dropped.
func (n *Node) Read(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader{Leader: n.leaderVoter()}
	}
	if len(n.pending) >= maxPendingReads {
		return ErrBusy
	}
	n.pending = append(n.pending, pendingRead{id: id})
	return nil
}

// Leased reports whether this leader can be sure, without a quorum round, that no other leader exists.
func (n *Node) Leased() bool {
	if n.settings.ReadsByQuorum || n.role != RoleLeader || n.leaseless || !n.termCommitted() {
		return false
	}
	round := n.quorumRound()
	if round == n.round {
		// The newest round is answered, in a cluster of one voter without any message.
		return n.tick-n.roundTicks[round] < n.settings.leaseTicks()
	}
	start, ok := n.roundTicks[round]
	return ok && n.tick-start < n.settings.leaseTicks()
}

// quorumRound returns the newest round that a majority has answered.
func (n *Node) quorumRound() uint64 {
	return quorum(n.voters(), func(member vwid.Member) uint64 {
		return n.valueOf(member, n.round, func(p *Progress) uint64 { return p.round })
	})
}

// beginReads answers new reads under the lease, or starts one quorum round for all of them.
func (n *Node) beginReads() {
	if !n.termCommitted() {
		return
	}
	leased, started := n.Leased(), false
	for at := range n.pending {
		read := &n.pending[at]
		if read.round != 0 {
			continue
		}
		read.index = n.log.commit
		if leased {
			read.round = n.quorumRound()
			continue
		}
		if !started {
			n.heartbeat()
			started = true
		}
		read.round = n.round
	}
	n.finishReads()
}

// finishReads releases the reads whose round a majority has answered.
func (n *Node) finishReads() {
	answered := n.quorumRound()
	for len(n.pending) > 0 && n.pending[0].round != 0 && n.pending[0].round <= answered {
		n.reads = append(n.reads, ReadState{ID: n.pending[0].id, Index: n.pending[0].index})
		n.pending = n.pending[1:]
	}
	for round := range n.roundTicks {
		if round < answered {
			delete(n.roundTicks, round)
		}
	}
}
