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

// Reservations assigns the free capacity of one worker to the entries with waiting tasks.
type Reservations struct {
	demands []*entryDemand
}

// entryDemand describes the waiting tasks of one entry and the capacity reserved for it.
type entryDemand struct {
	entry       vwid.Incarnation
	tasks       int
	needs       vwresource.Amount
	startBefore time.Time
	level       int
	// expiresAt is when the demand ends unless the entry sends it again.
	expiresAt time.Time
	// reservation is capacity that only this entry may use until reservedUntil.
	reservation   vwresource.Amount
	reservedUntil time.Time
}

// SetDemand records the demand of an entry, of which level is the highest level. A demand without tasks releases the entry's reservation.
func (r *Reservations) SetDemand(now time.Time, entry vwid.Incarnation, want *vwmessage.Want, level int) {
	d := r.find(entry)
	if d == nil {
		d = &entryDemand{entry: entry}
		r.demands = append(r.demands, d)
	}
	d.tasks, d.needs, d.level = want.Tasks, want.Needs, level
	d.startBefore = now.Add(time.Duration(want.WithinMilliseconds) * time.Millisecond)
	d.expiresAt = now.Add(demandValidity)
	if d.tasks == 0 {
		d.reservation = vwresource.Amount{}
	}
}

// RemoveEntry deletes the demand and the reservation of an entry.
func (r *Reservations) RemoveEntry(entry vwid.Incarnation) {
	r.demands = slices.DeleteFunc(r.demands, func(d *entryDemand) bool { return d.entry == entry })
}

// FreeFor returns the part of free that an entry may use: all but the reservations of other entries.
func (r *Reservations) FreeFor(now time.Time, entry vwid.Incarnation, free vwresource.Amount) vwresource.Amount {
	for _, d := range r.demands {
		if d.entry != entry && now.Before(d.reservedUntil) {
			free = free.Minus(d.reservation)
		}
	}
	return free
}

// ReservedFor returns the capacity that is reserved for an entry.
func (r *Reservations) ReservedFor(now time.Time, entry vwid.Incarnation) vwresource.Amount {
	if d := r.find(entry); d != nil && now.Before(d.reservedUntil) {
		return d.reservation
	}
	return vwresource.Amount{}
}

// Deduct subtracts a task that an entry has started from the entry's demand and reservation.
func (r *Reservations) Deduct(entry vwid.Incarnation, needs vwresource.Amount) {
	d := r.find(entry)
	if d == nil {
		return
	}
	d.tasks = max(0, d.tasks-1)
	d.reservation = d.reservation.Minus(needs)
	if !d.reservation.Valid() {
		d.reservation = vwresource.Amount{}
	}
}

// Reserve drops expired reservations, reserves the rest of free for the entries with demand, the most urgent first, and
// returns the entries to notify of a new reservation.
func (r *Reservations) Reserve(now time.Time, free vwresource.Amount) []vwid.Incarnation {
	for _, d := range r.demands {
		if now.Before(d.reservedUntil) {
			free = free.Minus(d.reservation)
		} else {
			d.reservation = vwresource.Amount{}
		}
	}
	var notify []vwid.Incarnation
	for {
		d := r.mostUrgent(now, free)
		if d == nil {
			return notify
		}
		count := d.needs.CountIn(free, d.tasks)
		d.reservation, d.reservedUntil = d.needs.Times(count), now.Add(reservationTime)
		free = free.Minus(d.reservation)
		notify = append(notify, d.entry)
	}
}

// mostUrgent returns the demand of the highest level, and among those the most urgent one, of which a task fits in free, or
// nil. It skips entries whose last reservation has not expired.
func (r *Reservations) mostUrgent(now time.Time, free vwresource.Amount) *entryDemand {
	var best *entryDemand
	for _, d := range r.demands {
		if d.tasks == 0 || !now.Before(d.expiresAt) || now.Before(d.reservedUntil) || !d.needs.Fits(free) {
			continue
		}
		if best == nil || d.level > best.level || d.level == best.level && d.startBefore.Before(best.startBefore) {
			best = d
		}
	}
	return best
}

func (r *Reservations) find(entry vwid.Incarnation) *entryDemand {
	for _, d := range r.demands {
		if d.entry == entry {
			return d
		}
	}
	return nil
}
