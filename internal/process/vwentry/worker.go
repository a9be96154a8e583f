package vwentry

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// worker is an agent incarnation as the entry sees it. Session is nil while no link to it is open.
type worker struct {
	vwdispatch.Worker
	session *vwlink.Session
	heard   bool
	leaving bool
	// asked is set by a demand message until a credit comes.
	asked bool
	jobs  map[vwid.SubmissionID]*job
}

// HandleMessage implements vwlink.Handler for links with agents and other entries.
func (e *Entry) HandleMessage(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	if !e.post(func() { e.handle(session, body, reply) }) {
		reply(nil, vwverdict.Errorf(vwverdict.NotRun, "the entry has stopped"))
	}
}

// HandleEnd implements vwlink.EndHandler.
func (e *Entry) HandleEnd(session *vwlink.Session, cause error) {
	e.post(func() { e.closeLink(session, cause) })
}

func (e *Entry) handle(session *vwlink.Session, body vwmessage.Body, reply vwlink.Reply) {
	switch message := body.(type) {
	case *vwmessage.Register:
		e.registerAgent(session, message, reply)
		return
	case *vwmessage.AwaitAnswer:
		e.awaitAnswer(message, reply)
		return
	case *vwmessage.LeaseRequest:
		e.relayLease(message, reply)
		return
	case *vwmessage.Cancel:
		e.cancelJob(message.SubmissionID)
		reply(&vwmessage.Ping{}, nil)
		return
	}
	if e.effort.handle(time.Now(), session, body) {
		return
	}
	w := e.workers[session.Peer().Incarnation]
	if w == nil || w.session != session {
		// A message of a link that was replaced; the records of the agent settle what it was about.
		e.counters.Stray.Add(1)
		return
	}
	switch message := body.(type) {
	case *vwmessage.Credit:
		w.asked = false
		e.queue.GrantFor(w.Incarnation, message.Team, message.Count)
	case *vwmessage.CreditRecall:
		e.counters.Recalls.Add(1)
		returned := e.queue.Recall(w.Incarnation, message.Count)
		e.send(w, &vwmessage.CreditReturn{Count: returned})
	case *vwmessage.Result:
		e.takeResult(w, message)
	case *vwmessage.Leaving:
		e.takeLeaving(w)
	default:
		reply(nil, vwverdict.Wrap(vwverdict.NotRun, trace.BadParameter("message kind %d is not for an entry", body.MessageKind())))
	}
}

// takeLeaving stops the use of a worker. Its agent waits until nobody needs its records, so those of
// ended jobs, whose answers are here, are acknowledged at once.
func (e *Entry) takeLeaving(w *worker) {
	w.leaving = true
	e.record(vwevent.Event{Kind: vwevent.WorkerLeaving, Peer: w.Process})
	e.queue.RemoveWorker(w.Incarnation)
	for _, j := range w.jobs {
		if j.Ended() {
			e.acknowledge(w, j)
		}
	}
}

// acknowledge lets an agent drop its records of an ended job. Those of a lost job belong to the next
// owner; of one that has not run there are none, and an agent would refuse a later acceptance of it.
func (e *Entry) acknowledge(w *worker, j *job) {
	delete(w.jobs, j.SubmissionID)
	if j.lost || j.hasNotRun() {
		return
	}
	e.send(w, &vwmessage.Acknowledge{SubmissionID: j.SubmissionID, Epoch: j.Epoch()})
}

func (e *Entry) send(w *worker, body vwmessage.Body) {
	if w.session == nil {
		return
	}
	if err := w.session.Send(e.group.Context(), body); err != nil {
		// The end of the link follows and settles what is in flight.
		_ = w.session.Close()
	}
}

// registerAgent records an agent in control and then opens the link to it.
func (e *Entry) registerAgent(session *vwlink.Session, message *vwmessage.Register, reply vwlink.Reply) {
	registration := vwstate.Registration{
		Incarnation: message.Incarnation,
		Process:     message.Process,
		Role:        vwstate.RoleAgent,
		DataCentre:  message.DataCentre,
		Rack:        message.Rack,
		Service:     message.Service,
		Slots:       message.Slots,
	}
	e.group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		outcome, err := vweditor.Propose(ctx, e.control, vwstate.Command{Register: &vwstate.Register{Registration: registration}})
		if err != nil {
			reply(nil, err)
			return
		}
		if outcome.Refusal == vwstate.RefusalNone {
			e.post(func() { e.openLink(session, registration) })
		}
		data, err := outcome.MarshalMsg(nil)
		reply(&vwmessage.Outcome{Outcome: data}, err)
	})
}

