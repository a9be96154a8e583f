package vwdispatch

// heap is a binary min-heap ordered by before.
type heap[T any] struct {
	items  []T
	before func(a, b T) bool
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) top() T {
	return h.items[0]
}

func (h *heap[T]) pop() T {
	first, last := h.items[0], len(h.items)-1
	h.items[0] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.down(0)
	return first
}

// retain drops the items for which keep is false and restores the order.
func (h *heap[T]) retain(keep func(T) bool) {
	kept := h.items[:0]
	for _, item := range h.items {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	clear(h.items[len(kept):])
	h.items = kept
	for i := len(kept)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		least := 2*i + 1
		if least >= len(h.items) {
			return
		}
		if right := least + 1; right < len(h.items) && h.before(h.items[right], h.items[least]) {
			least = right
		}
		if !h.before(h.items[least], h.items[i]) {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
