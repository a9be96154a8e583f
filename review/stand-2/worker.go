//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHold is max-hold-ms, the longest lease that a worker grants.
	maxHold = time.Second
	// heartbeatInterval is heartbeat-ms.
	heartbeatInterval = 1500 * time.Millisecond
	workerCPU         = 16000
	workerMemory      = 65536
)

// worker stands in for an application worker. It runs each task for a fixed time.
type worker struct {
	stage    *stage
	id       string
	machine  *machine
	taskTime time.Duration
	// label is the kind of the worker.
	label  string
	born   time.Time
	server *http.Server

	mu       sync.Mutex
	token    uint64
	deadline time.Duration
	runs     map[string]*taskRun
	// numbers holds the highest run number that was started, stopped or ended, by task.
	numbers  map[string]int
	finished [][]any
	lastEnd  int
	// sequence counts the heartbeats.
	sequence int
	// changed is closed when a run ends.
	changed chan struct{}
	// begun counts the runs that have begun, by task.
	begun map[string]int
	// kinds counts them by the kind that the worker had.
	kinds map[string]int
	// crashes tells whether the worker crashes on an order to start; nil means never. down is set once it has.
	crashes func(order *runOrder) bool
	down    bool
	// delays tells whether an order to start gets no answer and is carried out later; nil means never.
	delays func(order *runOrder) bool
	// held is called with each order to hold; it may be nil.
	held func(order *runOrder)
	// boot counts the boots. dark is set while the machine has no power.
	boot int
	dark bool
}

type taskRun struct {
	number int
	ends   time.Duration
}

// runOrder holds the fields of all orders.
type runOrder struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// startWorker starts the worker of an agent's machine.
func (s *stage) startWorker(m *machine, taskTime time.Duration) (*worker, error) {
	w := &worker{stage: s, id: "i-" + m.name, machine: m, taskTime: taskTime, label: "a", born: time.Now(), runs: map[string]*taskRun{}, numbers: map[string]int{}, begun: map[string]int{}, kinds: map[string]int{}, changed: make(chan struct{})}
	if err := w.listen(); err != nil {
		return nil, err
	}
	s.group.Run(w.tick)
	s.group.Run(w.announce)
	return w, nil
}

// listen opens the worker's port.
func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.machine.address(w.stage.workerPort()))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handle(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /v1/hold", w.handle(w.hold))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	w.stage.group.Run(func(context.Context) { _ = server.Serve(&workerListener{Listener: listener, worker: w}) })
	w.stage.group.Run(func(ctx context.Context) {
		<-ctx.Done()
		_ = server.Close()
	})
	return nil
}

// clock is the worker's steady clock.
func (w *worker) clock() time.Duration {
	return time.Since(w.born) + time.Second
}

