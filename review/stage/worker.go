//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// stopTime is how long the end of a stopped run takes.
const stopTime = 20 * time.Millisecond

// interval is the time in which a task has run at a worker.
type interval struct {
	worker, task string
	run          int
	begun, ended time.Time
	how          string
	// kind is that of the worker in the life in which it ran.
	kind string
}

// orderBody holds the fields of all orders to a worker.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// atWork is a run that has not ended.
type atWork struct {
	task  string
	run   int
	begun time.Time
	end   *time.Timer
}

// worker is a stand-in that does what the pages say of a worker that grants leases and does not check its capacity. Each
// boot has a life of its own: a new clock, no fencing token and no runs.
type worker struct {
	stage *stage
	m     *machine
	id    string
	// kind is the label of the next boot's kind.
	kind string
	// firstBeat is the time from a boot to its first liveness report.
	firstBeat time.Duration
	// intercept, if it is set, takes an order over before it is carried out, and reports whether it did.
	intercept func(path string, text []byte, order *orderBody, response http.ResponseWriter) bool

	mu       sync.Mutex
	life     *life
	sequence int
	begun    int
	// history holds the runs of all lives that have ended.
	history []interval
}

// life is one boot of a worker.
type life struct {
	born     time.Time
	kind     string
	server   *http.Server
	group    *vwgroup.Group
	token    uint64
	lease    int64
	lapse    *time.Timer
	runs     map[string]*atWork
	highest  map[string]int
	number   int64
	finished [][]any
	changed  chan struct{}
}

func (s *stage) makeWorker(m *machine, id string) *worker {
	return &worker{stage: s, m: m, id: id, kind: "a", firstBeat: 20 * time.Millisecond}
}

func (w *worker) setIntercept(intercept func(path string, text []byte, order *orderBody, response http.ResponseWriter) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intercept = intercept
}

// change sets the kind of the next boot and the time to its first liveness report.
func (w *worker) change(kind string, firstBeat time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kind, w.firstBeat = kind, firstBeat
}

// boot begins a new life at the same address and under the same id.
func (w *worker) boot() error {
	listener, err := net.Listen("tcp", w.stage.address(w.m, portWorker))
	if err != nil {
		return err
	}
	w.mu.Lock()
	kind := w.kind
	w.mu.Unlock()
	l := &life{born: time.Now(), kind: kind, group: vwgroup.Make(context.Background()), runs: map[string]*atWork{}, highest: map[string]int{}, changed: make(chan struct{})}
	l.server = &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) { w.serve(l, response, request) }), ReadHeaderTimeout: 5 * time.Second}
	w.mu.Lock()
	w.life, w.sequence = l, 0
	w.mu.Unlock()
	w.stage.record.write(w.id, "boots on %s, born %d, kind %s", w.m.name, l.born.UnixMilli(), kind)
	l.group.Run(func(context.Context) { _ = l.server.Serve(listener) })
	l.group.Run(func(ctx context.Context) { w.beat(ctx, l) })
	return nil
}

// crash ends the present life, with all that runs in it, without a notice.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		return
	}
	w.life = nil
	for name := range l.runs {
		w.close(l, name, "crashed")
	}
	w.mu.Unlock()
	w.stage.record.write(w.id, "crashes")
	_ = l.server.Close()
	_ = l.group.Stop()
}

