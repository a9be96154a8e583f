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

// agentState holds the entry's state of one agent incarnation and its worker. The session is nil while no
// link to the agent is open.
type agentState struct {
	vwdispatch.Worker
	session *vwlink.Session
	// newestLink is the number of the newest link over which the agent has registered.
	newestLink       uint64
	seenSinceRenewal bool
	leaving          bool
	// demandPending is set by a demand message and cleared by the next credit.
	demandPending bool
	jobs          map[vwid.SubmissionID]*job
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
		e.serveAwaitAnswer(message, reply)
		return
	case *vwmessage.LeaseRequest:
		e.relayLease(message, reply)
		return
	case *vwmessage.Cancel:
		e.cancelJob(message.SubmissionID)
		reply(&vwmessage.Ping{}, nil)
		return
	}
	if e.bestEffort.handle(time.Now(), session, body) {
		return
	}
	w := e.agents[session.Peer().Incarnation]
	if w == nil || w.session != session {
		// The link was replaced; the start records that the agent sends on the new link cover what this
		// message reported.
		e.counters.Stray.Add(1)
		return
	}
	switch message := body.(type) {
	case *vwmessage.Credit:
		w.demandPending = false
		e.queue.GrantFor(w.Incarnation, message.Team, message.Count)
	case *vwmessage.CreditRecall:
		e.counters.Recalls.Add(1)
		returned := e.queue.ReturnCredits(w.Incarnation, message.Count)
		e.send(w, &vwmessage.CreditReturn{Count: returned})
	case *vwmessage.Result:
		e.handleResult(w, message)
	case *vwmessage.Leaving:
		e.handleLeaving(w)
	default:
		reply(nil, vwverdict.Wrap(vwverdict.NotRun, trace.BadParameter("message kind %d is not for an entry", body.MessageKind())))
	}
}

// handleLeaving stops sending tasks to an agent. It stays until all its records are acknowledged, so
// those of ended jobs, whose answers the entry has, are acknowledged at once.
func (e *Entry) handleLeaving(w *agentState) {
	w.leaving = true
	e.record(vwevent.Event{Kind: vwevent.WorkerLeaving, Peer: w.Process})
	e.queue.RemoveWorker(w.Incarnation)
	for _, j := range w.jobs {
		if j.Ended() {
			e.acknowledge(w, j)
		}
	}
}

// acknowledge lets an agent drop its records of an ended job. It sends nothing for a job whose ownership
// was lost, because the next owner needs the records, nor for one that has not run: there are no records,
// and the agent would refuse a later acceptance of the job.
func (e *Entry) acknowledge(w *agentState, j *job) {
	delete(w.jobs, j.SubmissionID)
	if j.ownershipLost || j.hasNotRun() {
		return
	}
	e.send(w, &vwmessage.Acknowledge{SubmissionID: j.SubmissionID, Epoch: j.Epoch()})
}

func (e *Entry) send(w *agentState, body vwmessage.Body) {
	if w.session == nil {
		return
	}
	if err := w.session.Send(e.group.Context(), body); err != nil {
		// The end of the link is reported next; a new link or the end of the registration then resolves
		// the tasks in flight.
		_ = w.session.Close()
	}
}

// registerAgent registers an agent in control and then opens the link to it.
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
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
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

// openLink starts to use a link to an agent. It replaces an older link to the same incarnation and
// reconciles the tasks that were in flight on that one.
func (e *Entry) openLink(session *vwlink.Session, registration vwstate.Registration) {
	if session.Ended() {
		return
	}
	w := e.agents[registration.Incarnation]
	if w == nil {
		w = &agentState{jobs: map[vwid.SubmissionID]*job{}}
		e.agents[registration.Incarnation] = w
	}
	if session.Number() < w.newestLink {
		// A registration takes as long as control needs for it.
		e.counters.Stray.Add(1)
		e.log.Warn("ignored the registration over a link, because the agent has registered over a newer one", "worker", string(w.Process), "incarnation", string(w.Incarnation))
		_ = session.Close()
		return
	}
	w.newestLink = session.Number()
	w.Worker = vwdispatch.Worker{
		Incarnation: registration.Incarnation,
		Process:     registration.Process,
		Service:     registration.Service,
		DataCentre:  registration.DataCentre,
		Rack:        registration.Rack,
		Slots:       registration.Slots,
	}
	renewed := w.session == session
	w.session, w.seenSinceRenewal, w.leaving = session, true, false
	if renewed {
		e.queue.AddWorker(w.Worker)
		return
	}
	e.record(vwevent.Event{Kind: vwevent.ConnectionOpened, Peer: w.Process})
	e.log.Info("link to agent opened", "worker", string(w.Process), "incarnation", string(w.Incarnation))
	// Credits are valid only on the link on which they were granted.
	e.queue.RemoveWorker(w.Incarnation)
	e.queue.AddWorker(w.Worker)
	for _, j := range w.jobs {
		e.reconcile(j, w)
	}
	e.resumeRecoveries(w)
}

