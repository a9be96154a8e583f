package vwraft

import (
	"errors"

	"github.com/gravitational/trace"
)

var (
	// ErrBusy means that the uncommitted entries have reached their bound. The proposal is not in the log.
	ErrBusy = errors.New("too many uncommitted entries")
	// ErrTransferring means that the leader is handing its leadership over. The proposal is not in the log.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrChangePending means that an earlier membership change is not yet committed.
	ErrChangePending = errors.New("another membership change is not yet committed")
	// ErrNotCaughtUp means that a learner lacks entries and may not vote yet.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
)

// ErrNotLeader means that this member does not lead. Leader is empty when no leader is known.
type ErrNotLeader struct{ Leader Voter }

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader.Member == "" {
		return "not the leader; no leader is known"
	}
	return trace.Errorf("not the leader; the leader is %s at %s", e.Leader.Member, e.Leader.Address).Error()
}

// IsNotLeader reports whether err is an ErrNotLeader, and returns the leader that it names.
func IsNotLeader(err error) (Voter, bool) {
	var found ErrNotLeader
	ok := errors.As(err, &found)
	return found.Leader, ok
}
