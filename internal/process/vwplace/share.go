package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// keepTime is how long room is kept for an entry that was told of it: a round trip between data centres and the
// time in which a busy entry handles a message.
const keepTime = 25 * time.Millisecond

// Share keeps room of one worker for the entries whose tasks wait.
type Share struct {
	entries []*interest
}

// interest is what one entry wants.
type interest struct {
	entry  vwid.Incarnation
	tasks  int
	needs  vwresource.Amount
	before time.Time
	// kept is room for this entry alone, until the time in until.
	kept  vwresource.Amount
	until time.Time
}

// SetWant records what waits at an entry.
func (s *Share) SetWant(now time.Time, entry vwid.Incarnation, want *vwmessage.Want) {
	i := s.find(entry)
	if i == nil {
		i = &interest{entry: entry}
		s.entries = append(s.entries, i)
	}
	i.tasks, i.needs = want.Tasks, want.Needs
	i.before = now.Add(time.Duration(want.WithinMilliseconds) * time.Millisecond)
	if i.tasks == 0 {
		i.kept = vwresource.Amount{}
	}
}

// Remove forgets an entry.
func (s *Share) Remove(entry vwid.Incarnation) {
	s.entries = slices.DeleteFunc(s.entries, func(i *interest) bool { return i.entry == entry })
}

// FreeFor returns the part of free that an entry may use: all but what is kept for others.
func (s *Share) FreeFor(now time.Time, entry vwid.Incarnation, free vwresource.Amount) vwresource.Amount {
	for _, i := range s.entries {
		if i.entry != entry && now.Before(i.until) {
			free = free.Minus(i.kept)
		}
	}
	return free
}

// KeptFor returns the room that is kept for an entry.
func (s *Share) KeptFor(now time.Time, entry vwid.Incarnation) vwresource.Amount {
	if i := s.find(entry); i != nil && now.Before(i.until) {
		return i.kept
	}
	return vwresource.Amount{}
}

// Used notes that an entry has started a task.
func (s *Share) Used(entry vwid.Incarnation, needs vwresource.Amount) {
	i := s.find(entry)
	if i == nil {
		return
	}
	i.tasks = max(0, i.tasks-1)
	i.kept = i.kept.Minus(needs)
	if !i.kept.Valid() {
		i.kept = vwresource.Amount{}
	}
}

// Keep keeps free room for the entries that want it, the most urgent first, and returns those to be told.
func (s *Share) Keep(now time.Time, free vwresource.Amount) []vwid.Incarnation {
	for _, i := range s.entries {
		if now.Before(i.until) {
			free = free.Minus(i.kept)
		} else {
			i.kept = vwresource.Amount{}
		}
	}
	var told []vwid.Incarnation
	for {
		i := s.mostUrgent(now, free)
		if i == nil {
			return told
		}
		count := i.needs.CountIn(free, i.tasks)
		i.kept, i.until = i.needs.Times(count), now.Add(keepTime)
		free = free.Minus(i.kept)
		told = append(told, i.entry)
	}
}

// mostUrgent returns the entry to keep room for next, or nil.
func (s *Share) mostUrgent(now time.Time, free vwresource.Amount) *interest {
	var best *interest
	for _, i := range s.entries {
		if i.tasks == 0 || now.Before(i.until) || !i.needs.Fits(free) {
			continue
		}
		if best == nil || i.before.Before(best.before) {
			best = i
		}
	}
	return best
}

func (s *Share) find(entry vwid.Incarnation) *interest {
	for _, i := range s.entries {
		if i.entry == entry {
			return i
		}
	}
	return nil
}
