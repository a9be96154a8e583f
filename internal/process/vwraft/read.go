package vwraft

import "vanillawind.example/vanillawind/pkg/vwid"

// pendingRead is a read that waits for a quorum round. The round is zero until the read has a round and an index.
type pendingRead struct {
	id    uint64
	index Index
	round uint64
}

// maxPendingReads is the largest number of reads that may wait for a quorum round.
const maxPendingReads = 10_000

// Read requests a linearizable read. Ready.Reads returns it once it may be answered. Reads that are pending when the
// leadership ends are dropped.
func (n *Node) Read(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader{Leader: n.leaderVoter()}
	}
	if len(n.pendingReads) >= maxPendingReads {
		return ErrBusy
	}
	n.pendingReads = append(n.pendingReads, pendingRead{id: id})
	return nil
}

// HasReadLease reports whether this leader may answer reads without a quorum round, because no other leader can exist.
func (n *Node) HasReadLease() bool {
	if n.settings.ReadsByQuorum || n.role != RoleLeader || n.leaseRevoked || !n.hasCommittedInTerm() {
		return false
	}
	round := n.confirmedRound()
	if round == n.currentRound {
		// A majority has answered the newest round; a single voter does so without messages.
		return n.tick-n.roundStartTicks[round] < n.settings.leaseTicks()
	}
	start, ok := n.roundStartTicks[round]
	return ok && n.tick-start < n.settings.leaseTicks()
}

// confirmedRound returns the newest round that a majority has answered.
func (n *Node) confirmedRound() uint64 {
	return quorumValue(n.voters(), func(member vwid.Member) uint64 {
		return n.memberValue(member, n.currentRound, func(p *Progress) uint64 { return p.ackedRound })
	})
}

// startReads permits new reads under the lease, or starts one quorum round for all of them.
func (n *Node) startReads() {
	if !n.hasCommittedInTerm() {
		return
	}
	hasLease, started := n.HasReadLease(), false
	for at := range n.pendingReads {
		read := &n.pendingReads[at]
		if read.round != 0 {
			continue
		}
		read.index = n.log.commitIndex
		if hasLease {
			read.round = n.confirmedRound()
			continue
		}
		if !started {
			n.heartbeat()
			started = true
		}
		read.round = n.currentRound
	}
	n.releaseReads()
}

// releaseReads permits the reads whose round a majority has answered.
func (n *Node) releaseReads() {
	confirmed := n.confirmedRound()
	for len(n.pendingReads) > 0 && n.pendingReads[0].round != 0 && n.pendingReads[0].round <= confirmed {
		n.permittedReads = append(n.permittedReads, ReadState{ID: n.pendingReads[0].id, Index: n.pendingReads[0].index})
		n.pendingReads = n.pendingReads[1:]
	}
	for round := range n.roundStartTicks {
		if round < confirmed {
			delete(n.roundStartTicks, round)
		}
	}
}
