package vwagent

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// capacityHistorySeeds is the number of histories.
const capacityHistorySeeds = 60

// announcedCapacity is the newest capacity by sequence that the agent has received from each incarnation.
type announcedCapacity struct {
	sequence uint64
	capacity vwresource.Amount
}

// capacityHistory announces a changing capacity to an agent, in any order, and checks what it starts.
type capacityHistory struct {
	*runnerFixture
	random   *rand.Rand
	entry    *entryLink
	sequence uint64
	version  vwid.ConfigVersion
	jobs     int
	delayed  []WorkerOffer

	mu sync.Mutex
	// life is the newest incarnation from which the agent has received an announcement. Without one, and while it runs
	// nothing, the agent cannot know that a worker has restarted under its id.
	life       vwworker.Life
	received   map[vwworker.Life]announcedCapacity
	violations []string
}

// deliver passes an announcement to the agent.
func (h *capacityHistory) deliver(offer WorkerOffer) {
	h.mu.Lock()
	if offer.Life.Born > h.life.Born {
		h.life = offer.Life
	}
	if newest := h.received[offer.Life]; offer.Sequence >= newest.sequence {
		h.received[offer.Life] = announcedCapacity{sequence: offer.Sequence, capacity: offer.Capacity}
	}
	h.mu.Unlock()
	require.NoError(h.t, h.agent.AnnounceWorker(h.t.Context(), offer))
}

// announce announces a random capacity, or holds the announcement back.
func (h *capacityHistory) announce() {
	h.sequence++
	offer := h.offer(h.sequence, vwresource.Amount{CPU: vwresource.MilliCPU(1000 * h.random.IntN(5)), GPUs: h.random.IntN(2)})
	if h.random.IntN(3) > 0 {
		offer.Capacity.Memory = fullCapacity.Memory
	}
	if h.random.IntN(3) == 0 {
		h.delayed = append(h.delayed, offer)
		return
	}
	h.deliver(offer)
}

func (h *capacityHistory) step() {
	switch h.random.IntN(12) {
	case 0, 1, 2:
		h.announce()
	case 3, 4:
		if len(h.delayed) > 0 {
			at := h.random.IntN(len(h.delayed))
			late := h.delayed[at]
			h.delayed = append(h.delayed[:at:at], h.delayed[at+1:]...)
			h.deliver(late)
		}
	case 5:
		// A silence after which out-of-order announcements are accepted.
		time.Sleep(lateAnnouncementLimit + time.Second)
	case 6:
		if h.random.IntN(2) == 0 {
			h.worker.Restart([]vwid.Worker{"w1", "w2"}[h.random.IntN(2)])
			h.sequence = 0
			h.announce()
		}
	default:
		h.jobs++
		h.version++
		h.setRules(h.version, "DataCentre.a = {} # test\n")
		for index := range 4 {
			h.worker.Needs(vwworker.Task{Job: vwid.SubmissionID(fmt.Sprint("j", h.jobs)), Index: index}, oneCore)
		}
		h.entry.run(vwid.SubmissionID(fmt.Sprint("j", h.jobs)), 1+h.random.IntN(4), 100*time.Millisecond)
	}
	time.Sleep(time.Duration(1+h.random.IntN(50)) * time.Millisecond)
}

// checkStart records a violation if the worker's runs exceed the newest capacity that its agent has received.
func (h *capacityHistory) checkStart(used vwresource.Amount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newest := h.received[h.life]; !used.Fits(newest.capacity) {
		h.violations = append(h.violations, fmt.Sprintf("%d: the runs use %v of %v, announced as %d", time.Now().UnixMilli(), used, newest.capacity, newest.sequence))
	}
}

// Guards against a start beyond the capacity that the worker has announced last, when announcements of several
// incarnations arrive late, out of order and after silences, and the capacity of each resource shrinks and grows.
func TestCapacityHistories(t *testing.T) {
	started := 0
	for seed := range uint64(capacityHistorySeeds) {
		withRunner(t, func(t *testing.T, f *runnerFixture) {
			h := &capacityHistory{
				runnerFixture: f, random: rand.New(rand.NewPCG(seed, 1)), entry: f.attach("e1", "e1-1"), sequence: 1, version: 1,
				life: f.worker.Life(), received: map[vwworker.Life]announcedCapacity{f.worker.Life(): {sequence: 1, capacity: fullCapacity}},
			}
			f.worker.RunTime = func(vwworker.Task) time.Duration { return time.Duration(1+h.random.IntN(300)) * time.Millisecond }
			f.worker.Filled = h.checkStart
			for range 200 {
				h.step()
			}
			for job := range h.jobs {
				started += f.starts(vwid.SubmissionID(fmt.Sprint("j", job+1)), 0)
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			require.Empty(t, h.violations, "seed %d", seed)
		})
	}
	require.Greater(t, started, 10*capacityHistorySeeds, "too few runs for the check to mean something")
}
