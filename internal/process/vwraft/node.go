package vwraft

import (
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Role is the part that a member plays in its term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// ballot is one answer in an election.
type ballot struct{ known, granted bool }

// Node is one member of the replicated log. It is not safe for concurrent use: one goroutine owns it.
type Node struct {
	settings Settings
	random   *rand.Rand
	log      *Log

	role      Role
	term      Term
	vote      vwid.Member
	leader    vwid.Member
	savedHard HardState

	// tick counts Tick calls. elapsed counts those since the election timer was reset.
	tick            uint64
	elapsed         int
	electionTimeout int
	// sinceLeader counts the ticks since the last message from a leader. Unless reads go by quorum a new
	// Node starts with zero, because it may have answered a leader just before a restart.
	sinceLeader int
	votes       map[vwid.Member]ballot
	transferred bool

	// The remaining state belongs to a leader, but for incoming.
	progress   map[vwid.Member]*Progress
	round      uint64
	roundTicks map[uint64]uint64
	pending    []pendingRead
	// leaseless means that a transfer was started in this term, so that a member may vote despite the lease.
	leaseless      bool
	transferTarget vwid.Member
	transferTick   uint64
	uncommitted    int
	// incoming is the snapshot that a follower is receiving.
	incoming *incomingSnapshot

	// storing is not nil while a sync has not ended.
	storing   *storing
	messages  []Message
	afterSync []Message
	installed *Snapshot
	reads     []ReadState
}

// MakeNode returns a member that continues from what was stored. A member without a stored
// membership never starts an election; it waits for a leader.
func MakeNode(settings Settings, hard HardState, snapshot Snapshot, entries []Entry) (*Node, error) {
	if err := settings.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	log, err := makeLog(snapshot, entries)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{
		settings:  settings,
		random:    rand.New(settings.Random),
		log:       log,
		term:      hard.Term,
		vote:      hard.Vote,
		savedHard: hard,
	}
	if settings.ReadsByQuorum {
		// No leader relies on what this member answered before it restarted.
		n.sinceLeader = settings.ElectionTicks
		n.retrySoon()
		return n, nil
	}
	n.resetTimer()
	return n, nil
}

// Status describes a Node.
type Status struct {
	Role       Role
	Term       Term
	Leader     Voter
	Commit     Index
	Last       Index
	Snapshot   Index
	Membership Membership
	// Settled means that the membership in force is committed.
	Settled bool
	// TermCommitted means that the leader has committed an entry of its own term.
	TermCommitted bool
}

// Status returns the current status.
func (n *Node) Status() Status {
	membership, at := n.log.membership()
	return Status{
		Role:          n.role,
		Term:          n.term,
		Leader:        n.leaderVoter(),
		Commit:        n.log.commit,
		Last:          n.log.last(),
		Snapshot:      n.log.snapshot.Index,
		Membership:    membership,
		Settled:       at <= n.log.commit,
		TermCommitted: n.role == RoleLeader && n.termCommitted(),
	}
}

// IsLeader reports whether this member believes that it leads.
func (n *Node) IsLeader() bool {
	return n.role == RoleLeader
}

// Tick tells that one tick interval has passed. Before each other call the caller must account for
// all time that has passed, also while it was stalled. Ticks that come late would make a leader trust
// its lease for too long, or make a follower that has just answered a leader vote too early.
func (n *Node) Tick() {
	n.tick++
	n.sinceLeader++
	n.elapsed++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.electionTimeout {
		n.retrySoon()
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
	if n.elapsed >= n.settings.HeartbeatTicks {
		n.elapsed = 0
		n.heartbeat()
	}
}

// quorumActive reports whether a majority was heard from within the shortest election timeout.
func (n *Node) quorumActive() bool {
	heard := quorum(n.voters(), func(member vwid.Member) uint64 {
		return n.valueOf(member, n.tick, func(p *Progress) uint64 { return p.heardTick })
	})
	return n.tick-heard < uint64(n.settings.ElectionTicks)
}

// valueOf returns own for this member itself and the value of the progress for another one.
func (n *Node) valueOf(member vwid.Member, own uint64, value func(*Progress) uint64) uint64 {
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

// resetTimer begins an election timeout, drawn so that members seldom stand for election at the same time.
func (n *Node) resetTimer() {
	n.elapsed = 0
	n.electionTimeout = n.settings.ElectionTicks + n.random.IntN(n.settings.ElectionTicks)
}

// retrySoon begins the shorter timeout of a member whose pre-vote leads to nothing. After an election that nobody
// won it would lead to the next one at once, so that takes the usual timeout.
func (n *Node) retrySoon() {
	n.elapsed = 0
	n.electionTimeout = n.settings.retryTicks() + n.random.IntN(n.settings.retryTicks()+1)
}

func (n *Node) becomeFollower(term Term, leader vwid.Member) {
	if n.role == RoleLeader {
		// The lease that this member could rely on ends with its leadership, so it may vote at once.
		n.sinceLeader = n.settings.ElectionTicks
	}
	if term != n.term {
		n.term, n.vote = term, ""
		// A leader of the new term may replace the entries that these replies acknowledge.
		n.afterSync = slices.DeleteFunc(n.afterSync, func(m Message) bool { return m.Kind == MessageAppendReply })
	}
	n.role, n.leader = RoleFollower, leader
	n.votes, n.progress, n.pending, n.roundTicks = nil, nil, nil, nil
	n.transferTarget, n.transferred, n.uncommitted = "", false, 0
	n.resetTimer()
}

// send queues a message that depends on nothing that is not yet synced.
func (n *Node) send(m Message) {
	m.From, m.Term = n.settings.Self, max(m.Term, n.term)
	n.messages = append(n.messages, m)
}

// sendAfterSync queues a message that must wait until the hard state and the entries are synced.
func (n *Node) sendAfterSync(m Message) {
	m.From, m.Term = n.settings.Self, max(m.Term, n.term)
	n.afterSync = append(n.afterSync, m)
}
