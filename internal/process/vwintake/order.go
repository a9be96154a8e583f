package vwintake

// order is a list whose elements are their own places, so that they are added and removed without an allocation.
type order[T any] struct {
	oldest, newest *place[T]
	size           int
}

// place is the place of an element in an order.
type place[T any] struct {
	element       T
	before, after *place[T]
	listed        bool
}

// append puts a place that is not listed at the end.
func (o *order[T]) append(p *place[T]) {
	p.before, p.after, p.listed = o.newest, nil, true
	if o.newest == nil {
		o.oldest = p
	} else {
		o.newest.after = p
	}
	o.newest = p
	o.size++
}

// remove takes a place off the list. It does nothing if the place is not listed.
func (o *order[T]) remove(p *place[T]) {
	if !p.listed {
		return
	}
	if p.before == nil {
		o.oldest = p.after
	} else {
		p.before.after = p.after
	}
	if p.after == nil {
		o.newest = p.before
	} else {
		p.after.before = p.before
	}
	p.before, p.after, p.listed = nil, nil, false
	o.size--
}
