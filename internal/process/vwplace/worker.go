package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// Worker describes a worker and the agent beside it.
type Worker struct {
	// Incarnation is that of the agent.
	Incarnation vwid.Incarnation
	Process     vwid.Process
	DataCentre  vwid.DataCentre
	Service     vwid.Service
	Labels      []string
	Capacity    vwresource.Amount
	// Settle is how long runs may go on after the link to the agent was lost.
	Settle time.Duration
}

// sentTask is a task that an agent may not have counted yet.
type sentTask struct {
	number uint64
	needs  vwresource.Amount
}

// worker is a worker as the queue sees it.
type worker struct {
	Worker
	near bool
	// linked tells that messages reach the agent now.
	linked bool
	// settleAt is when the runs at an agent without a link have certainly ended.
	settleAt time.Time
	load     vwmessage.Load
	// sent counts the tasks sent over the present link, and unseen lists those that load does not cover.
	sent   uint64
	unseen []sentTask
	// running are the tasks at the worker.
	running map[*job]int
	// wanted is what the agent was told last.
	wanted   want
	wantedAt time.Time
}

// usable reports whether tasks may be sent to the worker.
func (w *worker) usable() bool {
	return w.linked && w.load.Accepting
}

// free returns the room that the agent has for this entry, less what was sent since it told.
func (w *worker) free() vwresource.Amount {
	free := w.load.Free
	for i := range w.unseen {
		free = free.Minus(w.unseen[i].needs)
	}
	return free
}

// takeLoad replaces what is known of the worker.
func (w *worker) takeLoad(load vwmessage.Load) {
	if load.Received < w.load.Received {
		// The messages of one link keep their order, so this one is of an earlier link.
		return
	}
	w.load = load
	w.unseen = slices.DeleteFunc(w.unseen, func(s sentTask) bool { return s.number <= load.Received })
}

// take notes that a task is sent.
func (w *worker) take(j *job) {
	w.sent++
	w.unseen = append(w.unseen, sentTask{number: w.sent, needs: j.Needs})
	w.running[j]++
}

// leave notes that a task is no longer at the worker.
func (w *worker) leave(j *job) {
	if w.running[j]--; w.running[j] <= 0 {
		delete(w.running, j)
	}
}

func (w *worker) has(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// slowdown returns by how much the worker is slower than expected.
func (w *worker) slowdown() float64 {
	return max(w.load.Slowdown, slowdownFloor)
}
