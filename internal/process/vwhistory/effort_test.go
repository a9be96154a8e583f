package vwhistory_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwunit"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	effortEntries = 3
	effortWorkers = 5
	// effortTime is how long jobs and faults come.
	effortTime = 20 * time.Second
	// resendAfter is how long callers wait after a broken connection before they send a job again. What was
	// left of the first try must have ended by then.
	resendAfter = 1300 * time.Millisecond
	// patience is how long callers wait for an answer, and answerSlack by how much it may be late.
	patience    = 4500 * time.Millisecond
	answerSlack = 100 * time.Millisecond
	// maxSlowDelay is the most that a slow link delays a message.
	maxSlowDelay = 150 * time.Millisecond
	// recovery is how long after the last fault all jobs must be served again.
	recovery = 12 * time.Second
)

const effortRules = rules + "Edition.test = { Number = 1 } # Ana, platform\n"

// effortHistory is one generated run of best-effort jobs.
type effortHistory struct {
	t       *testing.T
	random  *rand.Rand
	cluster *effortCluster
	callers *vwgroup.Group
	faults  *vwgroup.Group

	mu     sync.Mutex
	failed int
	found  []string
	// faulty holds the pairs of addresses with a fault of their links.
	faulty map[[2]string]bool
}

func (h *effortHistory) violate(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.found = append(h.found, fmt.Sprintf(format, args...))
}

// runEffortHistory runs the history of one seed and returns the broken promises.
func runEffortHistory(t *testing.T, seed uint64) (found []string, log string) {
	synctest.Test(t, func(t *testing.T) {
		var buffer bytes.Buffer
		h := &effortHistory{
			t: t, random: rand.New(rand.NewPCG(seed, 1)), callers: vwgroup.Make(context.Background()), faults: vwgroup.Make(context.Background()),
			faulty:  map[[2]string]bool{},
			cluster: makeEffortCluster(slog.New(slog.NewTextHandler(&buffer, nil)), effortEntries, effortWorkers),
		}
		h.cluster.changeRules(t, effortRules)
		h.run()
		h.finish()
		found = append(h.found, h.cluster.record.found...)
		log = buffer.String()
	})
	return found, log
}

func (h *effortHistory) run() {
	for end := time.Now().Add(effortTime); time.Now().Before(end); {
		time.Sleep(time.Duration(h.random.IntN(120)) * time.Millisecond)
		if h.random.IntN(12) == 0 {
			h.fault()
			continue
		}
		job, entry := h.makeJob(), h.random.IntN(effortEntries)
		entries := []int{entry, h.random.IntN(effortEntries), h.random.IntN(effortEntries)}
		leaves := time.Duration(0)
		if h.random.IntN(6) == 0 {
			leaves = time.Duration(h.random.IntN(800)) * time.Millisecond
		}
		comesBack := h.random.IntN(2) == 0
		h.callers.Run(func(ctx context.Context) { h.call(ctx, job, entries, leaves, comesBack) })
	}
}

// makeJob returns a job, of which every worker knows the size.
func (h *effortHistory) makeJob() vwplace.Job {
	job := vwplace.Job{
		ID: vwid.SubmissionID(fmt.Sprintf("%016x", h.random.Uint64())), Service: service, Team: team, Level: 5, Payload: []byte(`"x"`),
		Count: 1 + h.random.IntN(6), Needs: vwresource.Amount{CPU: vwresource.MilliCPU(1000 * (1 + h.random.IntN(2))), Memory: vwunit.MiB},
		Estimate: time.Duration(20+h.random.IntN(1200)*(1+2*h.random.IntN(2))) * time.Millisecond, Slowdown: 1.6, Target: 60 * time.Millisecond, MaxFailures: 3,
	}
	for i := range job.Count {
		task := vwworker.Task{Job: job.ID, Index: i}
		h.cluster.record.expect(task, time.Duration(float64(job.Estimate)*(0.5+h.random.Float64())))
		for _, w := range h.cluster.workers {
			w.worker.Needs(task, job.Needs)
		}
	}
	return job
}

