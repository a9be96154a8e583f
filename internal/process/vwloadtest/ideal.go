package vwloadtest

import (
	"container/heap"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
)

// idealSlot is one slot of the ideal system.
type idealSlot struct {
	free time.Time
	// closed are the spans in which the slot must not start anything, in the order of their begin.
	closed []vwstandin.Span
}

// idealTask is a task of the ideal system.
type idealTask struct {
	arrival time.Time
	run     time.Duration
}

// served is when the ideal system runs a task.
type served struct {
	begin, end time.Time
}

// serve runs tasks, which are in the order of their arrival, through one work-conserving queue over
// all slots: first come first served, without knowledge of the future. A task that no slot ever
// takes gets a zero result.
func serve(slots []idealSlot, tasks []idealTask) []served {
	queue := slotHeap(append([]idealSlot(nil), slots...))
	heap.Init(&queue)
	results := make([]served, len(tasks))
	for index, task := range tasks {
		begin, ok := queue.next(task.arrival)
		if !ok {
			continue
		}
		results[index] = served{begin: begin, end: begin.Add(task.run)}
		queue[0].free = results[index].end
		heap.Fix(&queue, 0)
	}
	return results
}

// slotHeap orders slots by the time at which they can start something.
type slotHeap []idealSlot

// next returns the earliest time not before arrival at which the first slot of the heap can start.
func (h *slotHeap) next(arrival time.Time) (time.Time, bool) {
	for len(*h) > 0 {
		first := &(*h)[0]
		ready := first.free
		if ready.Before(arrival) {
			ready = arrival
		}
		open, ok := first.reopen(ready)
		if !ok {
			heap.Pop(h)
			continue
		}
		if open.Equal(ready) {
			return ready, true
		}
		first.free = open
		heap.Fix(h, 0)
	}
	return time.Time{}, false
}

// reopen returns the first time not before at in which the slot is not closed.
func (s idealSlot) reopen(at time.Time) (time.Time, bool) {
	for _, span := range s.closed {
		if at.Before(span.Begin) {
			continue
		}
		if span.End.IsZero() {
			return time.Time{}, false
		}
		if at.Before(span.End) {
			at = span.End
		}
	}
	return at, true
}

// Len implements heap.Interface.
func (h slotHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h slotHeap) Less(a, b int) bool { return h[a].free.Before(h[b].free) }

// Swap implements heap.Interface.
func (h slotHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *slotHeap) Push(slot any) {
	pushed, _ := slot.(idealSlot)
	*h = append(*h, pushed)
}

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := len(*h) - 1
	slot := (*h)[last]
	*h = (*h)[:last]
	return slot
}
