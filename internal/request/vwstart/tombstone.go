package vwstart

import (
	"time"

	"github.com/google/uuid"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// tombstones remember acknowledged submissions. An agent of 8 slots can acknowledge many hundred
// submissions a second, so a tombstone is small and the oldest are found without a search.
type tombstones struct {
	epochs map[uuid.UUID]vwid.Epoch
	// order holds the ids from head on, oldest first.
	order []tombstone
	head  int
}

type tombstone struct {
	id uuid.UUID
	// at is the time of the acknowledgement in milliseconds since the Unix epoch.
	at int64
}

func makeTombstones() tombstones {
	return tombstones{epochs: map[uuid.UUID]vwid.Epoch{}}
}

func (t *tombstones) find(id uuid.UUID) (vwid.Epoch, bool) {
	epoch, found := t.epochs[id]
	return epoch, found
}

// put adds a tombstone or raises the epoch of one.
func (t *tombstones) put(now time.Time, id uuid.UUID, epoch vwid.Epoch) {
	known, found := t.epochs[id]
	t.epochs[id] = max(known, epoch)
	if !found {
		t.order = append(t.order, tombstone{id: id, at: now.UnixMilli()})
	}
}

// popOlder removes the oldest tombstone when it was made before the given time, or when there are more
// than limit.
func (t *tombstones) popOlder(before time.Time, limit int) (uuid.UUID, bool) {
	if t.len() == 0 {
		return uuid.UUID{}, false
	}
	oldest := t.order[t.head]
	if oldest.at > before.UnixMilli() && t.len() <= limit {
		return uuid.UUID{}, false
	}
	t.head++
	delete(t.epochs, oldest.id)
	if t.head > len(t.order)/2 {
		t.order = t.order[:copy(t.order, t.order[t.head:])]
		t.head = 0
	}
	return oldest.id, true
}

func (t *tombstones) len() int {
	return len(t.epochs)
}
