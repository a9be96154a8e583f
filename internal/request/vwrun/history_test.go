package vwrun

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// history drives a book through random faults of its worker and restarts of its agent, and checks what the
// worker saw against the results.
type history struct {
	t      *testing.T
	random *lockedRandom
	worker *vwworkertest.Worker
	agent  *driver
	token  int
	jobs   int
	// trace is that of the earlier agents.
	trace []string

	mu sync.Mutex
	// over holds the tasks that have a result and were not ordered again.
	over map[vwworker.Task]bool
	// faulty is whether calls misbehave.
	faulty     bool
	violations []string
	ordered    map[vwworker.Task]int
}

// lockedRandom is drawn from by the steps and by the calls that they lead to.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

// IntN returns a number below n.
func (r *lockedRandom) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// violate records what was broken. The lock is held.
func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%v: ", time.Now().UnixMilli())+fmt.Sprintf(format, args...))
}

func (h *history) fault(string) vwworkertest.Fault {
	h.mu.Lock()
	faulty := h.faulty
	h.mu.Unlock()
	if !faulty {
		return vwworkertest.Fault{Delay: time.Duration(h.random.IntN(3)) * time.Millisecond}
	}
	switch h.random.IntN(24) {
	case 0:
		return vwworkertest.Fault{Lost: true}
	case 1:
		return vwworkertest.Fault{Dropped: true}
	case 2:
		return vwworkertest.Fault{Lost: true, Delay: 2*time.Second + time.Duration(h.random.IntN(10_000))*time.Millisecond}
	case 3:
		return vwworkertest.Fault{Delay: time.Duration(h.random.IntN(200)) * time.Millisecond}
	case 4:
		return vwworkertest.Fault{Reject: vwworker.Unhealthy}
	}
	return vwworkertest.Fault{Delay: time.Duration(h.random.IntN(5)) * time.Millisecond}
}

func (h *history) takeResult(result Result) {
	task := result.Spec.Task
	// The lock of the worker comes first, as in Started.
	runs := h.worker.Runs(task)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over[task] {
		h.violate("%v has a second result, %v", task, result.Outcome)
	}
	h.over[task] = true
	if runs {
		h.violate("%v goes on after its result %v: %s", task, result.Outcome, result.Reason)
	}
}

// restartAgent ends the agent and starts another, whose clock may have been set back.
func (h *history) restartAgent() {
	if h.agent != nil {
		h.agent.stop()
		// Tokens come from a clock that goes on while the agent is down.
		h.token = max(h.token, int(h.agent.book.token))
		h.trace = append(h.trace, h.agent.trace...)
	}
	h.token += h.random.IntN(1000)
	if h.random.IntN(4) == 0 {
		// The clock that tokens come from may begin anew with a reboot, during which orders do not stay under way.
		time.Sleep(time.Second)
		h.token = 1 + h.random.IntN(h.token)
	}
	h.agent = drive(h.t, h.worker, uint64(h.token), h.takeResult)
	h.agent.announce()
	for !h.agent.ready() {
		time.Sleep(10 * time.Millisecond)
		if h.random.IntN(50) == 0 {
			h.agent.announce()
		}
	}
	running := h.worker.Running()
	h.mu.Lock()
	defer h.mu.Unlock()
	if running > 0 {
		h.violate("the agent is ready while %d runs of an earlier one go on", running)
	}
	for task := range h.ordered {
		h.over[task] = true
	}
}

func (h *history) step() {
	switch h.random.IntN(40) {
	case 0:
		h.restartAgent()
	case 1:
		h.worker.Crash()
		time.Sleep(time.Duration(h.random.IntN(500)) * time.Millisecond)
		h.worker.Restart(h.worker.Life().ID)
		h.agent.announce()
	case 2:
		h.worker.Restart(vwid.Worker(fmt.Sprint("w", h.random.IntN(1000))))
		h.agent.announce()
	case 3:
		h.agent.do(func(now time.Time) { h.agent.book.StopOwned(now, "e", "test") })
	case 4, 5:
		h.agent.announce()
	case 6, 7, 8:
		h.agent.stopTask(vwid.SubmissionID(fmt.Sprint("j", h.random.IntN(h.jobs+1))))
	default:
		h.order()
	}
	time.Sleep(time.Duration(h.random.IntN(60)) * time.Millisecond)
}

