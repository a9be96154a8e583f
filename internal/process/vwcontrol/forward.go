package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// forward is a request that was forwarded to the leader and waits for the reply.
type forward struct {
	to       vwid.Member
	deadline time.Time
	answer   Answer
	// verdict is the verdict of the error if no reply arrives.
	verdict vwverdict.Verdict
}

// forwards holds the forwarded requests by the call number of their envelope.
type forwards struct {
	last    uint64
	waiting map[uint64]forward
}

func makeForwards() forwards {
	return forwards{waiting: map[uint64]forward{}}
}

func (f *forwards) add(fwd forward) uint64 {
	f.last++
	f.waiting[f.last] = fwd
	return f.last
}

// reply answers the forwarded request that a reply belongs to.
func (f *forwards) reply(from vwid.Member, call uint64, body vwmessage.Body) {
	fwd, ok := f.waiting[call]
	// Call numbers start again after a restart, so a late reply to an earlier call may have a number in use.
	if !ok || fwd.to != from {
		return
	}
	delete(f.waiting, call)
	if failure, failed := body.(*vwmessage.Failure); failed {
		fwd.answer(nil, errorOf(failure))
		return
	}
	fwd.answer(body, nil)
}

// failStale fails the requests to members other than the current leader.
func (f *forwards) failStale(leader vwraft.Voter) {
	for call, fwd := range f.waiting {
		if fwd.to != leader.Member {
			f.fail(call, ErrNotLeader{Leader: leader})
		}
	}
}

func (f *forwards) expire(now time.Time) {
	for call, fwd := range f.waiting {
		if now.After(fwd.deadline) {
			f.fail(call, ErrNotLeader{})
		}
	}
}

func (f *forwards) failAll(cause error) {
	for call := range f.waiting {
		f.fail(call, cause)
	}
}

func (f *forwards) fail(call uint64, cause error) {
	fwd := f.waiting[call]
	delete(f.waiting, call)
	fwd.answer(nil, vwverdict.Wrap(fwd.verdict, cause))
}