func (e *Entry) closeLink(session *vwlink.Session, cause error) {
	e.bestEffort.close(time.Now(), session, cause)
	w := e.agents[session.Peer().Incarnation]
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

// reconcile asks an agent that has opened a new link which of the tasks that were sent to it have started.
func (e *Entry) reconcile(j *job, w *agentState) {
	unfinished := j.SentTo(w.Incarnation)
	if len(unfinished) == 0 || j.Ended() {
		return
	}
	e.fence(w, j, func(reply *vwmessage.FenceReply) { e.handleReconciliation(j, w, unfinished, reply) })
}

// fence requests the start records of a job and delivers the reply on the loop. If the request fails, the
// link is closed, and the next link repeats it.
func (e *Entry) fence(w *agentState, j *job, deliver func(*vwmessage.FenceReply)) {
	// The agent state and the job are owned by the loop, so the goroutine below must not access them.
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

func (e *Entry) handleReconciliation(j *job, w *agentState, unfinished []int, reply *vwmessage.FenceReply) {
	if reply.Refused && reply.Epoch > j.Epoch() {
		e.abandonJob(j)
		return
	}
	if reply.Refused {
		// The agent has dropped the records, so the unfinished tasks may have run.
		j.FailLostWorker(w.Incarnation)
		e.finishIfEnded(j)
		return
	}
	e.requeue(j, j.Reconcile(w.Incarnation, unfinished, reply))
	e.finishIfEnded(j)
}

func (e *Entry) requeue(j *job, indexes []int) {
	for _, index := range indexes {
		e.queue.Requeue(time.Now(), j.queuedTask(index))
	}
}

// handleWorkerLoss removes an agent whose registration has ended. The unfinished tasks that were sent to it
// may have run, so their jobs fail.
func (e *Entry) handleWorkerLoss(w *agentState) {
	e.log.Warn("worker lost", "worker", string(w.Process), "incarnation", string(w.Incarnation), "jobs", len(w.jobs))
	delete(e.agents, w.Incarnation)
	e.queue.RemoveWorker(w.Incarnation)
	for _, j := range w.jobs {
		for range j.SentTo(w.Incarnation) {
			e.queue.Finish(time.Now(), w.Incarnation, j.Team, vwdispatch.TaskResult{Failed: true})
		}
		j.FailLostWorker(w.Incarnation)
		e.finishIfEnded(j)
	}
}

func (e *Entry) handleResult(w *agentState, result *vwmessage.Result) {
	j := e.jobs[result.SubmissionID]
	if j == nil {
		e.counters.Stray.Add(1)
		return
	}
	if result.Fenced && result.Epoch == j.Epoch() {
		e.abandonJob(j)
		return
	}
	index, match := j.Apply(w.Incarnation, result)
	switch match {
	case vwjob.EffectDropped:
		e.counters.Stray.Add(1)
		return
	case vwjob.EffectRequeued:
		e.counters.Refused.Add(1)
		e.requeue(j, []int{index})
		return
	case vwjob.EffectDone:
		e.recordResult(w, result)
		e.queue.Finish(time.Now(), w.Incarnation, j.Team, vwdispatch.TaskResult{
			Failed:  result.Failed,
			RunTime: time.Duration(result.RunMicroseconds) * time.Microsecond,
		})
	}
	e.finishIfEnded(j)
}

// WorkerCount returns the number of agents with an open link.
func (e *Entry) WorkerCount(ctx context.Context) int {
	count, err := runOnLoop(ctx, e, func() int {
		open := 0
		for _, w := range e.agents {
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