// order starts a new task, or one again whose result is there.
func (h *history) order() {
	task := vwworker.Task{Job: vwid.SubmissionID(fmt.Sprint("j", h.jobs))}
	if h.jobs > 0 && h.random.IntN(4) == 0 {
		task.Job = vwid.SubmissionID(fmt.Sprint("j", h.random.IntN(h.jobs)))
	} else {
		h.jobs++
	}
	h.agent.do(func(now time.Time) {
		if h.agent.book.Has(task) {
			return
		}
		needs := vwresource.Amount{CPU: vwresource.MilliCPU(1000 + h.random.IntN(8000))}
		if h.agent.book.Start(now, Spec{Task: task, Attempt: 1, Owner: "e", Needs: needs}) == nil {
			h.worker.Needs(task, needs)
			h.agent.note("%v needs %v", task, needs)
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.over, task)
			h.ordered[task]++
		}
	})
}

// play runs one history with a worker that grants leases of at most lease, and returns what it broke.
func play(t *testing.T, seed uint64, lease time.Duration) []string {
	h := &history{
		t: t, random: &lockedRandom{random: rand.New(rand.NewPCG(seed, 1))}, worker: vwworkertest.Make("w0"), token: 1000,
		over: map[vwworker.Task]bool{}, ordered: map[vwworker.Task]int{},
	}
	h.worker.MaxLease = lease
	h.worker.Rate = 0.98 + 0.001*float64(h.random.IntN(21))
	h.worker.SetFaults(h.fault)
	h.worker.RunTime = func(vwworker.Task) time.Duration { return time.Duration(20+h.random.IntN(1500)) * time.Millisecond }
	h.worker.Fails = func(vwworker.Task) bool { return h.random.IntN(10) == 0 }
	h.worker.Started = func(run vwworker.Run, held bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		// An order that reaches a life before its agent has spoken to that life can be refused by nobody.
		if h.over[run.Task] && held {
			h.violate("%v starts again as number %d after its result", run.Task, run.Number)
		}
	}
	h.worker.Filled = func(used vwresource.Amount) {
		if !used.Fits(room) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.violate("the worker is filled to %v of %v", used, room)
		}
	}
	h.restartAgent()
	h.setFaulty(true)
	for range 150 {
		h.step()
	}
	h.setFaulty(false)
	h.agent.announce()
	time.Sleep(20 * time.Second)
	h.checkEnd()
	h.agent.stop()
	if path := os.Getenv("HISTORY_TRACE"); path != "" && len(h.violations) > 0 {
		text := strings.Join(append(h.trace, h.agent.trace...), "\n")
		require.NoError(t, os.WriteFile(path, []byte(text+"\n"), 0o600))
	}
	h.worker.Crash()
	time.Sleep(time.Minute)
	return h.violations
}

func (h *history) setFaulty(faulty bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faulty = faulty
}

func (h *history) checkEnd() {
	h.agent.mu.Lock()
	held := h.agent.book.Len()
	h.agent.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if held > 0 {
		h.violate("%d runs have no result", held)
	}
}

// Whatever is lost, late or repeated between an agent and its worker, a task with a result must not run, and
// the worker must not be filled beyond its capacity. HISTORY_SEED plays one history, and HISTORY_TRACE names a
// file for the orders and answers of one that fails. Calls that fall due together may change places, so a seed
// does not always fail again.
func TestHistories(t *testing.T) {
	seeds := make([]uint64, historySeeds)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	if text := os.Getenv("HISTORY_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = []uint64{seed}
	}
	leases := map[string]time.Duration{"second": time.Second, "short": 400 * time.Millisecond, "shortest": shortestLease}
	for name, lease := range leases {
		t.Run(name, func(t *testing.T) {
			for _, seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					require.Empty(t, play(t, seed, lease), "seed %d", seed)
				})
			}
		})
	}
}
