package vwevent

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Entry is one event of a time line.
type Entry struct {
	Event
	// At is the event's time on the reference clock.
	At time.Time
	// Cause is the index of the entry whose message caused this one, or -1.
	Cause int
}

// Timeline is the merged log of many processes. No entry precedes its cause or an earlier event of
// its own process.
type Timeline struct {
	Clocks  []Clock
	Entries []Entry
	// Contradictions counts the entries for which no such order exists, because of damaged logs.
	Contradictions int
}

// Merge merges the events of many processes. Events of one process must stand in their log's order.
func Merge(events []Event) Timeline {
	pairs := findPairs(events)
	clocks := estimateClocks(events, pairs)
	entries := correct(events, pairs, clocks)
	order, contradictions := sortCausally(entries)
	return Timeline{Clocks: clocks, Entries: reorder(entries, order), Contradictions: contradictions}
}

// Select returns the time line of one submission, with the clocks of the processes in it. Clocks
// and order are those of the whole.
func (t Timeline) Select(submission vwid.SubmissionID) Timeline {
	selected := Timeline{Contradictions: t.Contradictions}
	moved, present := map[int]int{-1: -1}, map[Source]bool{}
	for index, entry := range t.Entries {
		if entry.SubmissionID != submission {
			continue
		}
		moved[index] = len(selected.Entries)
		present[entry.Source] = true
		cause, ok := moved[entry.Cause]
		if !ok {
			cause = -1
		}
		entry.Cause = cause
		selected.Entries = append(selected.Entries, entry)
	}
	for _, clock := range t.Clocks {
		if present[clock.Source] {
			selected.Clocks = append(selected.Clocks, clock)
		}
	}
	return selected
}

func correct(events []Event, pairs []pair, clocks []Clock) []Entry {
	offsets := make(map[Source]time.Duration, len(clocks))
	for _, clock := range clocks {
		offsets[clock.Source] = clock.Offset
	}
	entries := make([]Entry, len(events))
	for index, event := range events {
		entries[index] = Entry{Event: event, At: event.Time.Add(-offsets[event.Source]), Cause: -1}
	}
	for _, p := range pairs {
		entries[p.effect].Cause = p.cause
	}
	return entries
}

// sortCausally orders the entries by time as far as causes permit.
func sortCausally(entries []Entry) (order []int, contradictions int) {
	graph := makeGraph(entries)
	order = make([]int, 0, len(entries))
	for len(order) < len(entries) {
		if graph.ready.Len() == 0 {
			graph.force()
			contradictions++
		}
		index, _ := heap.Pop(&graph.ready).(int)
		order = append(order, index)
		graph.release(index)
	}
	return order, contradictions
}

// graph holds what each entry waits for.
type graph struct {
	ready   readyHeap
	effects [][]int
	waiting []int
	taken   []bool
	byTime  []int
}

func makeGraph(entries []Entry) *graph {
	g := &graph{
		ready:   readyHeap{entries: entries},
		effects: make([][]int, len(entries)),
		waiting: make([]int, len(entries)),
		taken:   make([]bool, len(entries)),
	}
	last := map[Source]int{}
	for index, entry := range entries {
		if previous, ok := last[entry.Source]; ok {
			g.effects[previous] = append(g.effects[previous], index)
			g.waiting[index]++
		}
		last[entry.Source] = index
		if entry.Cause >= 0 {
			g.effects[entry.Cause] = append(g.effects[entry.Cause], index)
			g.waiting[index]++
		}
	}
	for index := range entries {
		g.byTime = append(g.byTime, index)
		if g.waiting[index] == 0 {
			g.take(index)
		}
	}
	slices.SortFunc(g.byTime, func(a, b int) int { return compareEntries(entries, a, b) })
	return g
}

func (g *graph) take(index int) {
	g.taken[index] = true
	heap.Push(&g.ready, index)
}

func (g *graph) release(index int) {
	for _, effect := range g.effects[index] {
		g.waiting[effect]--
		if g.waiting[effect] == 0 && !g.taken[effect] {
			g.take(effect)
		}
	}
}

// force takes the earliest entry of a cycle.
func (g *graph) force() {
	for len(g.byTime) > 0 {
		index := g.byTime[0]
		g.byTime = g.byTime[1:]
		if !g.taken[index] {
			g.take(index)
			return
		}
	}
}

// readyHeap is a heap of indexes of entries by time.
type readyHeap struct {
	entries []Entry
	indexes []int
}

// Len implements heap.Interface.
func (h *readyHeap) Len() int { return len(h.indexes) }

// Less implements heap.Interface.
func (h *readyHeap) Less(a, b int) bool {
	return compareEntries(h.entries, h.indexes[a], h.indexes[b]) < 0
}

// Swap implements heap.Interface.
func (h *readyHeap) Swap(a, b int) { h.indexes[a], h.indexes[b] = h.indexes[b], h.indexes[a] }

// Push implements heap.Interface.
func (h *readyHeap) Push(index any) {
	number, _ := index.(int)
	h.indexes = append(h.indexes, number)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(h.indexes) - 1
	index := h.indexes[last]
	h.indexes = h.indexes[:last]
	return index
}

func compareEntries(entries []Entry, a, b int) int {
	return cmp.Or(entries[a].At.Compare(entries[b].At), cmp.Compare(entries[a].Process, entries[b].Process), cmp.Compare(a, b))
}

func reorder(entries []Entry, order []int) []Entry {
	position := make([]int, len(order))
	for place, index := range order {
		position[index] = place
	}
	sorted := make([]Entry, len(order))
	for place, index := range order {
		sorted[place] = entries[index]
		if sorted[place].Cause >= 0 {
			sorted[place].Cause = position[sorted[place].Cause]
		}
	}
	return sorted
}