// openLink starts to use a link to an agent. It replaces an older one to the same incarnation, and
// settles what was in flight on that.
func (e *Entry) openLink(session *vwlink.Session, registration vwstate.Registration) {
	if session.Ended() {
		return
	}
	w := e.workers[registration.Incarnation]
	if w == nil {
		w = &worker{jobs: map[vwid.SubmissionID]*job{}}
		e.workers[registration.Incarnation] = w
	}
	w.Worker = vwdispatch.Worker{
		Incarnation: registration.Incarnation,
		Process:     registration.Process,
		Service:     registration.Service,
		DataCentre:  registration.DataCentre,
		Rack:        registration.Rack,
		Slots:       registration.Slots,
	}
	renewed := w.session == session
	w.session, w.heard, w.leaving = session, true, false
	if renewed {
		e.queue.AddWorker(w.Worker)
		return
	}
	e.record(vwevent.Event{Kind: vwevent.ConnectionOpened, Peer: w.Process})
	e.log.Info("link to agent open", "worker", string(w.Process), "incarnation", string(w.Incarnation))
	// The credits of the older link ended with it.
	e.queue.RemoveWorker(w.Incarnation)
	e.queue.AddWorker(w.Worker)
	for _, j := range w.jobs {
		e.reconcile(j, w)
	}
	e.settleReachable(w)
}

func (e *Entry) closeLink(session *vwlink.Session, cause error) {
	e.effort.close(time.Now(), session, cause)
	w := e.workers[session.Peer().Incarnation]
	if w == nil || w.session != session {
		return
	}
	e.record(vwevent.Event{Kind: vwevent.ConnectionClosed, Peer: w.Process, Message: causeText(cause)})
	e.log.Info("link to agent closed", "worker", string(w.Process), "incarnation", string(w.Incarnation), "cause", causeText(cause))
	w.session = nil
	e.queue.RemoveWorker(w.Incarnation)
}

func causeText(cause error) string {
	if cause == nil {
		return ""
	}
	return cause.Error()
}

// reconcile asks an agent, after a new link, which of the tasks that were sent to it have started.
func (e *Entry) reconcile(j *job, w *worker) {
	owed := j.Sent(w.Incarnation)
	if len(owed) == 0 || j.Ended() {
		return
	}
	e.fence(w, j, func(reply *vwmessage.FenceReply) { e.takeReconciliation(j, w, owed, reply) })
}

// fence asks for the start records of a job and delivers the reply to the loop. After a failure the
// link ends, and its successor asks again.
func (e *Entry) fence(w *worker, j *job, deliver func(*vwmessage.FenceReply)) {
	// The goroutine may touch neither the worker nor the job, which belong to the loop.
	session, peer := w.session, w.Process
	request := &vwmessage.Fence{SubmissionID: j.SubmissionID, Epoch: j.Epoch()}
	e.recordFence(vwevent.FenceSent, peer, request)
	e.group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, vwlink.DefaultTiming.Silence)
		defer cancel()
		reply, err := vwlink.Call[*vwmessage.FenceReply](ctx, session, request)
		if err != nil {
			_ = session.Close()
			return
		}
		e.recordFence(vwevent.FenceReplyReceived, peer, request)
		e.post(func() { deliver(reply) })
	})
}

func (e *Entry) takeReconciliation(j *job, w *worker, owed []int, reply *vwmessage.FenceReply) {
	if reply.Refused && reply.Epoch > j.Epoch() {
		e.loseJob(j)
		return
	}
	if reply.Refused {
		// The agent no longer has the records, so the tasks that it owes may have run.
		j.Lose(w.Incarnation)
		e.checkEnd(j)
		return
	}
	e.requeue(j, j.Reconcile(w.Incarnation, owed, reply))
	e.checkEnd(j)
}

func (e *Entry) requeue(j *job, indexes []int) {
	for _, index := range indexes {
		e.queue.Requeue(time.Now(), j.queuedTask(index))
	}
}

// loseWorker handles the end of an agent's registration: what was sent to it may have run.
func (e *Entry) loseWorker(w *worker) {
	e.log.Warn("worker lost", "worker", string(w.Process), "incarnation", string(w.Incarnation), "jobs", len(w.jobs))
	delete(e.workers, w.Incarnation)
	e.queue.RemoveWorker(w.Incarnation)
	for _, j := range w.jobs {
		for range j.Sent(w.Incarnation) {
			e.queue.Finish(time.Now(), w.Incarnation, j.Team, vwdispatch.FinishInfo{Failed: true})
		}
		j.Lose(w.Incarnation)
		e.checkEnd(j)
	}
}

func (e *Entry) takeResult(w *worker, result *vwmessage.Result) {
	j := e.jobs[result.SubmissionID]
	if j == nil {
		e.counters.Stray.Add(1)
		return
	}
	if result.Fenced && result.Epoch == j.Epoch() {
		e.loseJob(j)
		return
	}
	index, match := j.Apply(w.Incarnation, result)
	switch match {
	case vwjob.MatchStray:
		e.counters.Stray.Add(1)
		return
	case vwjob.MatchRequeue:
		e.counters.Refused.Add(1)
		e.requeue(j, []int{index})
		return
	case vwjob.MatchDone:
		e.recordResult(w, result)
		e.queue.Finish(time.Now(), w.Incarnation, j.Team, vwdispatch.FinishInfo{
			Failed:  result.Failed,
			RunTime: time.Duration(result.RunMicroseconds) * time.Microsecond,
		})
	}
	e.checkEnd(j)
}

// WorkerCount returns the number of agents with an open link.
func (e *Entry) WorkerCount(ctx context.Context) int {
	count, err := ask(ctx, e, func() int {
		open := 0
		for _, w := range e.workers {
			if w.session != nil {
				open++
			}
		}
		return open
	})
	if err != nil {
		return 0
	}
	return count
}