// call hands a job in as a client does: after a broken connection it comes back, at any entry. A client that leaves
// does so after a while, and may come back as after a broken connection.
func (h *effortHistory) call(ctx context.Context, job vwplace.Job, entries []int, leaves time.Duration, comesBack bool) {
	refusals := 0
	for try, index := range entries {
		limited, cancel := context.WithTimeout(ctx, patience+answerSlack)
		if leaves > 0 {
			limited, cancel = context.WithTimeout(ctx, leaves)
		}
		started := time.Now()
		job.Deadline = started.Add(patience)
		answer, err := h.submit(limited, job, index)
		cancel()
		h.cluster.log.Info("call has ended", "job", string(job.ID), "entry", index, "try", try, "outcome", answer.Outcome.String(), "error", err, "took", time.Since(started).String())
		switch {
		case err == nil && answer.Outcome == vwplace.OutcomeCompleted:
			h.checkDone(&job)
			return
		case err == nil && answer.Outcome == vwplace.OutcomeFailed:
			return
		case err == nil && answer.Outcome == vwplace.OutcomeRefused || vwverdict.IsNotRun(err):
			refusals++
			if refusals == try+1 {
				h.checkNotRun(&job)
			}
			return
		case leaves > 0 && !comesBack:
			return
		case leaves == 0 && err != nil && time.Since(started) >= patience+answerSlack:
			h.violate("job %s got no answer in %v", job.ID, patience)
			return
		}
		leaves = 0
		time.Sleep(resendAfter)
	}
}

func (h *effortHistory) submit(ctx context.Context, job vwplace.Job, index int) (vwplace.Answer, error) {
	entry, _ := h.cluster.entries[index].current()
	if entry == nil {
		return vwplace.Answer{}, vwverdict.Errorf(vwverdict.MayHaveRun, "connection refused")
	}
	return entry.RunBestEffort(ctx, job)
}

// checkDone requires that each task of a completed job is done.
func (h *effortHistory) checkDone(job *vwplace.Job) {
	for i := range job.Count {
		if task := (vwworker.Task{Job: job.ID, Index: i}); h.cluster.record.doneOf(task) == 0 {
			h.violate("job %s is said to be completed, but task %d is not done", job.ID, i)
		}
	}
}

// checkNotRun requires that nothing of a refused job has started, and later that nothing has.
func (h *effortHistory) checkNotRun(job *vwplace.Job) {
	for _, wait := range []time.Duration{0, 4 * time.Second} {
		time.Sleep(wait)
		for i := range job.Count {
			if starts := h.cluster.record.startsOf(vwworker.Task{Job: job.ID, Index: i}); starts > 0 {
				h.violate("job %s was refused, but task %d has started", job.ID, i)
			}
		}
	}
}

// fault begins one fault, which ends by itself.
func (h *effortHistory) fault() {
	c := h.cluster
	e, w := c.entries[h.random.IntN(effortEntries)], c.workers[h.random.IntN(effortWorkers)]
	duration := time.Duration(20+h.random.IntN(3000)) * time.Millisecond
	// A link delivers everything or ends. The network of the tests drops what is sent to an isolated process, so that
	// lasts until both ends have given the link up.
	cut := duration + 2*effortTiming.Silence
	same, seed := h.random.IntN(2) == 0, h.random.Uint64()
	kind := h.random.IntN(14)
	c.log.Info("fault", "kind", kind, "entry", e.index, "worker", w.index, "duration", duration.String(), "same", same)
	switch kind {
	case 0:
		c.killEntry(e, nil)
		h.later(duration, func() {
			if entry, _ := e.current(); entry == nil {
				c.startEntry(e)
			}
		})
	case 1:
		c.killEffortAgent(w)
		h.later(duration, func() {
			if w.current() == nil {
				c.startEffortAgent(w)
			}
		})
	case 2:
		w.worker.Crash()
		h.later(duration, func() {
			if !w.worker.IsUp() {
				w.restartWorker(same)
			}
		})
	case 3:
		w.restartWorker(same)
	case 4:
		c.network.Isolate(e.address, true)
		h.later(cut, func() { c.network.Isolate(e.address, false) })
	case 5:
		c.network.Isolate(w.address, true)
		h.later(cut, func() { c.network.Isolate(w.address, false) })
	case 6:
		c.network.SilenceOpen(e.address, w.address)
	case 7:
		h.workerFaults(w, duration, seed)
	case 8:
		_, control := e.current()
		control.Cut(true)
		h.later(duration, func() { control.Cut(false) })
	case 9:
		w.setLeaving(true)
		h.later(duration, func() { w.setLeaving(false) })
	case 10:
		random := rand.New(rand.NewPCG(seed, 3))
		h.faults.Run(func(context.Context) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond) {
				for _, w := range c.workers {
					c.network.Reset(e.address, w.address)
				}
			}
		})
	case 11:
		if agent := w.current(); agent != nil {
			_ = agent.LeaveWorker(context.Background(), w.worker.Life().ID)
		}
		// Otherwise the message comes from another writer.
		if !same {
			h.later(duration, func() { w.restartWorker(false) })
		}
	case 12:
		from, to := e.address, w.address
		if same {
			from, to = to, from
		}
		h.linkFault(e.address, w.address, cut, func() { c.network.SetFault(from, to, vwlinktest.Fault{Silent: true}) })
	case 13:
		slow := vwlinktest.Fault{Delay: linkDelay + time.Duration(seed%uint64(maxSlowDelay))}
		h.linkFault(e.address, w.address, duration, func() {
			c.network.SetFault(e.address, w.address, slow)
			c.network.SetFault(w.address, e.address, slow)
		})
	}
}

