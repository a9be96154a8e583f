package vwraft

import (
	"errors"

	"github.com/gravitational/trace"
)

var (
	// ErrBusy means that the uncommitted entries or the pending reads have reached their limit. The proposal is not
	// in the log, and the read is not pending.
	ErrBusy = errors.New("too many uncommitted entries")
	// ErrTransferring means that a leadership transfer is in progress. The proposal is not in the log.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrChangePending means that an earlier membership change is not yet committed.
	ErrChangePending = errors.New("another membership change is not yet committed")
	// ErrNotCaughtUp means that a learner lacks too many entries to be promoted to a voter.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
)

// ErrNotLeader means that this member is not the leader. Leader is empty when no leader is known.
type ErrNotLeader struct{ Leader Voter }

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader.Member == "" {
		return "not the leader; no leader is known"
	}
	return trace.Errorf("not the leader; the leader is %s at %s", e.Leader.Member, e.Leader.Address).Error()
}

// IsNotLeader reports whether err wraps an ErrNotLeader, and returns the leader from it.
func IsNotLeader(err error) (Voter, bool) {
	var found ErrNotLeader
	ok := errors.As(err, &found)
	return found.Leader, ok
}
