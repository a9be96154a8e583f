// Package vwworkertest is an in-memory worker that grants leases, for tests on the fake clock. It loses,
// delays and repeats nothing by itself; a test makes it misbehave through SetFaults, and reads from Record what
// callers could not see.
package vwworkertest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// errLost stands for an answer that does not arrive.
var errLost = errors.New("no answer")

// defaultLease is the longest lease that a worker grants unless a test sets another.
const defaultLease = time.Second

// Fault is what happens to one call.
type Fault struct {
	// Delay is the time from the call to its effect.
	Delay time.Duration
	// Lost keeps the answer from the caller.
	Lost bool
	// Reject answers that nothing was done.
	Reject vwworker.Reason
	// Dropped means that the call never reaches the worker.
	Dropped bool
	// Broken means the same, and the connection ends at once.
	Broken bool
	// Shifted moves the end of the requested lease by Delay, as if it was counted from the arrival of the call.
	Shifted bool
}

// shift returns the time to add to the end of the lease that a call requests.
func (f *Fault) shift() vwworker.Clock {
	if !f.Shifted {
		return 0
	}
	return vwworker.Clock(f.Delay / time.Millisecond)
}

// Worker is a worker that grants leases.
type Worker struct {
	// Rate is how fast its clock runs; 1 is as fast as the caller's.
	Rate float64
	// MaxLease is the longest lease that it grants.
	MaxLease time.Duration
	// StopTime is how long the end of a stopped run takes.
	StopTime time.Duration
	// RunTime and Fails tell how a task runs. They are called with the lock held.
	RunTime func(task vwworker.Task) time.Duration
	Fails   func(task vwworker.Task) bool
	// Silent keeps calls that wait at the end of a life from noticing it, like those to a machine that loses power. Otherwise
	// their connections break, as they do when a process ends.
	Silent bool
	// ListAge, if it is set, returns by how much the lists of a report are older than its clock. It is called with the lock held.
	ListAge func() time.Duration
	// Started, if it is set, hears of each start with the lock held, and whether the present life has been
	// held before.
	Started func(run vwworker.Run, held bool)

	// Ended, if it is set, hears of each end with the lock held, also of those that a crash brings; then nobody is
	// told how.
	Ended func(run vwworker.Run, how vwworker.How)
	// Filled, if it is set, hears after each start with the lock held how much is in use.
	Filled func(used vwresource.Amount)

	mu      sync.Mutex
	faults  func(call string) Fault
	id      vwid.Worker
	born    int64
	begun   time.Time
	offset  vwworker.Clock
	up      bool
	token   uint64
	held    bool
	lease   vwworker.Clock
	lapse   *time.Timer
	number  uint64
	running map[vwworker.Run]*running
	highest map[vwworker.Task]int
	ended   []vwworker.Ended
	changed chan struct{}
	breaks  int
	needs   map[vwworker.Task]vwresource.Amount
	peak    vwresource.Amount
	starts  map[vwworker.Task]int
}

type running struct {
	timer    *time.Timer
	stopping bool
}

// Make returns a worker that is up.
func Make(id vwid.Worker) *Worker {
	w := &Worker{
		Rate: 1, MaxLease: defaultLease, StopTime: 20 * time.Millisecond,
		RunTime: func(vwworker.Task) time.Duration { return 100 * time.Millisecond },
		Fails:   func(vwworker.Task) bool { return false },
		id:      id, needs: map[vwworker.Task]vwresource.Amount{}, starts: map[vwworker.Task]int{},
	}
	w.Restart(id)
	return w
}

// SetFaults sets what draws the fault of a call; nil ends all faults.
func (w *Worker) SetFaults(faults func(call string) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

func (w *Worker) drawFault(call string) Fault {
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	if faults == nil {
		return Fault{}
	}
	return faults(call)
}

// Restart begins another life, under the same id or another. Everything that runs ends without a word.
func (w *Worker) Restart(id vwid.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
	w.id, w.up = id, true
	w.begun = time.Now()
	w.born = max(w.begun.UnixMilli(), w.born+1)
	w.offset = 1 + vwworker.Clock(w.born%9973)
	w.token, w.held, w.lease, w.number = 0, false, 0, 0
	w.running, w.highest, w.ended = map[vwworker.Run]*running{}, map[vwworker.Task]int{}, nil
	w.changed = make(chan struct{})
}

// Crash ends the worker. Calls find nobody.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
	w.up = false
}