// beat sends liveness reports to the agent on the worker's machine until the life ends.
func (w *worker) beat(ctx context.Context, l *life) {
	w.mu.Lock()
	pause := w.firstBeat
	w.mu.Unlock()
	for vwgroup.Sleep(ctx, pause) == nil {
		w.mu.Lock()
		w.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,`+
			`"capacity":{"cpu":32000,"mem-mb":65536,"gpu":0},"labels":[%q,"r1-%s"],"clock-ms":%d,"sequence":%d,"born":%d}`,
			serviceName, w.stage.address(w.m, portWorker), w.m.zone, l.kind, w.m.zone, l.clock(), w.sequence, l.born.UnixMilli())
		w.mu.Unlock()
		a := w.stage.call(ctx, http.MethodPost, w.stage.address(w.m, portControl), "/v1/Instances.Heartbeat/"+w.id, "", body, time.Second)
		pause = beatTime
		if a.status != http.StatusOK {
			pause = 100 * time.Millisecond
		}
	}
}

// clock returns the time of the life's own clock, in milliseconds.
func (l *life) clock() int64 {
	return 1 + time.Since(l.born).Milliseconds()
}

// started returns how many tasks have begun, in all lives.
func (w *worker) started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun
}

// intervals returns all runs, also those that have not ended.
func (w *worker) intervals() []interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := slices.Clone(w.history)
	if w.life != nil {
		for _, r := range w.life.runs {
			found = append(found, interval{worker: w.id, task: r.task, run: r.run, begun: r.begun, ended: time.Now(), how: "running", kind: w.life.kind})
		}
	}
	return found
}

func (w *worker) serve(l *life, response http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(request.Body)
	var order orderBody
	if err != nil || json.Unmarshal(text, &order) != nil {
		http.Error(response, "{}", http.StatusBadRequest)
		return
	}
	if request.Header.Get("Expected-Instance") != w.id {
		http.Error(response, "{}", http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	intercept := w.intercept
	w.mu.Unlock()
	if intercept != nil && intercept(request.URL.Path, text, &order, response) {
		return
	}
	status, body := w.carryOut(l, request.URL.Path, &order)
	w.reply(l, response, status, body)
}

func (w *worker) reply(l *life, response http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"], body["born"] = l.clock(), l.born.UnixMilli()
	var text bytes.Buffer
	_ = json.NewEncoder(&text).Encode(body)
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_, _ = response.Write(text.Bytes())
}

// carryOut carries an order out.
func (w *worker) carryOut(l *life, path string, order *orderBody) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) (int, map[string]any) {
		if path != "/v1/hold" {
			w.stage.record.write(w.id, "%s %s run %d token %d: 409 %s", path, order.Task, order.Run, order.Token, reason)
		}
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if order.Token < l.token {
		return refuse("fence")
	}
	l.token = order.Token
	switch path {
	case "/v1/run-start":
		return w.runStart(l, order, refuse)
	case "/v1/run-stop":
		l.highest[order.Task] = max(l.highest[order.Task], order.Run)
		if r := l.runs[order.Task]; r != nil && r.run == order.Run {
			r.end.Stop()
			r.end = time.AfterFunc(stopTime, func() { w.endRun(l, order.Task, order.Run, "stopped") })
		}
		w.stage.record.write(w.id, "%s %s run %d token %d: 200", path, order.Task, order.Run, order.Token)
		return http.StatusOK, map[string]any{}
	case "/v1/hold":
		return w.hold(l, order)
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) runStart(l *life, order *orderBody, refuse func(string) (int, map[string]any)) (int, map[string]any) {
	r := l.runs[order.Task]
	switch {
	case r != nil && r.run == order.Run:
		w.extend(l, order.Deadline)
		return http.StatusOK, map[string]any{}
	case order.Deadline <= l.clock():
		return refuse("late")
	}
	w.extend(l, order.Deadline)
	if r != nil || order.Run <= l.highest[order.Task] {
		return refuse("old")
	}
	milliseconds := 100
	_, _ = fmt.Sscanf(order.Spec, "run %d", &milliseconds)
	w.begun++
	w.stage.record.write(w.id, "/v1/run-start %s run %d token %d deadline %d at clock %d: 200, begins", order.Task, order.Run, order.Token, order.Deadline, l.clock())
	l.runs[order.Task] = &atWork{task: order.Task, run: order.Run, begun: time.Now(), end: time.AfterFunc(time.Duration(milliseconds)*time.Millisecond, func() {
		w.endRun(l, order.Task, order.Run, "done")
	})}
	return http.StatusOK, map[string]any{}
}

// hold takes note of ends, extends the lease and returns the lists, after an end or the wait.
func (w *worker) hold(l *life, order *orderBody) (int, map[string]any) {
	l.finished = slices.DeleteFunc(l.finished, func(row []any) bool { return row[0].(int64) <= order.LastSeen })
	w.extend(l, order.Deadline)
	if len(l.finished) == 0 && order.Wait > 0 {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(order.Wait, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, r := range l.runs {
		running = append(running, []any{r.task, r.run, "", 50, 1000})
	}
	finished := slices.Clone(l.finished)
	if finished == nil {
		finished = [][]any{}
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished[:min(len(finished), 500)]}
}

// extend moves the end of the lease, never to an earlier time and by maxHold at most.
func (w *worker) extend(l *life, until int64) {
	until = min(until, l.clock()+maxHold)
	if until <= l.lease {
		return
	}
	l.lease = until
	if l.lapse != nil {
		l.lapse.Stop()
	}
	l.lapse = time.AfterFunc(time.Duration(until-l.clock())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if l.clock() < l.lease {
			return
		}
		for name := range l.runs {
			w.close(l, name, "lapsed")
		}
	})
}

func (w *worker) endRun(l *life, task string, run int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := l.runs[task]; r != nil && r.run == run {
		w.close(l, task, how)
	}
}

// close ends a run. The caller holds the lock.
func (w *worker) close(l *life, task, how string) {
	r := l.runs[task]
	r.end.Stop()
	delete(l.runs, task)
	l.highest[task] = max(l.highest[task], r.run)
	l.number++
	l.finished = append(l.finished, []any{l.number, task, r.run, how, ""})
	close(l.changed)
	l.changed = make(chan struct{})
	w.history = append(w.history, interval{worker: w.id, task: task, run: r.run, begun: r.begun, ended: time.Now(), how: how, kind: l.kind})
	w.stage.record.write(w.id, "%s run %d has ended: %s", task, r.run, how)
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
