package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// read is a linearizable read. It waits until the log confirms the leadership, and then until the entries up to
// readIndex are applied.
type read struct {
	deadline     time.Time
	hasReadIndex bool
	readIndex    vwraft.Index
	// finish is called once, with an error if the read cannot be answered.
	finish func(err error)
}

// reads holds the waiting reads by the id that is passed to the log.
type reads struct {
	last    uint64
	waiting map[uint64]read
}

func makeReads() reads {
	return reads{waiting: map[uint64]read{}}
}

func (r *reads) add(rd read) uint64 {
	r.last++
	r.waiting[r.last] = rd
	return r.last
}

// setReadIndexes stores the indexes of the reads for which the log has confirmed the leadership.
func (r *reads) setReadIndexes(states []vwraft.ReadState) {
	for _, state := range states {
		if rd, ok := r.waiting[state.ID]; ok {
			rd.hasReadIndex, rd.readIndex = true, state.Index
			r.waiting[state.ID] = rd
		}
	}
}

// finishApplied finishes the reads whose entries up to readIndex are applied.
func (r *reads) finishApplied(applied vwraft.Index) {
	for id, rd := range r.waiting {
		if rd.hasReadIndex && rd.readIndex <= applied {
			delete(r.waiting, id)
			rd.finish(nil)
		}
	}
}

// failNotLeader fails all reads after a change of the leadership, because the log has dropped them.
func (r *reads) failNotLeader(leader vwraft.Voter) {
	r.failAll(vwverdict.Wrap(vwverdict.NotRun, ErrNotLeader{Leader: leader}))
}

func (r *reads) failAll(err error) {
	for id, rd := range r.waiting {
		delete(r.waiting, id)
		rd.finish(err)
	}
}

func (r *reads) expire(now time.Time) {
	for id, rd := range r.waiting {
		if now.After(rd.deadline) {
			delete(r.waiting, id)
			rd.finish(vwverdict.Errorf(vwverdict.NotRun, "no quorum has answered in time"))
		}
	}
}
