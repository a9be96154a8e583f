package vwrun

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// capacityHistory changes the capacity that a worker announces while a history runs.
type capacityHistory struct {
	*history
	random *rand.Rand
	// announced holds the capacity in the last announcement of each incarnation that the tracker got. delayed are the
	// announcements that have not arrived.
	announced map[vwworker.Life]vwresource.Amount
	delayed   []Announcement
}

// deliver passes an announcement to the tracker.
func (h *capacityHistory) deliver(announcement Announcement) {
	h.agent.update(func(now time.Time) {
		h.announced[announcement.Life] = announcement.Capacity
		h.agent.tracker.Announce(now, announcement)
	})
}

// changeCapacity announces another capacity, at once or, if the worker restarts before, after that.
func (h *capacityHistory) changeCapacity() {
	announcement := Announcement{Life: h.worker.Life(), Capacity: vwresource.Amount{CPU: vwresource.MilliCPU(h.random.IntN(32_001))}}
	switch h.random.IntN(8) {
	case 0:
		announcement.Capacity = vwresource.Amount{}
	case 1:
		h.delayed = append(h.delayed, announcement)
		return
	}
	h.deliver(announcement)
	// One that an earlier incarnation sent may arrive at any time. The agent drops those of the current one by their
	// sequence.
	for i, late := range h.delayed {
		if late.Life != announcement.Life {
			h.delayed = append(h.delayed[:i:i], h.delayed[i+1:]...)
			h.deliver(late)
			break
		}
	}
}

// checkStarts records a violation if the orders of an update start a run beyond the capacity of the tracked incarnation.
func (h *capacityHistory) checkStarts(orders []Order) {
	tracker := h.agent.tracker
	for _, order := range orders {
		if order.Start == nil {
			continue
		}
		used := vwresource.Amount{}
		for _, r := range tracker.runs {
			used = used.Plus(r.spec.Needs)
		}
		if capacity := h.announced[tracker.Life()]; !used.Fits(capacity) {
			h.mu.Lock()
			h.recordViolation("%s with %v in use of %v", describe(order), used, capacity)
			h.mu.Unlock()
		}
	}
}

// runCapacityHistory runs one history whose worker announces a changing capacity, and returns the violated invariants.
func runCapacityHistory(t *testing.T, seed uint64, lease time.Duration) []string {
	h := makeHistory(t, seed, lease)
	c := &capacityHistory{history: h, random: rand.New(rand.NewPCG(seed, 2)), announced: map[vwworker.Life]vwresource.Amount{}}
	h.onAnnounce = func(announcement Announcement) { c.announced[announcement.Life] = announcement.Capacity }
	h.onOrders = c.checkStarts
	return h.run(func() {
		if c.random.IntN(3) == 0 {
			c.changeCapacity()
		}
		h.step()
	})
}

// When the announced capacity shrinks and grows while orders and answers are lost, late or repeated, and agents and workers
// restart, no start may exceed the capacity that its worker has announced last. The invariants of TestHistories hold too.
func TestCapacityHistories(t *testing.T) {
	for name, lease := range map[string]time.Duration{"second": time.Second, "shortest": minLease} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(historySeeds) {
				synctest.Test(t, func(t *testing.T) {
					require.Empty(t, runCapacityHistory(t, seed, lease), "seed %d", seed)
				})
			}
		})
	}
}
