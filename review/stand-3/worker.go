//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// work is what the spec of a task tells the worker.
type work struct {
	Milliseconds int `json:"ms"`
	CPU          int `json:"cpu"`
}

// attempt is one run of a task at one worker, as the worker saw it.
type attempt struct {
	task   string
	run    int
	worker string
	spec   string
	cpu    int
	begun  time.Time
	ended  time.Time
	how    string
}

type taskRun struct {
	task string
	run  int
}

type activeRun struct {
	*attempt
	timer *time.Timer
}

type endedRun struct {
	number int
	taskRun
	how string
}

// worker is a worker of the platform with its guard off: it starts what it is told to start.
type worker struct {
	id, service, zone, address, agent string
	labels                            []string
	cpu                               int
	maxHold                           time.Duration
	log                               *record

	mu       sync.Mutex
	boot     time.Time
	running  map[taskRun]*activeRun
	highest  map[string]int
	ends     []endedRun
	lastEnd  int
	token    uint64
	lease    time.Time
	state    string
	sequence int
	changed  chan struct{}
	history  []*attempt
	over     []string
	server   *http.Server
	stop     context.CancelFunc
	// acks are the times at which announcements of a state were acknowledged.
	acks map[string]time.Time
}

func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.boot, w.state = time.Now(), "ready"
	w.running, w.highest, w.changed = map[taskRun]*activeRun{}, map[string]int{}, make(chan struct{})
	w.acks = map[string]time.Time{}
	mux := http.NewServeMux()
	for path, handle := range map[string]func(http.ResponseWriter, []byte){"/v1/run-start": w.runStart, "/v1/run-stop": w.runStop, "/v1/hold": w.hold} {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) {
			body := new(bytes.Buffer)
			if _, err := body.ReadFrom(r.Body); err != nil {
				return
			}
			if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
				w.answer(out, http.StatusMisdirectedRequest, nil)
				return
			}
			handle(out, body.Bytes())
		})
	}
	w.server = &http.Server{Handler: mux}
	background.Go(func() { _ = w.server.Serve(listener) })
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	background.Go(func() { w.leases(ctx) })
	background.Go(func() { w.announce(ctx) })
	return nil
}

func (w *worker) clock() int64 { return time.Since(w.boot).Milliseconds() + 1 }

func (w *worker) answer(out http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clock-ms"], fields["born"] = w.clock(), w.boot.UnixMilli()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(fields)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// extend takes the deadline of an order. It never shortens, and is at most maxHold from now. The mutex is held.
func (w *worker) extend(deadline int64) {
	until := w.boot.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(w.maxHold); until.After(latest) {
		until = latest
	}
	if deadline > 0 && until.After(w.lease) {
		w.lease = until
	}
}

// fenced reports whether an order has a lower token than one before. The mutex is held.
func (w *worker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *worker) runStart(out http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.answer(out, http.StatusBadRequest, nil)
		return
	}
	status, reason := w.begin(&o)
	fields := map[string]any{}
	if reason != "" {
		fields["reason"] = reason
	}
	w.log.add("worker %s start %s run %d token %d: %d %s", w.id, o.Task, o.Run, o.Token, status, reason)
	w.answer(out, status, fields)
}

func (w *worker) begin(o *order) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := taskRun{o.Task, o.Run}
	switch {
	case w.fenced(o.Token):
		return http.StatusConflict, "fence"
	case w.running[key] != nil:
		w.extend(o.Deadline)
		return http.StatusOK, ""
	case o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		return http.StatusConflict, "old"
	case o.Deadline <= w.clock():
		return http.StatusConflict, "late"
	}
	w.extend(o.Deadline)
	var todo work
	_ = json.Unmarshal([]byte(o.Spec), &todo)
	a := &attempt{task: o.Task, run: o.Run, worker: w.id, spec: o.Spec, cpu: todo.CPU, begun: time.Now()}
	w.history = append(w.history, a)
	used := todo.CPU
	for _, r := range w.running {
		used += r.cpu
	}
	if used > w.cpu {
		w.over = append(w.over, fmt.Sprintf("worker %s: %s brings it to %d of %d", w.id, o.Task, used, w.cpu))
	}
	w.running[key] = &activeRun{attempt: a, timer: time.AfterFunc(time.Duration(todo.Milliseconds)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(key, "done")
	})}
	return http.StatusOK, ""
}

// end ends a run. The mutex is held.
func (w *worker) end(key taskRun, how string) {
	r := w.running[key]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, key)
	r.ended, r.how = time.Now(), how
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, key, how})
	w.log.add("worker %s end %s run %d %s", w.id, key.task, key.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) runStop(out http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.answer(out, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	fenced := w.fenced(o.Token)
	if !fenced {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		key := taskRun{o.Task, o.Run}
		if w.running[key] != nil {
			time.AfterFunc(20*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(key, "stopped")
			})
		}
	}
	w.mu.Unlock()
	w.log.add("worker %s stop %s run %d token %d fenced %t", w.id, o.Task, o.Run, o.Token, fenced)
	if fenced {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.answer(out, http.StatusOK, nil)
}

func (w *worker) hold(out http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.answer(out, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	if w.fenced(o.Token) {
		w.mu.Unlock()
		w.log.add("worker %s hold token %d: fence", w.id, o.Token)
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.extend(o.Deadline)
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	if len(w.ends) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for key := range w.running {
		running = append(running, []any{key.task, key.run, "", 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	w.answer(out, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// leases ends everything that runs when the lease expires.
func (w *worker) leases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if time.Now().After(w.lease) {
			for key := range w.running {
				w.end(key, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		w.sequence++
		state := w.state
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem-mb": 65536, "gpu": 0}, "labels": w.labels, "clock-ms": w.clock(), "sequence": w.sequence,
			"born": w.boot.UnixMilli(),
		})
		w.mu.Unlock()
		acknowledged := false
		if answer, err := client.Post("http://"+w.agent+"/v1/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body)); err == nil {
			acknowledged = answer.StatusCode/100 == 2
			_ = answer.Body.Close()
		}
		if acknowledged {
			w.mu.Lock()
			if _, known := w.acks[state]; !known {
				w.acks[state] = time.Now()
				w.log.add("worker %s is acknowledged as %s", w.id, state)
			}
			w.mu.Unlock()
		}
		pause := 1500 * time.Millisecond
		if !acknowledged {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// attempts returns the runs of all workers by task, in the order of their start.
func attempts(workers []*worker) map[string][]*attempt {
	found := map[string][]*attempt{}
	for _, w := range workers {
		w.mu.Lock()
		for _, a := range w.history {
			c := *a
			if c.ended.IsZero() {
				c.ended = time.Now()
			}
			found[c.task] = append(found[c.task], &c)
		}
		w.mu.Unlock()
	}
	for _, list := range found {
		sort.Slice(list, func(a, b int) bool { return list[a].begun.Before(list[b].begun) })
	}
	return found
}

// overlaps returns the tasks that ran twice at the same time.
func overlaps(workers []*worker) []string {
	var found []string
	for task, list := range attempts(workers) {
		for i, later := range list {
			for _, earlier := range list[:i] {
				end := earlier.ended
				if later.ended.Before(end) {
					end = later.ended
				}
				if together := end.Sub(later.begun); together > 0 {
					found = append(found, fmt.Sprintf("%s ran at %s (run %d) and at %s (run %d) for %v together", task, earlier.worker, earlier.run, later.worker, later.run, together.Round(10*time.Microsecond)))
				}
			}
		}
	}
	return found
}

// jobOf returns the job of a task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