func (w *Worker) end() {
	for id, r := range w.running {
		r.timer.Stop()
		w.tellEnd(id, vwworker.Unknown)
	}
	clear(w.running)
	if w.changed != nil && !w.Silent {
		w.breakConnections()
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
}

// BreakConnections ends the calls that wait, without an answer.
func (w *Worker) BreakConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breakConnections()
}

func (w *Worker) breakConnections() {
	w.breaks++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) tellEnd(id vwworker.Run, how vwworker.How) {
	if w.Ended != nil {
		w.Ended(id, how)
	}
}

// Life returns the present life.
func (w *Worker) Life() vwworker.Life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return vwworker.Life{ID: w.id, Born: w.born}
}

// IsUp reports whether the worker takes calls.
func (w *Worker) IsUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// Now returns the worker's clock.
func (w *Worker) Now() vwworker.Clock {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now()
}

// Needs tells the size of a task, for Peak.
func (w *Worker) Needs(task vwworker.Task, amount vwresource.Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needs[task] = amount
}

// Peak returns the most that was in use at one time.
func (w *Worker) Peak() vwresource.Amount {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Runs reports whether a run of the task goes on.
func (w *Worker) Runs(task vwworker.Task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.running {
		if id.Task == task {
			return true
		}
	}
	return false
}

// Running returns how many runs go on.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// Starts returns how often a task was started.
func (w *Worker) Starts(task vwworker.Task) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

func (w *Worker) now() vwworker.Clock {
	return w.offset + vwworker.Clock(float64(time.Since(w.begun))*w.Rate/float64(time.Millisecond))
}

// Start implements vwworker.Worker.
func (w *Worker) Start(ctx context.Context, order vwworker.StartOrder) (vwworker.Answer, error) {
	return call(ctx, w, "start", func(fault *Fault) (vwworker.Answer, error) {
		order.Until += fault.shift()
		return w.start(order)
	})
}

func (w *Worker) start(order vwworker.StartOrder) (vwworker.Answer, error) {
	if err := w.check(order.Worker, order.Token); err != nil {
		return vwworker.Answer{}, err
	}
	if w.running[order.Run] != nil {
		w.extend(order.Until)
		return vwworker.Answer{Now: w.now()}, nil
	}
	if order.Until <= w.now() {
		return vwworker.Answer{}, vwworker.ErrRejected{Reason: vwworker.Late, Now: w.now()}
	}
	w.extend(order.Until)
	if order.Run.Number <= w.highest[order.Run.Task] {
		return vwworker.Answer{}, vwworker.ErrRejected{Reason: vwworker.Superseded, Now: w.now()}
	}
	for id := range w.running {
		if id.Task == order.Run.Task {
			return vwworker.Answer{}, vwworker.ErrRejected{Reason: vwworker.Superseded, Now: w.now()}
		}
	}
	w.starts[order.Run.Task]++
	w.running[order.Run] = &running{timer: time.AfterFunc(w.RunTime(order.Run.Task), func() { w.finish(order.Run) })}
	used := vwresource.Amount{}
	for id := range w.running {
		used = used.Plus(w.needs[id.Task])
	}
	if w.Filled != nil {
		w.Filled(used)
	}
	w.peak = vwresource.Amount{CPU: max(w.peak.CPU, used.CPU), Memory: max(w.peak.Memory, used.Memory), GPUs: max(w.peak.GPUs, used.GPUs)}
	if w.Started != nil {
		w.Started(order.Run, w.held)
	}
	return vwworker.Answer{Now: w.now()}, nil
}

func (w *Worker) finish(id vwworker.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	how := vwworker.Done
	if w.Fails(id.Task) {
		how = vwworker.Failed
	}
	w.close(id, how)
}

func (w *Worker) close(id vwworker.Run, how vwworker.How) {
	r := w.running[id]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, id)
	w.tellEnd(id, how)
	w.highest[id.Task] = max(w.highest[id.Task], id.Number)
	w.number++
	w.ended = append(w.ended, vwworker.Ended{Number: w.number, Run: id, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stop implements vwworker.Worker.
func (w *Worker) Stop(ctx context.Context, order vwworker.StopOrder) (vwworker.Answer, error) {
	return call(ctx, w, "stop", func(*Fault) (vwworker.Answer, error) {
		if err := w.check(order.Worker, order.Token); err != nil {
			return vwworker.Answer{}, err
		}
		w.highest[order.Run.Task] = max(w.highest[order.Run.Task], order.Run.Number)
		if r := w.running[order.Run]; r != nil && !r.stopping {
			r.stopping = true
			r.timer.Stop()
			r.timer = time.AfterFunc(w.StopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.close(order.Run, vwworker.Stopped)
			})
		}
		return vwworker.Answer{Now: w.now()}, nil
	})
}

// Hold implements vwworker.Worker.
func (w *Worker) Hold(ctx context.Context, order vwworker.HoldOrder) (vwworker.Report, error) {
	return call(ctx, w, "hold", func(fault *Fault) (vwworker.Report, error) {
		if order.Until > 0 {
			order.Until += fault.shift()
		}
		return w.hold(order)
	})
}

func (w *Worker) hold(order vwworker.HoldOrder) (vwworker.Report, error) {
	if err := w.check(order.Worker, order.Token); err != nil {
		return vwworker.Report{}, err
	}
	w.held = true
	w.ended = slices.DeleteFunc(w.ended, func(e vwworker.Ended) bool { return e.Number <= order.Seen })
	w.extend(order.Until)
	if len(w.ended) == 0 && order.Wait > 0 {
		changed, born, breaks := w.changed, w.born, w.breaks
		w.mu.Unlock()
		timer := time.NewTimer(order.Wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		w.mu.Lock()
		switch {
		case w.breaks != breaks:
			return vwworker.Report{}, vwworker.ErrBroken{Err: errLost}
		case !w.up || w.born != born:
			return vwworker.Report{}, errLost
		}
	}
	report := vwworker.Report{Born: w.born, Ended: slices.Clone(w.ended)}
	for id := range w.running {
		report.Running = append(report.Running, id)
	}
	w.age()
	if !w.up || w.born != report.Born {
		return vwworker.Report{}, errLost
	}
	report.Now = w.now()
	return report, nil
}

// age lets the lists of a report grow old before its clock is read.
func (w *Worker) age() {
	if w.ListAge == nil {
		return
	}
	if age := w.ListAge(); age > 0 {
		w.mu.Unlock()
		time.Sleep(age)
		w.mu.Lock()
	}
}

// check refuses orders for another life and with a token below the highest one seen.
func (w *Worker) check(id vwid.Worker, token uint64) error {
	if id != w.id {
		return vwworker.ErrRejected{Reason: vwworker.OtherLife}
	}
	if token < w.token {
		return vwworker.ErrRejected{Reason: vwworker.Fenced, Now: w.now()}
	}
	w.token = token
	return nil
}

// extend moves the end of the lease, never to an earlier time.
func (w *Worker) extend(until vwworker.Clock) {
	until = min(until, w.now()+vwworker.Clock(w.MaxLease/time.Millisecond))
	if until > w.lease {
		w.lease = until
		w.armLapse()
	}
}

func (w *Worker) armLapse() {
	if w.lapse != nil {
		w.lapse.Stop()
	}
	remaining := time.Duration(float64(w.lease-w.now()) / w.Rate * float64(time.Millisecond))
	w.lapse = time.AfterFunc(remaining, w.endLease)
}

func (w *Worker) endLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.now() < w.lease {
		w.armLapse()
		return
	}
	for id := range w.running {
		w.close(id, vwworker.Lapsed)
	}
}

// call carries out one call with the faults that are drawn for it.
func call[A any](ctx context.Context, w *Worker, name string, act func(*Fault) (A, error)) (A, error) {
	var none A
	fault := w.drawFault(name)
	if fault.Dropped {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if fault.Broken {
		return none, vwworker.ErrBroken{Err: errLost}
	}
	type outcome struct {
		answer A
		err    error
	}
	done := make(chan outcome, 1)
	born := w.Life().Born
	time.AfterFunc(fault.Delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up || fault.Lost && w.born != born {
			// An order that the worker itself holds back ends with its life.
			done <- outcome{none, vwworker.ErrGone{Err: errLost}}
			return
		}
		if fault.Reject != "" {
			done <- outcome{none, vwworker.ErrRejected{Reason: fault.Reject, Now: w.now()}}
			return
		}
		answer, err := act(&fault)
		if !fault.Lost {
			done <- outcome{answer, err}
		}
	})
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case o := <-done:
		return o.answer, o.err
	}
}