// linkFault sets a fault of the links between two addresses and removes it after a while. It does nothing while another one
// lasts, because the end of that would cut this one short.
func (h *effortHistory) linkFault(a, b string, lasts time.Duration, set func()) {
	pair := [2]string{a, b}
	if h.isFaulty(pair, true) {
		return
	}
	set()
	h.later(lasts, func() {
		h.cluster.network.SetFault(a, b, vwlinktest.Fault{Delay: linkDelay})
		h.cluster.network.SetFault(b, a, vwlinktest.Fault{Delay: linkDelay})
		h.isFaulty(pair, false)
	})
}

// isFaulty reports whether a fault of the links between two addresses lasts, and records whether one does from now on.
func (h *effortHistory) isFaulty(pair [2]string, next bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.faulty[pair]
	h.faulty[pair] = next
	return last
}

// setLeaving makes a worker say that it is draining, or not any more.
func (w *effortWorker) setLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = leaving
}

// workerFaults lets a worker lose answers, refuse orders and carry them out late for a while.
func (h *effortHistory) workerFaults(w *effortWorker, duration time.Duration, seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	w.worker.SetFaults(func(call string) vwworkertest.Fault {
		mu.Lock()
		defer mu.Unlock()
		fault := vwworkertest.Fault{Delay: time.Duration(random.IntN(3)) * time.Millisecond}
		switch random.IntN(12) {
		case 0:
			fault.Lost = true
		case 1:
			fault.Lost, fault.Delay = true, time.Duration(random.IntN(3000))*time.Millisecond
		case 2:
			fault.Dropped = true
		case 3:
			if call == "start" {
				fault.Reject = vwworker.Unhealthy
			}
		}
		return fault
	})
	h.later(duration, func() { w.worker.SetFaults(nil) })
}

func (h *effortHistory) later(after time.Duration, undo func()) {
	h.faults.Run(func(context.Context) {
		time.Sleep(after)
		undo()
	})
}

// finish waits until all callers have their answers and the faults are over, and requires that jobs are served again.
func (h *effortHistory) finish() {
	_ = h.callers.Wait()
	_ = h.faults.Wait()
	for _, w := range h.cluster.workers {
		if !w.worker.IsUp() {
			w.restartWorker(false)
		}
	}
	time.Sleep(recovery)
	for index := range effortEntries {
		job := h.makeJob()
		answer, err := h.submit(context.Background(), job, index)
		if err != nil || answer.Outcome != vwplace.OutcomeCompleted {
			h.violate("entry %d does not serve %v after the faults: %s (%s), %v", index, recovery, answer.Outcome, answer.Reason, err)
		}
	}
	h.cluster.stopAll()
}

// effortHistoryCount is how many seeds CI runs.
const effortHistoryCount = 60

// Whatever happens to entries, agents, links and workers, no task of a best-effort job may run twice at the same time,
// no worker may be filled beyond its room, and every answer must be true.
func TestEffortHistories(t *testing.T) {
	runSeedsOn(t, 1, effortHistoryCount, runEffortHistory)
}
