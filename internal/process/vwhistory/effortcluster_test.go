package vwhistory_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/connection/vwworkertest"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// workerCores is the room of a worker, in whole cores of which a task needs one or two.
	workerCores = 6
	// announceInterval is how often a worker announces itself.
	announceInterval = 500 * time.Millisecond
	// maxListAge is by how much the lists of a worker are older than its clock at most.
	maxListAge = 5 * time.Millisecond
)

// effortTiming is that of an installation whose callers send a job again 1.3 s after a broken connection.
var effortTiming = vwlink.Timing{Ping: 125 * time.Millisecond, Silence: 500 * time.Millisecond}

// effortRecord is what the workers saw of the tasks of best-effort jobs.
type effortRecord struct {
	mu sync.Mutex
	// running holds the workers at which a task runs now.
	running map[vwworker.Task]map[int]bool
	starts  map[vwworker.Task]int
	done    map[vwworker.Task]int
	// runTimes holds how long the tasks run.
	runTimes map[vwworker.Task]time.Duration
	found    []string
	log      *slog.Logger
}

// expect sets how long a task runs.
func (r *effortRecord) expect(task vwworker.Task, runTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTimes[task] = runTime
}

func (r *effortRecord) runTime(task vwworker.Task) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runTimes[task]
}

func (r *effortRecord) start(worker int, run vwworker.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("worker starts", "worker", worker, "run", run.Task.String(), "number", run.Number)
	at := r.running[run.Task]
	if at == nil {
		at = map[int]bool{}
		r.running[run.Task] = at
	}
	if len(at) > 0 {
		r.found = append(r.found, fmt.Sprintf("task %s starts at worker %d while it runs at %v", run.Task, worker, at))
	}
	at[worker] = true
	r.starts[run.Task]++
}

func (r *effortRecord) end(worker int, run vwworker.Run, how vwworker.How) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Info("worker ends", "worker", worker, "run", run.Task.String(), "number", run.Number, "how", how.String())
	delete(r.running[run.Task], worker)
	if how == vwworker.Done {
		r.done[run.Task]++
	}
}

func (r *effortRecord) fill(worker int, used vwresource.Amount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !used.Fits(workerRoom()) {
		r.found = append(r.found, fmt.Sprintf("worker %d is filled with %v", worker, used))
	}
}

func (r *effortRecord) startsOf(task vwworker.Task) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

func (r *effortRecord) doneOf(task vwworker.Task) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

func workerRoom() vwresource.Amount {
	return vwresource.Amount{CPU: 1000 * workerCores, Memory: vwunit.GiB}
}

// effortWorker is a worker with the process beside it.
type effortWorker struct {
	*agentProcess
	worker *vwworkertest.Worker
	lives  int
}

// effortCluster is a cluster whose agents have workers that grant leases.
type effortCluster struct {
	*cluster
	workers []*effortWorker
	record  *effortRecord
}

func makeEffortCluster(log *slog.Logger, entries, workers int) *effortCluster {
	c := &effortCluster{cluster: makeCluster(log), record: &effortRecord{
		running: map[vwworker.Task]map[int]bool{}, starts: map[vwworker.Task]int{}, done: map[vwworker.Task]int{},
		runTimes: map[vwworker.Task]time.Duration{}, log: log,
	}}
	c.network.SetTiming(effortTiming)
	c.start(entries, 0)
	for i := range workers {
		w := &effortWorker{
			agentProcess: &agentProcess{index: i, address: fmt.Sprintf("agent-%d", i), dataCentre: dataCentres[i%len(dataCentres)]},
			worker:       vwworkertest.Make(vwid.Worker(fmt.Sprintf("worker-%d-1", i))),
			lives:        1,
		}
		w.worker.RunTime = c.record.runTime
		w.worker.Started = func(run vwworker.Run, _ bool) { c.record.start(i, run) }
		w.worker.Ended = func(run vwworker.Run, how vwworker.How) { c.record.end(i, run, how) }
		w.worker.Filled = func(used vwresource.Amount) { c.record.fill(i, used) }
		w.worker.ListAge = makeListAge(uint64(i))
		c.workers = append(c.workers, w)
		c.startEffortAgent(w)
	}
	return c
}

// makeListAge returns by how much the lists of a worker are older than its clock: up to maxListAge for one list in four.
func makeListAge(seed uint64) func() time.Duration {
	random := rand.New(rand.NewPCG(seed, 5))
	return func() time.Duration {
		if random.IntN(4) > 0 {
			return 0
		}
		return time.Duration(random.IntN(int(maxListAge)))
	}
}

// changeRules stores the first rules and waits until all processes have them.
func (c *effortCluster) changeRules(t *testing.T, text string) {
	t.Helper()
	change := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "first", Text: []byte(text), By: "Ana"}}
	_, err := c.control.Client().Propose(t.Context(), change)
	require.NoError(t, err)
	time.Sleep(5 * time.Second)
}

// startEffortAgent starts an agent beside a worker. It has no disk, so its fencing token comes from the time.
func (c *effortCluster) startEffortAgent(w *effortWorker) {
	var seeds []string
	for _, e := range c.entries {
		seeds = append(seeds, e.address)
	}
	agent, err := vwagent.Make(vwagent.Options{
		Settings: vwagent.Settings{Cluster: "test", Process: vwid.Process(w.address), DataCentre: w.dataCentre, Rack: "a", Entries: seeds},
		MakeEndpoint: func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
			return c.network.MakeEndpoint(w.address, hello), nil
		},
		MakeLease: vwagent.MakeConfigLease, Logger: c.log, Timing: effortTiming,
		Worker: w.worker, Runs: vwrun.DefaultSettings(), Token: uint64(time.Now().UnixMilli()),
	})
	if err != nil {
		panic(err)
	}
	running := vwgroup.Make(context.Background())
	running.Run(func(ctx context.Context) { _ = agent.Run(ctx) })
	running.Run(func(ctx context.Context) { c.announceWorker(ctx, w, agent) })
	w.mu.Lock()
	w.agent, w.running = agent, running
	w.mu.Unlock()
}

// announceWorker keeps announcing a worker that is up and has not left.
func (c *effortCluster) announceWorker(ctx context.Context, w *effortWorker, agent *vwagent.Agent) {
	for sequence := uint64(1); ; sequence++ {
		if w.worker.IsUp() {
			_ = agent.AnnounceWorker(ctx, vwagent.WorkerOffer{
				Life: w.worker.Life(), Sequence: sequence, Service: service, Labels: []string{"a"}, Capacity: workerRoom(),
				Draining: w.hasLeft(),
			})
		}
		if vwgroup.Sleep(ctx, announceInterval) != nil {
			return
		}
	}
}

func (c *effortCluster) killEffortAgent(w *effortWorker) {
	agent, running := w.take()
	if agent == nil {
		return
	}
	c.network.Kill(w.address)
	_ = running.Stop()
}

// restartWorker begins another life of a worker, under the same id or another one.
func (w *effortWorker) restartWorker(sameID bool) {
	w.mu.Lock()
	if !sameID {
		w.lives++
	}
	lives := w.lives
	w.mu.Unlock()
	w.worker.Restart(vwid.Worker(fmt.Sprintf("worker-%d-%d", w.index, lives)))
}

func (c *effortCluster) stopAll() {
	for _, w := range c.workers {
		c.killEffortAgent(w)
		w.worker.Crash()
	}
	// Calls to workers end with the age of their lists.
	time.Sleep(maxListAge)
	c.stop()
}
