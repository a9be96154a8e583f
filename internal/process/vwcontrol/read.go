package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// read waits for the permission of the log and then for the entries up to index.
type read struct {
	deadline time.Time
	released bool
	index    vwraft.Index
	// finish is called once, with the reason when the read cannot be answered.
	finish func(err error)
}

// reads are keyed by the id that the log returns.
type reads struct {
	last    uint64
	waiting map[uint64]read
}

func makeReads() reads {
	return reads{waiting: map[uint64]read{}}
}

func (r *reads) add(one read) uint64 {
	r.last++
	r.waiting[r.last] = one
	return r.last
}

func (r *reads) release(states []vwraft.ReadState) {
	for _, state := range states {
		if one, ok := r.waiting[state.ID]; ok {
			one.released, one.index = true, state.Index
			r.waiting[state.ID] = one
		}
	}
}

// answer finishes the released reads whose entries are applied.
func (r *reads) answer(applied vwraft.Index) {
	for id, one := range r.waiting {
		if one.released && one.index <= applied {
			delete(r.waiting, id)
			one.finish(nil)
		}
	}
}

// fail ends all reads after a change of the leadership, since the log has dropped them.
func (r *reads) fail(leader vwraft.Voter) {
	r.failAll(vwverdict.Wrap(vwverdict.NotRun, ErrNotLeader{Leader: leader}))
}

func (r *reads) failAll(err error) {
	for id, one := range r.waiting {
		delete(r.waiting, id)
		one.finish(err)
	}
}

func (r *reads) expire(now time.Time) {
	for id, one := range r.waiting {
		if now.After(one.deadline) {
			delete(r.waiting, id)
			one.finish(vwverdict.Errorf(vwverdict.NotRun, "no quorum has answered in time"))
		}
	}
}
