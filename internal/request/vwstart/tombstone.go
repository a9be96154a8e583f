package vwstart

import (
	"time"

	"github.com/google/uuid"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// tombstones holds the epochs of acknowledged submissions. An agent of 8 slots can acknowledge many
// hundred submissions a second, so a tombstone is small and the oldest is found without a search.
type tombstones struct {
	epochs map[uuid.UUID]vwid.Epoch
	// order holds the tombstones oldest first; those before index head were evicted.
	order []tombstone
	head  int
}

type tombstone struct {
	id uuid.UUID
	// acknowledgedMillis is in milliseconds since the Unix epoch.
	acknowledgedMillis int64
}

func makeTombstones() tombstones {
	return tombstones{epochs: map[uuid.UUID]vwid.Epoch{}}
}

func (t *tombstones) find(id uuid.UUID) (vwid.Epoch, bool) {
	epoch, found := t.epochs[id]
	return epoch, found
}

// put adds a tombstone, or raises the epoch of an existing one.
func (t *tombstones) put(now time.Time, id uuid.UUID, epoch vwid.Epoch) {
	known, found := t.epochs[id]
	t.epochs[id] = max(known, epoch)
	if !found {
		t.order = append(t.order, tombstone{id: id, acknowledgedMillis: now.UnixMilli()})
	}
}

// evictOldest removes and returns the oldest tombstone if it was added at cutoff or earlier, or if there
// are more than limit.
func (t *tombstones) evictOldest(cutoff time.Time, limit int) (uuid.UUID, bool) {
	if t.len() == 0 {
		return uuid.UUID{}, false
	}
	oldest := t.order[t.head]
	if oldest.acknowledgedMillis > cutoff.UnixMilli() && t.len() <= limit {
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
