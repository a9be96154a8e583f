// Package vwspread decides which callers of an entry are told to connect again, because more entries take new connections
// than when they connected.
package vwspread

import (
	"slices"
	"time"
)

const (
	// spreadTime is the least time over which the callers of an entry leave after more entries have come into rotation.
	// They connect again elsewhere in that time, and the processor of an entry is small.
	spreadTime = 500 * time.Millisecond
	// viewValidity is how long a view is used: three renewals of the lease that brings it. An entry that is cut off, or
	// was frozen, sends nobody away by an older one.
	viewValidity = 1500 * time.Millisecond
	// noticeTime is how long after an entry has gone the others see it, at most: its last report counts for 1.5 s, and then
	// the next renewal tells them.
	noticeTime = 2 * time.Second
	// maxChanges bounds the changes that are kept. Callers that connected before them stay.
	maxChanges = 64
)

// Rotation tells which entries get new connections, as one entry sees it. Both numbers count the entry itself.
type Rotation struct {
	// Near is the number of entries in rotation in the entry's own data centre.
	Near int
	// DataCentres is the number of data centres with an entry in rotation.
	DataCentres int
}

// alone is the rotation that an entry assumes until it has a view.
var alone = Rotation{Near: 1, DataCentres: 1}

// isSmallerThan reports whether the balancer gives some callers another entry under a later rotation: those of the entry's
// own data centre are shared with the entries there, and those of data centres without an entry went to the others.
func (r Rotation) isSmallerThan(later Rotation) bool {
	return r.Near < later.Near || r.DataCentres < later.DataCentres
}

// change is a rotation that holds from a time on.
type change struct {
	from     time.Time
	rotation Rotation
}

// Spread is the recent history of the rotation. It is immutable.
//
// The load that it answers: after a loss of power of all machines, the balancer gives all connections to the entry that is
// ready first, since no other is in rotation; one of twelve then had half of the jobs and refused a seventh of them up to
// the end of the day, while the others refused none. A balancer that forwards by a hash of the caller brings a caller that
// connects again to the same entry as long as the rotation is the same, so callers leave only after it has grown, once each.
// Those that connected before an entry went stay when it comes back. In a calm cluster nobody leaves.
type Spread struct {
	changes []change
	// grownAt is when the rotation last grew, and seenAt when it was last seen.
	grownAt time.Time
	seenAt  time.Time
}

// Make returns the Spread of an entry that starts now and knows of no other entry.
func Make(now time.Time) *Spread {
	return &Spread{changes: []change{{from: now, rotation: alone}}}
}

// Observe returns the Spread after a view of the rotation. A view without entries is unknown and changes nothing.
func (s *Spread) Observe(now time.Time, rotation Rotation) *Spread {
	if rotation.Near < 1 || rotation.DataCentres < 1 {
		return s
	}
	next := *s
	next.seenAt = now
	last := s.Current()
	if rotation == last {
		return &next
	}
	if last.isSmallerThan(rotation) {
		next.grownAt = now
	}
	from := now
	if rotation.isSmallerThan(last) {
		// The callers of an entry that has gone connect again at once, and so before that is seen.
		from = now.Add(-noticeTime)
		if latest := s.changes[len(s.changes)-1].from; latest.After(from) {
			from = latest
		}
	}
	first := max(len(s.changes)+1-maxChanges, 0)
	next.changes = append(slices.Clone(s.changes[first:]), change{from: from, rotation: rotation})
	return &next
}

// Expire returns the Spread without a recent view, as after a suspension of the machine, which the clock does not show.
func (s *Spread) Expire() *Spread {
	next := *s
	next.seenAt = time.Time{}
	return &next
}

// Current returns the last known rotation.
func (s *Spread) Current() Rotation {
	return s.changes[len(s.changes)-1].rotation
}

// Age returns how old the view is, and false if there was none.
func (s *Spread) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(s.seenAt), !s.seenAt.IsZero()
}

// GrownAt returns when the rotation last grew.
func (s *Spread) GrownAt() time.Time {
	return s.grownAt
}

// Caller is a connection of a caller.
type Caller struct {
	ConnectedAt time.Time
	// Draw is a number from 0 to 1 that is drawn once for the connection.
	Draw float64
}

// ShouldLeave reports whether a caller should connect again: all that connected under a smaller rotation do, in the order of
// their draws. Which of them belong to another entry only the balancer knows, and the others come back.
func (s *Spread) ShouldLeave(now time.Time, c Caller) bool {
	if c.ConnectedAt.After(s.grownAt) || now.Sub(s.seenAt) > viewValidity {
		return false
	}
	begun := float64(now.Sub(s.grownAt)) / float64(spreadTime)
	return c.Draw < begun && s.rotationAt(c.ConnectedAt).isSmallerThan(s.Current())
}

// rotationAt returns the rotation at a time, and the current one for a time before the history.
func (s *Spread) rotationAt(at time.Time) Rotation {
	for _, c := range slices.Backward(s.changes) {
		if !c.from.After(at) {
			return c.rotation
		}
	}
	return s.Current()
}
