package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// forward is a request that was sent on to the leader.
type forward struct {
	to       vwid.Member
	deadline time.Time
	answer   Answer
	// verdict is that of the request when no reply comes.
	verdict vwverdict.Verdict
}

// forwards are keyed by the call number of their envelope.
type forwards struct {
	last    uint64
	waiting map[uint64]forward
}

func makeForwards() forwards {
	return forwards{waiting: map[uint64]forward{}}
}

func (f *forwards) add(one forward) uint64 {
	f.last++
	f.waiting[f.last] = one
	return f.last
}

func (f *forwards) reply(from vwid.Member, call uint64, body vwmessage.Body) {
	one, ok := f.waiting[call]
	// A member that restarted counts its calls anew, so a late reply may carry a number in use.
	if !ok || one.to != from {
		return
	}
	delete(f.waiting, call)
	if failure, failed := body.(*vwmessage.Failure); failed {
		one.answer(nil, errorOf(failure))
		return
	}
	one.answer(body, nil)
}

// follow ends the requests to a member that is not the leader any more.
func (f *forwards) follow(leader vwraft.Voter) {
	for call, one := range f.waiting {
		if one.to != leader.Member {
			f.fail(call, ErrNotLeader{Leader: leader})
		}
	}
}

func (f *forwards) expire(now time.Time) {
	for call, one := range f.waiting {
		if now.After(one.deadline) {
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
	one := f.waiting[call]
	delete(f.waiting, call)
	one.answer(nil, vwverdict.Wrap(one.verdict, cause))
}