// handle decodes an order, rejects one for another boot, and writes the answer.
func (w *worker) handle(act func(*runOrder) (int, map[string]any)) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		var order runOrder
		if json.NewDecoder(request.Body).Decode(&order) != nil {
			response.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		starts := request.URL.Path == "/v1/run-start"
		crashes := starts && w.crashes != nil && w.crashes(&order)
		delays := starts && w.delays != nil && w.delays(&order)
		if request.URL.Path == "/v1/hold" && w.held != nil {
			w.held(&order)
		}
		w.mu.Unlock()
		if delays {
			// The answer never comes.
			<-request.Context().Done()
			return
		}
		if crashes {
			w.crash(&order)
			<-request.Context().Done()
			return
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if expected := request.Header.Get("Expected-Instance"); expected == "" || expected == w.id {
			status, body = act(&order)
		}
		w.mu.Lock()
		body["clock-ms"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
		w.mu.Unlock()
		response.Header().Set("Content-Type", "application/json")
		response.WriteHeader(status)
		_ = json.NewEncoder(response).Encode(body)
	}
}

// accept checks the fencing token and extends the lease. The caller holds the mutex.
func (w *worker) accept(order *runOrder) bool {
	if order.Token < w.token {
		return false
	}
	w.token = order.Token
	w.deadline = max(w.deadline, min(time.Duration(order.Deadline)*time.Millisecond, w.clock()+maxHold))
	return true
}

func rejection(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(order *runOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.runs[order.Task]
	switch {
	case !w.accept(order):
		return rejection("fence")
	case known != nil && known.number == order.Run:
		return http.StatusOK, map[string]any{}
	case order.Run <= w.numbers[order.Task] || known != nil:
		return rejection("old")
	case time.Duration(order.Deadline)*time.Millisecond <= w.clock():
		return rejection("late")
	}
	w.numbers[order.Task] = order.Run
	w.begun[order.Task]++
	w.runs[order.Task] = &taskRun{number: order.Run, ends: w.clock() + w.taskTime}
	w.stage.note("%s, of kind %s: starts %s, run %d, of %q", w.id, w.label, order.Task, order.Run, order.Spec)
	w.kinds[w.label]++
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(order *runOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(order) {
		return rejection("fence")
	}
	w.numbers[order.Task] = max(w.numbers[order.Task], order.Run)
	if run := w.runs[order.Task]; run != nil && run.number == order.Run {
		w.end(order.Task, run, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// end lists the end of a run. The caller holds the mutex.
func (w *worker) end(task string, run *taskRun, how string) {
	delete(w.runs, task)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, task, run.number, how, ""})
	w.stage.note("%s: %s, run %d, has ended: %s", w.id, task, run.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(order *runOrder) (int, map[string]any) {
	w.mu.Lock()
	if !w.accept(order) {
		w.mu.Unlock()
		return rejection("fence")
	}
	for len(w.finished) > 0 && w.finished[0][0].(int) <= order.LastSeen {
		w.finished = w.finished[1:]
	}
	changed, waits := w.changed, len(w.finished) == 0
	w.mu.Unlock()
	if waits && order.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(order.Wait, 2000)) * time.Millisecond):
		}
	}
	return http.StatusOK, w.lists()
}

// lists returns what runs and what has ended.
func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.number, "", 50})
	}
	finished := append([][]any{}, w.finished...)
	return map[string]any{"running": running, "finished": finished}
}

// tick ends the runs that are done, and all runs when the lease has expired.
func (w *worker) tick(ctx context.Context) {
	for sleep(ctx, 5*time.Millisecond) {
		w.mu.Lock()
		now := w.clock()
		for task, run := range w.runs {
			switch {
			case now >= w.deadline:
				w.end(task, run, "lapsed")
			case now >= run.ends:
				w.end(task, run, "done")
			}
		}
		w.mu.Unlock()
	}
}

// announce sends the heartbeats to the agent.
func (w *worker) announce(ctx context.Context) {
	for acknowledged := false; ; {
		w.mu.Lock()
		if w.down {
			w.mu.Unlock()
			if !sleep(ctx, 20*time.Millisecond) {
				return
			}
			continue
		}
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.machine.address(w.stage.workerPort()), "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0}, "labels": []string{w.label, "r1-1"},
			"clock-ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		status, _ := call("POST", fmt.Sprintf("http://%s/v1/Instances.Heartbeat/%s", w.machine.address(w.stage.controlPort()), w.id), "", body, time.Second, nil)
		if status == http.StatusOK && !acknowledged {
			acknowledged = true
			w.stage.note("%s: first heartbeat acknowledged", w.id)
		}
		pause := heartbeatInterval
		if status != http.StatusOK {
			pause = 200 * time.Millisecond
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// running returns the tasks of a job that are at work.
func (w *worker) running(job string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for task := range w.runs {
		if len(task) > len(job) && task[:len(job)+1] == job+"." {
			found = append(found, task)
		}
	}
	return found
}

// sleep waits and reports whether ctx is still open.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
