package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// reservationTime is how long capacity stays reserved for an entry after the agent has notified it: a round trip between
// data centres plus the time that a busy entry needs to handle a message.
const reservationTime = 25 * time.Millisecond

// Share reserves the free capacity of one worker for the entries with waiting tasks.
type Share struct {
	demands []*entryDemand
}

// entryDemand describes the waiting tasks of one entry and the capacity reserved for it.
type entryDemand struct {
	entry       vwid.Incarnation
	tasks       int
	needs       vwresource.Amount
	startBefore time.Time
	// reservation is capacity that only this entry may use until reservedUntil.
	reservation   vwresource.Amount
	reservedUntil time.Time
}

// SetWant records the demand of an entry. A demand without tasks releases the entry's reservation.
func (s *Share) SetWant(now time.Time, entry vwid.Incarnation, want *vwmessage.Want) {
	d := s.find(entry)
	if d == nil {
		d = &entryDemand{entry: entry}
		s.demands = append(s.demands, d)
	}
	d.tasks, d.needs = want.Tasks, want.Needs
	d.startBefore = now.Add(time.Duration(want.WithinMilliseconds) * time.Millisecond)
	if d.tasks == 0 {
		d.reservation = vwresource.Amount{}
	}
}

// Remove deletes the demand and the reservation of an entry.
func (s *Share) Remove(entry vwid.Incarnation) {
	s.demands = slices.DeleteFunc(s.demands, func(d *entryDemand) bool { return d.entry == entry })
}

// FreeFor returns the part of free that an entry may use: all but the reservations of other entries.
func (s *Share) FreeFor(now time.Time, entry vwid.Incarnation, free vwresource.Amount) vwresource.Amount {
	for _, d := range s.demands {
		if d.entry != entry && now.Before(d.reservedUntil) {
			free = free.Minus(d.reservation)
		}
	}
	return free
}

// KeptFor returns the capacity that is reserved for an entry.
func (s *Share) KeptFor(now time.Time, entry vwid.Incarnation) vwresource.Amount {
	if d := s.find(entry); d != nil && now.Before(d.reservedUntil) {
		return d.reservation
	}
	return vwresource.Amount{}
}

// Used deducts a task that an entry has started from the entry's demand and reservation.
func (s *Share) Used(entry vwid.Incarnation, needs vwresource.Amount) {
	d := s.find(entry)
	if d == nil {
		return
	}
	d.tasks = max(0, d.tasks-1)
	d.reservation = d.reservation.Minus(needs)
	if !d.reservation.Valid() {
		d.reservation = vwresource.Amount{}
	}
}

// Keep drops expired reservations, reserves the rest of free for the entries with demand, the most urgent first, and
// returns the entries to notify of a new reservation.
func (s *Share) Keep(now time.Time, free vwresource.Amount) []vwid.Incarnation {
	for _, d := range s.demands {
		if now.Before(d.reservedUntil) {
			free = free.Minus(d.reservation)
		} else {
			d.reservation = vwresource.Amount{}
		}
	}
	var notify []vwid.Incarnation
	for {
		d := s.mostUrgent(now, free)
		if d == nil {
			return notify
		}
		count := d.needs.CountIn(free, d.tasks)
		d.reservation, d.reservedUntil = d.needs.Times(count), now.Add(reservationTime)
		free = free.Minus(d.reservation)
		notify = append(notify, d.entry)
	}
}

// mostUrgent returns the most urgent demand of which a task fits in free, or nil. It skips entries whose last reservation
// has not expired.
func (s *Share) mostUrgent(now time.Time, free vwresource.Amount) *entryDemand {
	var best *entryDemand
	for _, d := range s.demands {
		if d.tasks == 0 || now.Before(d.reservedUntil) || !d.needs.Fits(free) {
			continue
		}
		if best == nil || d.startBefore.Before(best.startBefore) {
			best = d
		}
	}
	return best
}

func (s *Share) find(entry vwid.Incarnation) *entryDemand {
	for _, d := range s.demands {
		if d.entry == entry {
			return d
		}
	}
	return nil
}
