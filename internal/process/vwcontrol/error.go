package vwcontrol

import (
	"errors"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// ErrNotLeader means that the member is not, or no longer, the leader. Its verdict is NotRun if the command is not in
// the log and never will be, and MayHaveRun if it may still be committed.
type ErrNotLeader = vwraft.ErrNotLeader

// IsNotLeader reports whether err is an ErrNotLeader, and returns the leader that it contains.
func IsNotLeader(err error) (vwraft.Voter, bool) {
	return vwraft.IsNotLeader(err)
}

// ErrStopped means that the member has stopped.
var ErrStopped = errors.New("the control member has stopped")

// IsStopped reports whether err is ErrStopped.
func IsStopped(err error) bool {
	return errors.Is(err, ErrStopped)
}

// failureOf returns the message that transmits err to another process.
func failureOf(err error) *vwmessage.Failure {
	failure := &vwmessage.Failure{Verdict: vwverdict.Of(err), Code: vwlink.CodeRefused, Message: err.Error()}
	if leader, ok := IsNotLeader(err); ok {
		failure.Code, failure.Leader = vwlink.CodeNotLeader, leader.Address
	}
	return failure
}

// errorOf returns the error that a received failure represents.
func errorOf(failure *vwmessage.Failure) error {
	if failure.Code == vwlink.CodeNotLeader {
		return vwverdict.Wrap(failure.Verdict, ErrNotLeader{Leader: vwraft.Voter{Address: failure.Leader}})
	}
	return vwverdict.Wrap(failure.Verdict, trace.Errorf("%s", failure.Message))
}
