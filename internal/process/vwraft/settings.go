package vwraft

import (
	"math/rand/v2"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Settings are the fixed parameters of a Node.
type Settings struct {
	Self vwid.Member
	// ElectionTicks is the shortest election timeout; each timeout is drawn from [ElectionTicks, 2*ElectionTicks).
	// A member repeats an unsuccessful pre-vote after a quarter to a half of ElectionTicks. After a message from a leader a member
	// refuses votes for ElectionTicks.
	ElectionTicks int
	// ReadsByQuorum makes each read wait for a quorum round. Without it the leader answers reads under a lease. The
	// lease requires a restarted member to refuse votes for ElectionTicks, which delays the first election by that time
	// after a restart of all members.
	ReadsByQuorum bool
	// HeartbeatTicks is the interval between heartbeats of the leader.
	HeartbeatTicks int
	// MaxBatchBytes bounds the data of the entries of one append, and the size of the chunk of one snapshot message.
	MaxBatchBytes int
	// MaxBatchEntries bounds the number of entries of one append and of one Ready's committed entries.
	MaxBatchEntries int
	// MaxInflight bounds the unacknowledged appends to one member.
	MaxInflight int
	// MaxUncommittedBytes bounds the data of uncommitted entries at the leader.
	MaxUncommittedBytes int
	// TrailingEntries is how many entries before a snapshot stay in memory for members that lag a little, and
	// TrailingBytes bounds their size. Members that lag more are sent the snapshot.
	TrailingEntries Index
	TrailingBytes   int
	// MaxPromotionLag is the largest number of entries that a learner may lack when it becomes a voter.
	MaxPromotionLag Index
	// Random is the source of the election timeouts.
	Random rand.Source
}

// DefaultSettings returns settings for ticks of 50 ms: heartbeats every 100 ms and election
// timeouts of 500 ms to 1 s, which yield a new leader within about 1.5 s.
func DefaultSettings(self vwid.Member, random rand.Source) Settings {
	return Settings{
		Self:                self,
		ElectionTicks:       10,
		HeartbeatTicks:      2,
		MaxBatchBytes:       256 << 10,
		MaxBatchEntries:     1024,
		MaxInflight:         32,
		MaxUncommittedBytes: 16 << 20,
		TrailingEntries:     1000,
		TrailingBytes:       4 << 20,
		MaxPromotionLag:     16,
		Random:              random,
	}
}

func (s Settings) validate() error {
	switch {
	case s.Self == "":
		return trace.BadParameter("Self is empty")
	case s.HeartbeatTicks < 1 || s.ElectionTicks < 3*s.HeartbeatTicks:
		// Two lost heartbeats in a row must not start an election.
		return trace.BadParameter("ElectionTicks (%d) must be at least three times HeartbeatTicks (%d)", s.ElectionTicks, s.HeartbeatTicks)
	case s.MaxBatchBytes < 1 || s.MaxBatchEntries < 1 || s.MaxInflight < 1 || s.MaxUncommittedBytes < 1:
		return trace.BadParameter("batch, inflight and uncommitted bounds must be positive")
	case s.Random == nil:
		return trace.BadParameter("Random is nil")
	}
	return nil
}

// preVoteRetryTicks is the shortest time between two pre-votes of a member without a leader. A pre-vote disturbs no
// other member, and while members restart one by one the first that can win should not wait.
func (s Settings) preVoteRetryTicks() int {
	return max(s.ElectionTicks/4, 1)
}

// leaseTicks is how long the lease lasts from the start of a quorum round. Members refuse votes for ElectionTicks. The
// lease is a quarter shorter: one tick because the receiver's count of ticks may be up to one tick ahead, the rest for
// clocks with different rates.
func (s Settings) leaseTicks() uint64 {
	return uint64(s.ElectionTicks * 3 / 4)
}
