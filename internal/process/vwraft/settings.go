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
	// A member that asks whether it could win, and could not, asks again after a quarter to a half of it.
	// A member that heard from a leader refuses votes for ElectionTicks.
	ElectionTicks int
	// ReadsByQuorum makes each read wait for a quorum round. Without it the leader answers under a lease, for which
	// a member that has just restarted must refuse votes for ElectionTicks, so that a restart of all members
	// takes that much longer.
	ReadsByQuorum bool
	// HeartbeatTicks is the interval between heartbeats of the leader.
	HeartbeatTicks int
	// MaxBatchBytes bounds the entries of one append and the chunk of one snapshot message.
	MaxBatchBytes int
	// MaxBatchEntries bounds the number of entries of one append and of one Ready's committed entries.
	MaxBatchEntries int
	// MaxInflight bounds the unacknowledged appends to one member.
	MaxInflight int
	// MaxUncommittedBytes bounds the data of uncommitted entries at the leader.
	MaxUncommittedBytes int
	// Trailing is how many entries before a snapshot stay in memory for members that lag a little, and TrailingBytes
	// bounds their size. Members that lag more get the snapshot.
	Trailing      Index
	TrailingBytes int
	// CaughtUp is the largest number of entries that a learner may lack when it becomes a voter.
	CaughtUp Index
	// Random draws the election timeouts.
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
		Trailing:            1000,
		TrailingBytes:       4 << 20,
		CaughtUp:            16,
		Random:              random,
	}
}

func (s Settings) check() error {
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

// retryTicks is the shortest time between two pre-votes of a member without a leader. They disturb nobody, and while
// members come back one by one the first that can win should not wait.
func (s Settings) retryTicks() int {
	return max(s.ElectionTicks/4, 1)
}

// leaseTicks is how long after the start of a quorum round the leader may rely on it. Members
// refuse votes for ElectionTicks, of which the position within a tick takes one; the rest of the
// quarter covers clocks that run at different rates.
func (s Settings) leaseTicks() uint64 {
	return uint64(s.ElectionTicks * 3 / 4)
}
