package vwraft

import (
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Role is the role of a member in its current term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// voteResponse is the answer of one voter in an election or pre-vote.
type voteResponse struct{ received, granted bool }

// Node is one member of the replicated log. It is not safe for concurrent use: one goroutine must own it.
type Node struct {
	settings Settings
	random   *rand.Rand
	log      *Log

	role               Role
	term               Term
	vote               vwid.Member
	leader             vwid.Member
	submittedHardState HardState

	// tick counts Tick calls. elapsedTicks counts those since the election timer was reset or, on a leader, since the
	// last heartbeat.
	tick                 uint64
	elapsedTicks         int
	electionTimeoutTicks int
	// ticksSinceLeader counts the ticks since the last message from a leader. A new Node starts with zero, because it
	// may have answered a leader just before a restart. With ReadsByQuorum it starts with ElectionTicks, so that it may
	// vote at once.
	ticksSinceLeader int
	votes            map[vwid.Member]voteResponse
	// transferElection means that the leader requested the current election for a transfer.
	transferElection bool

	// The fields down to uncommittedBytes are used only by a leader.
	progress        map[vwid.Member]*Progress
	currentRound    uint64
	roundStartTicks map[uint64]uint64
	pendingReads    []pendingRead
	// leaseRevoked means that this leader requested an election for a transfer in this term, so that members may vote
	// despite its lease.
	leaseRevoked     bool
	transferTarget   vwid.Member
	transferTick     uint64
	uncommittedBytes int
	// partialSnapshot is the snapshot that a follower is receiving.
	partialSnapshot *partialSnapshot

	// pendingSync is not nil while a sync is in progress.
	pendingSync       *pendingSync
	messages          []Message
	messagesAfterSync []Message
	installedSnapshot *Snapshot
	permittedReads    []ReadState
}

// MakeNode returns a member that continues from its stored state. A member without a stored membership starts no
// election; it waits for a leader.
func MakeNode(settings Settings, hard HardState, snapshot Snapshot, entries []Entry) (*Node, error) {
	if err := settings.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	log, err := restoreLog(snapshot, entries)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{
		settings:           settings,
		random:             rand.New(settings.Random),
		log:                log,
		term:               hard.Term,
		vote:               hard.Vote,
		submittedHardState: hard,
	}
	if settings.ReadsByQuorum {
		// No leader holds a lease that relies on replies of this member before its restart.
		n.ticksSinceLeader = settings.ElectionTicks
		n.resetRetryTimer()
		return n, nil
	}
	n.resetElectionTimer()
	return n, nil
}

// Status is the observable state of a Node.
type Status struct {
	Role       Role
	Term       Term
	Leader     Voter
	Commit     Index
	Last       Index
	Snapshot   Index
	Membership Membership
	// MembershipCommitted means that the membership in force is committed.
	MembershipCommitted bool
	// TermCommitted means that the leader has committed an entry of its own term.
	TermCommitted bool
}

// Status returns the current status.
func (n *Node) Status() Status {
	membership, membershipIndex := n.log.membership()
	return Status{
		Role:                n.role,
		Term:                n.term,
		Leader:              n.leaderVoter(),
		Commit:              n.log.commitIndex,
		Last:                n.log.lastIndex(),
		Snapshot:            n.log.snapshot.Index,
		Membership:          membership,
		MembershipCommitted: membershipIndex <= n.log.commitIndex,
		TermCommitted:       n.role == RoleLeader && n.hasCommittedInTerm(),
	}
}

// IsLeader reports whether this member has the role of leader. Another member may already lead in a newer term.
func (n *Node) IsLeader() bool {
	return n.role == RoleLeader
}

// Tick advances the clock of the Node by one tick interval. Before each other call the caller must call Tick for all
// time that has passed, also for time in which it was stalled. With late ticks a leader would rely on its lease for
// too long, and a follower that has just answered a leader would vote too early.
func (n *Node) Tick() {
	n.tick++
	n.ticksSinceLeader++
	n.elapsedTicks++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks >= n.electionTimeoutTicks {
		n.resetRetryTimer()
		n.campaign(false)
	}
}

func (n *Node) tickLeader() {
	if n.transferTarget != "" && n.tick-n.transferTick >= uint64(n.settings.ElectionTicks) {
		n.transferTarget = ""
	}
	if !n.quorumActive() {
		n.becomeFollower(n.term, "")
		return
	}
	if n.elapsedTicks >= n.settings.HeartbeatTicks {
		n.elapsedTicks = 0
		n.heartbeat()
	}
}

// quorumActive reports whether a majority of the voters replied, or began to be tracked by this leader, within the
// shortest election timeout.
func (n *Node) quorumActive() bool {
	lastContact := quorumValue(n.voters(), func(member vwid.Member) uint64 {
		return n.memberValue(member, n.tick, func(p *Progress) uint64 { return p.lastContactTick })
	})
	return n.tick-lastContact < uint64(n.settings.ElectionTicks)
}

// memberValue returns own for this member, the value of the progress of another one, and zero for an unknown one.
func (n *Node) memberValue(member vwid.Member, own uint64, value func(*Progress) uint64) uint64 {
	if member == n.settings.Self {
		return own
	}
	if p, ok := n.progress[member]; ok {
		return value(p)
	}
	return 0
}

func (n *Node) voters() []Voter {
	membership, _ := n.log.membership()
	return membership.Voters
}

func (n *Node) leaderVoter() Voter {
	membership, _ := n.log.membership()
	if found, ok := membership.Find(n.leader); ok {
		return found
	}
	return Voter{Member: n.leader}
}

// resetElectionTimer starts a random election timeout, so that members seldom start elections at the same time.
func (n *Node) resetElectionTimer() {
	n.elapsedTicks = 0
	n.electionTimeoutTicks = n.settings.ElectionTicks + n.random.IntN(n.settings.ElectionTicks)
}

// resetRetryTimer starts the shorter timeout after which a member repeats an unsuccessful pre-vote. An election without
// a winner is followed by the full timeout instead, because the short one would lead to the next such election at once.
func (n *Node) resetRetryTimer() {
	n.elapsedTicks = 0
	n.electionTimeoutTicks = n.settings.preVoteRetryTicks() + n.random.IntN(n.settings.preVoteRetryTicks()+1)
}

func (n *Node) becomeFollower(term Term, leader vwid.Member) {
	if n.role == RoleLeader {
		// Its own lease ends with its leadership, so this member may vote at once.
		n.ticksSinceLeader = n.settings.ElectionTicks
	}
	if term != n.term {
		n.term, n.vote = term, ""
		// Drop the append replies: a leader of the new term may replace the entries that they acknowledge.
		n.messagesAfterSync = slices.DeleteFunc(n.messagesAfterSync, func(m Message) bool { return m.Kind == MessageAppendReply })
	}
	n.role, n.leader = RoleFollower, leader
	n.votes, n.progress, n.pendingReads, n.roundStartTicks = nil, nil, nil, nil
	n.transferTarget, n.transferElection, n.uncommittedBytes = "", false, 0
	n.resetElectionTimer()
}

// send queues a message that does not depend on unsynced state.
func (n *Node) send(m Message) {
	m.From, m.Term = n.settings.Self, max(m.Term, n.term)
	n.messages = append(n.messages, m)
}

// sendAfterSync queues a message to send once the current hard state and entries are synced.
func (n *Node) sendAfterSync(m Message) {
	m.From, m.Term = n.settings.Self, max(m.Term, n.term)
	n.messagesAfterSync = append(n.messagesAfterSync, m)
}
