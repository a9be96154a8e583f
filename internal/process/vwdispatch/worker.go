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

// workerState is a worker with the credits that the queue holds from it.
type workerState struct {
	Worker
	service *serviceQueue
	credits int
	out     bool
	ring    *workerRing
	near    bool
	health  health
	// told is how many credits the agent is asked for and has not granted.
	told     int
	mistaken bool
	// refreshed is when the agent was last told what waits in a deep backlog.
	refreshed time.Time
	next      *workerState
	prev      *workerState
}

func (w *workerState) usable() bool {
	return w.credits > 0 && !w.blocked()
}

// blocked reports whether no task may be sent to w, whatever credits are held.
func (w *workerState) blocked() bool {
	return w.out || w.health.blocked()
}

// workerRing lists the workers of which a credit can be used, in the order of use.
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
