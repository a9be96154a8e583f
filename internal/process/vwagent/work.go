package vwagent

import (
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/request/vwstart"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// waitingTask is a task that arrived under an over-committed credit and waits for a free slot. It has no start
// record yet and counts as not started.
type waitingTask struct {
	link    *link
	key     taskKey
	epoch   vwid.Epoch
	service vwid.Service
	team    vwid.Team
	payload []byte
	timeout time.Duration
}

// runningTask is a task at the backend server.
type runningTask struct {
	// entry and epoch identify the owner, which gets the result. A fence or a repeated start changes them.
	entry     vwid.Incarnation
	epoch     vwid.Epoch
	team      vwid.Team
	startedAt time.Time
	cancel    context.CancelFunc
}

// onStart queues the tasks that use a credit and refuses the others.
func (r *registration) onStart(now time.Time, l *link, start *vwmessage.Start) {
	r.receivedStarts++
	credited := min(len(start.Tasks), l.credits)
	l.credits -= credited
	r.granter.CreditsUsed(l.entry, credited)
	for i := range start.Tasks {
		task := &start.Tasks[i]
		w := waitingTask{
			link: l, key: taskKey{start.SubmissionID, task.TaskID}, epoch: start.Epoch, service: start.Service, team: start.Team,
			payload: task.Payload, timeout: time.Duration(task.TimeoutMilliseconds) * time.Millisecond,
		}
		if i >= credited {
			r.refuse(&w, "the start has no credit")
			continue
		}
		r.waiting = append(r.waiting, w)
	}
	r.startWaiting(now)
}

// startWaiting starts waiting tasks on free slots. It checks the conditions of a start here, right before it,
// and not when the task arrives.
func (r *registration) startWaiting(now time.Time) {
	if len(r.waiting) == 0 {
		return
	}
	reason := r.refusalReason(now)
	taken := 0
	for ; taken < len(r.waiting); taken++ {
		w := &r.waiting[taken]
		if reason != "" {
			r.refuse(w, reason)
			r.granter.SlotsFreed(1)
			continue
		}
		if len(r.running) >= r.slots() {
			break
		}
		r.start(now, w)
	}
	r.waiting = slices.Delete(r.waiting, 0, taken)
	r.dirty = r.dirty || taken > 0
}

// start writes the start record and calls the backend server.
func (r *registration) start(now time.Time, w *waitingTask) {
	if w.service != r.agent.backend.service {
		r.granter.SlotsFreed(1)
		r.refuse(w, "the backend server does not offer service "+string(w.service))
		return
	}
	if err := r.records.Start(now, w.key.submission, w.epoch, w.key.task); err != nil {
		r.granter.SlotsFreed(1)
		r.answerRefusedStart(w, err)
		return
	}
	ctx, cancel := context.WithCancel(r.workGroup.Context())
	running := &runningTask{entry: w.link.entry, epoch: w.epoch, team: w.team, startedAt: now, cancel: cancel}
	r.running[w.key] = running
	r.recordTask(vwevent.TaskStarted, w.key, w.epoch, w.link.entry)
	r.agent.counters.Started.Add(1)
	task := r.makeTask(w)
	r.workGroup.Run(func(context.Context) {
		defer cancel()
		r.call(ctx, running, task)
	})
}

func (r *registration) makeTask(w *waitingTask) vwbackend.Task {
	backend := &r.agent.backend
	task := vwbackend.Task{
		Address: backend.address, Service: backend.service,
		SubmissionID: w.key.submission, TaskID: w.key.task, Epoch: w.epoch,
		Payload: w.payload, Timeout: w.timeout,
	}
	if task.Timeout <= 0 || task.Timeout > r.agent.settings.MaxRun {
		task.Timeout = r.agent.settings.MaxRun
	}
	return task
}

// finishedCall is the event at the end of a call to the backend server.
type finishedCall struct {
	registration *registration
	running      *runningTask
	address      vwbackend.Address
	result       vwmessage.Result
	err          error
}

func (r *registration) call(ctx context.Context, running *runningTask, task vwbackend.Task) {
	begun := time.Now()
	payload, err := r.agent.options.Backend.Run(ctx, task)
	f := &finishedCall{registration: r, running: running, address: task.Address, err: err, result: vwmessage.Result{
		SubmissionID: task.SubmissionID, TaskID: task.TaskID,
		Verdict: vwverdict.Of(err), Payload: payload,
		RunMicroseconds: time.Since(begun).Microseconds(),
	}}
	if err != nil {
		f.result.Failed, f.result.Message = true, vwverdict.Reason(err)
	}
	r.agent.post(f)
}

func (f *finishedCall) apply(a *Agent, now time.Time) {
	r := f.registration
	key := taskKey{f.result.SubmissionID, f.result.TaskID}
	delete(r.running, key)
	r.granter.Finished(f.running.team, now.Sub(f.running.startedAt))
	r.dirty = true
	a.counters.Finished.Add(1)
	if vwbackend.IsUnreachable(f.err) {
		a.onUnreachable(f)
	}
	f.result.Epoch = f.running.epoch
	r.recordTask(vwevent.TaskEnded, key, f.result.Epoch, f.running.entry)
	if a.options.Observer.RecordRunTime != nil {
		a.options.Observer.RecordRunTime(now.Sub(f.running.startedAt))
	}
	if !r.records.Finish(now, &f.result) {
		a.counters.Late.Add(1)
		return
	}
	r.deliver(f.running.entry, &f.result)
}

// deliver sends a result to an entry. Without a link the result stays in the records until a fence asks for it.
func (r *registration) deliver(entry vwid.Incarnation, result *vwmessage.Result) {
	l := r.links[entry]
	if l != nil {
		l.handledWork++
	}
	if l == nil || !l.send(result) {
		r.agent.counters.Undelivered.Add(1)
	}
}

// refuse answers a task that does not start for a reason outside the records. The answer to a repeated start of
// a task that has started must not be NotRun.
func (r *registration) refuse(w *waitingTask, reason string) {
	if err := r.records.Check(w.key.submission, w.epoch, w.key.task); vwstart.IsAlreadyStarted(err) || vwstart.IsForgotten(err) {
		r.answerRefusedStart(w, err)
		return
	}
	r.agent.counters.Refused.Add(1)
	w.link.send(&vwmessage.Result{
		SubmissionID: w.key.submission, Epoch: w.epoch, TaskID: w.key.task,
		Verdict: vwverdict.NotRun, Failed: true, Message: reason,
	})
}

// answerRefusedStart answers a start that the records refuse. A task that has started is never answered with
// NotRun: its entry gets the result, now or when the task ends.
func (r *registration) answerRefusedStart(w *waitingTask, err error) {
	if !vwstart.IsAlreadyStarted(err) {
		r.agent.counters.Refused.Add(1)
		w.link.send(&vwmessage.Result{
			SubmissionID: w.key.submission, Epoch: w.epoch, TaskID: w.key.task,
			Verdict: vwverdict.Of(err), Fenced: vwstart.IsOutdated(err), Failed: true, Message: vwverdict.Reason(err),
		})
		return
	}
	r.agent.counters.Duplicate.Add(1)
	if result := r.records.Report(w.key.submission, w.epoch, w.key.task); result != nil {
		w.link.send(result)
	} else if running := r.running[w.key]; running != nil && w.epoch >= running.epoch {
		running.entry, running.epoch = w.link.entry, w.epoch
	}
}

func (r *registration) onCreditReturn(l *link, count int) {
	count = max(0, min(count, l.credits))
	l.credits -= count
	r.granter.CreditsReturned(l.entry, count)
}

// maxFenceBytes bounds the results inside a FenceReply, which must fit in one message.
const maxFenceBytes = 8 << 20

// onFence fences lower epochs. From then on the results of the submission go to the entry that fences. Results
// that do not fit in the reply follow it as separate messages; the reply lists their tasks as running.
func (r *registration) onFence(now time.Time, l *link, fence *vwmessage.Fence, answer vwlink.Reply) {
	reply := r.records.Fence(now, fence.SubmissionID, fence.Epoch)
	if reply.Refused {
		r.agent.counters.Late.Add(1)
		answer(reply, nil)
		return
	}
	r.agent.record(vwevent.Event{Kind: vwevent.Fenced, SubmissionID: fence.SubmissionID, Epoch: fence.Epoch, Peer: l.session.Peer().Process})
	// The reply guarantees that tasks that it does not list will never run.
	r.dropWaiting(func(w *waitingTask) bool {
		return w.key.submission == fence.SubmissionID && w.epoch <= fence.Epoch
	})
	for key, running := range r.running {
		if key.submission == fence.SubmissionID {
			running.entry, running.epoch = l.entry, fence.Epoch
		}
	}
	rest := splitResults(reply)
	answer(reply, nil)
	for _, result := range rest {
		l.send(result)
	}
}

// splitResults removes the results that exceed maxFenceBytes from a reply and returns them.
func splitResults(reply *vwmessage.FenceReply) []*vwmessage.Result {
	var rest []*vwmessage.Result
	size := 0
	for i := range reply.Started {
		result := reply.Started[i].Result
		if result == nil {
			continue
		}
		if size += len(result.Payload) + len(result.Message); size > maxFenceBytes {
			rest = append(rest, result)
			reply.Started[i].Result = nil
		}
	}
	return rest
}

func (r *registration) onAcknowledge(now time.Time, acknowledge *vwmessage.Acknowledge) {
	if !r.records.Acknowledge(now, acknowledge.SubmissionID, acknowledge.Epoch) {
		r.agent.counters.Late.Add(1)
	}
}

// onCancel aborts the running tasks of a submission and refuses those that wait for a slot.
func (r *registration) onCancel(now time.Time, cancel *vwmessage.Cancel) {
	tasks, known := r.records.Cancel(now, cancel.SubmissionID, cancel.Epoch)
	if !known {
		r.agent.counters.Late.Add(1)
		return
	}
	for _, task := range tasks {
		if running := r.running[taskKey{cancel.SubmissionID, task}]; running != nil {
			running.cancel()
		}
	}
	r.dropWaiting(func(w *waitingTask) bool {
		if w.key.submission != cancel.SubmissionID || w.epoch > cancel.Epoch {
			return false
		}
		r.refuse(w, "the submission is cancelled")
		return true
	})
}

// dropWaiting drops the waiting tasks for which drop is true.
func (r *registration) dropWaiting(drop func(w *waitingTask) bool) {
	before := len(r.waiting)
	r.waiting = slices.DeleteFunc(r.waiting, func(w waitingTask) bool { return drop(&w) })
	r.granter.SlotsFreed(before - len(r.waiting))
}
