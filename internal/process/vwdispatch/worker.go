package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Worker describes a worker to the queue.
type Worker struct {
	Incarnation vwid.Incarnation
	Process     vwid.Process
	Service     vwid.Service
	DataCentre  vwid.DataCentre
	Rack        vwid.Rack
	Slots       int
}

// workerState is a worker and the state that the queue keeps for it, such as its unused credits.
type workerState struct {
	Worker
	service      *serviceQueue
	credits      int
	outOfService bool
	ring         *workerRing
	local        bool
	health       health
	// requestedCredits is how many credits the entry requested from the agent and has not received.
	requestedCredits int
	// staleDemand reports whether the worker is in serviceQueue.staleDemandWorkers.
	staleDemand bool
	// lastRefresh is when a report was last sent to the agent because of a deep backlog.
	lastRefresh time.Time
	next        *workerState
	prev        *workerState
}

func (w *workerState) usable() bool {
	return w.credits > 0 && !w.blocked()
}

// blocked reports whether no task may be sent to w, even with credits.
func (w *workerState) blocked() bool {
	return w.outOfService || w.health.blocked()
}

// workerRing is a circular list of the workers with a usable credit, in the order of use.
type workerRing struct {
	head *workerState
}

func (r *workerRing) add(w *workerState) {
	w.ring = r
	if r.head == nil {
		r.head, w.next, w.prev = w, w, w
		return
	}
	last := r.head.prev
	last.next, w.prev, w.next, r.head.prev = w, last, r.head, w
}

func (r *workerRing) remove(w *workerState) {
	w.prev.next, w.next.prev = w.next, w.prev
	if r.head == w {
		r.head = w.next
	}
	if w.next == w {
		r.head = nil
	}
	w.ring, w.next, w.prev = nil, nil, nil
}
