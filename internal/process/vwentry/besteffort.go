package vwentry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwboot"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// errCallerLeft is returned for a call whose caller had left before it was handled.
var errCallerLeft = errors.New("the caller has left")

// answerRetention is how long the answer of a completed or failed best-effort job is kept for a caller that sends
// the job again after it was answered.
const answerRetention = 5 * time.Second

// bestEffortJobs runs the jobs that have no record in control. The loop owns it.
type bestEffortJobs struct {
	entry    *Entry
	queue    *vwplace.Queue
	sessions map[vwid.Incarnation]*vwlink.Session
	calls    map[vwid.SubmissionID]*pendingCalls
	// answers holds the answers of jobs that completed or failed within answerRetention, answerOrder their ids, oldest
	// first.
	answers     map[vwid.SubmissionID]vwplace.Answer
	answerOrder []answeredJob
	stall       stallGuard
	// machineClock tells for how long the machine was suspended.
	machineClock *vwboot.Meter
}

// call is a call that waits for the answer of a job.
type call struct {
	// ctx is that of the caller's request.
	ctx    context.Context
	answer chan vwplace.Answer
}

// pendingCalls holds the calls that wait for the answer of one job.
type pendingCalls struct {
	job     vwplace.Job
	waiting map[*call]bool
	// packed is the compressed payload of the job; nil before triedPacking is set, or if it would not be shorter.
	packed       []byte
	triedPacking bool
}

// answeredJob holds the time at which a job was answered.
type answeredJob struct {
	id vwid.SubmissionID
	at time.Time
}

func makeBestEffort(e *Entry) *bestEffortJobs {
	b := &bestEffortJobs{
		entry:        e,
		sessions:     map[vwid.Incarnation]*vwlink.Session{},
		calls:        map[vwid.SubmissionID]*pendingCalls{},
		answers:      map[vwid.SubmissionID]vwplace.Answer{},
		machineClock: vwboot.MakeMeter(vwboot.Suspended),
	}
	b.queue = vwplace.MakeQueue(vwplace.Settings{
		DataCentre: e.settings.DataCentre, RemoteFactor: e.settings.RemoteFactor, MaxWaiting: e.settings.MaxWaitingJobs,
		Random: rand.NewPCG(rand.Uint64(), rand.Uint64()), IsAwaited: b.isAwaited,
	})
	return b
}

// RunBestEffort runs a job without a record in control and returns its answer. A call with the id of a job in flight
// joins that job. When ctx is done, the job is cancelled unless another call waits for it. A job whose callers have all left,
// by their connections in their contexts, is cancelled before further tasks of it are sent.
func (e *Entry) RunBestEffort(ctx context.Context, job vwplace.Job) (vwplace.Answer, error) {
	if vwcaller.HasLeft(ctx) {
		e.counters.Abandoned.Add(1)
		return vwplace.Answer{}, vwverdict.Wrap(vwverdict.NotRun, cmp.Or(ctx.Err(), errCallerLeft))
	}
	c := &call{ctx: ctx, answer: make(chan vwplace.Answer, 1)}
	err := runOnLoopForError(ctx, e, func() error { return e.bestEffort.submit(time.Now(), job, c) })
	removeCall := func() { e.bestEffort.removeCall(time.Now(), job.ID, c) }
	if err != nil {
		// The submission may still be in the mailbox.
		e.post(removeCall)
		return vwplace.Answer{}, err
	}
	select {
	case answer := <-c.answer:
		return answer, nil
	case <-e.group.Context().Done():
		return vwplace.Answer{}, vwverdict.Errorf(vwverdict.MayHaveRun, "the entry has stopped")
	case <-ctx.Done():
		e.post(removeCall)
		return vwplace.Answer{}, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	}
}

// RulesForBestEffort returns the rules in force, and whether they are recent enough for best-effort jobs. It may be
// called from any goroutine.
func (e *Entry) RulesForBestEffort() (*vwrule.Rules, bool) {
	current := e.holder.Current()
	return current.Rules(), current.AllowsBestEffort(time.Now())
}

// ReadyForBestEffort returns nil if the entry can run best-effort jobs, and otherwise the reason why not.
func (e *Entry) ReadyForBestEffort(ctx context.Context) error {
	if _, recent := e.RulesForBestEffort(); !recent {
		return trace.ConnectionProblem(nil, "no configuration that is recent enough")
	}
	workers, err := runOnLoop(ctx, e, func() int { return e.bestEffort.queue.UsableWorkers() })
	switch {
	case err != nil:
		return err
	case workers == 0:
		return trace.ConnectionProblem(nil, "no worker can be reached")
	}
	return nil
}

// WaitingJobs returns the number of a team's best-effort jobs of which no task has been sent.
func (e *Entry) WaitingJobs(ctx context.Context, team vwid.Team) (int, error) {
	return runOnLoop(ctx, e, func() int { return e.bestEffort.queue.WaitingJobs(team) })
}

func (b *bestEffortJobs) submit(now time.Time, job vwplace.Job, c *call) error {
	if answer, known := b.answers[job.ID]; known {
		b.entry.log.Info("job has been answered already", "job", string(job.ID), "outcome", answer.Outcome.String())
		c.answer <- answer
		return nil
	}
	if calls := b.calls[job.ID]; calls != nil {
		b.entry.log.Info("call joined a job in flight", "job", string(job.ID), "calls", len(calls.waiting)+1)
		calls.waiting[c] = true
		return nil
	}
	if _, recent := b.entry.RulesForBestEffort(); !recent {
		return refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "this entry has no configuration that is recent enough; use another entry or try again")
	}
	if !job.Deadline.IsZero() {
		job.Deadline = job.Deadline.Add(-b.stall.suspensionSince(job.ReceivedAt))
	}
	if err := b.queue.Submit(now, job); err != nil {
		if vwplace.IsStopping(err) {
			b.entry.counters.RefusedByStop.Add(1)
		}
		return err
	}
	b.calls[job.ID] = &pendingCalls{job: job, waiting: map[*call]bool{c: true}}
	return nil
}

// isAwaited reports whether the caller of any call of a job still waits for it. The server ends the contexts of callers that have left as
// well, but only after it has handed over their requests, which is late if the process stood still or is slow to read.
func (b *bestEffortJobs) isAwaited(id vwid.SubmissionID) bool {
	calls := b.calls[id]
	if calls == nil {
		return false
	}
	for c := range calls.waiting {
		if !vwcaller.HasLeft(c.ctx) {
			return true
		}
	}
	b.entry.counters.Abandoned.Add(1)
	return false
}

// removeCall removes a call from its job, and cancels the job if no other call waits for it.
func (b *bestEffortJobs) removeCall(now time.Time, id vwid.SubmissionID, c *call) {
	calls := b.calls[id]
	if calls == nil || !calls.waiting[c] {
		return
	}
	delete(calls.waiting, c)
	if len(calls.waiting) == 0 {
		b.queue.Cancel(now, id, "the caller has left")
	}
}

// handle processes an agent's message about best-effort jobs. It returns false for any other message.
func (b *bestEffortJobs) handle(now time.Time, session *vwlink.Session, body vwmessage.Body) bool {
	incarnation := session.Peer().Incarnation
	if resume, first := body.(*vwmessage.Resume); first {
		b.open(now, session, resume)
		return true
	}
	known := b.sessions[incarnation] == session
	switch message := body.(type) {
	case *vwmessage.Offer:
		if known {
			b.queue.UpdateWorker(incarnation, message)
		}
	case *vwmessage.Load:
		if known {
			b.queue.UpdateLoad(incarnation, message)
		}
	case *vwmessage.RunEnd:
		if vwrun.Outcome(message.Outcome) == vwrun.OutcomeRefused {
			b.entry.counters.Refused.Add(1)
		}
		if !known || !b.queue.EndRun(now, incarnation, message) {
			b.entry.counters.Stray.Add(1)
		}
	default:
		return false
	}
	return true
}

// open registers a link to an agent and adds its worker to the queue.
func (b *bestEffortJobs) open(now time.Time, session *vwlink.Session, resume *vwmessage.Resume) {
	if session.Ended() {
		return
	}
	peer := session.Peer()
	opened := b.queue.LinkUp(now, vwplace.Worker{
		Incarnation: peer.Incarnation, Process: peer.Process, DataCentre: peer.DataCentre, Link: session.Number(),
		Service: resume.Offer.Service, Labels: resume.Offer.Labels, Capacity: resume.Offer.Capacity,
		SettleTime: time.Duration(resume.Offer.SettleMilliseconds) * time.Millisecond,
	}, resume)
	if !opened {
		b.entry.counters.Stray.Add(1)
		b.entry.log.Warn("ignored the first message of a link, because the agent has opened a newer one", "agent", string(peer.Process), "incarnation", string(peer.Incarnation))
		_ = session.Close()
		return
	}
	b.sessions[peer.Incarnation] = session
	// Until the agent learns that the entry has opened the link, it keeps the runs only for as long as without a link.
	b.send(session, &vwmessage.Want{})
	b.entry.log.Info("worker is linked", "agent", string(peer.Process), "worker", string(resume.Offer.Worker), "incarnation", string(peer.Incarnation),
		"service", string(resume.Offer.Service), "held", len(resume.Held), "ended", len(resume.Ended), "accepting", resume.Load.Accepting, "reason", resume.Load.Reason)
}

// close removes a link that has ended and marks its worker as unlinked in the queue.
func (b *bestEffortJobs) close(now time.Time, session *vwlink.Session, cause error) {
	incarnation := session.Peer().Incarnation
	if b.sessions[incarnation] != session {
		return
	}
	delete(b.sessions, incarnation)
	b.queue.LinkDown(now, incarnation)
	b.entry.log.Warn("link to worker has ended", "agent", string(session.Peer().Process), "incarnation", string(incarnation), "cause", causeText(cause))
}

// apply applies new rules to the queue and announces their version to the agents.
func (b *bestEffortJobs) apply(rules *vwrule.Rules, version vwid.ConfigVersion) {
	b.queue.SetExcludedDataCentres(rules.Out())
	for _, session := range b.sessions {
		b.send(session, &vwmessage.ConfigAnnounce{Version: version})
	}
}

func (b *bestEffortJobs) send(session *vwlink.Session, body vwmessage.Body) {
	if err := session.Send(b.entry.group.Context(), body); err != nil {
		// The end of the link is reported next, and the queue then resolves the tasks at the agent.
		_ = session.Close()
	}
}

// flush sends the stops, tasks and demands that the queue has decided on, and answers the calls of jobs that have
// ended.
func (b *bestEffortJobs) flush(now time.Time) {
	b.observeStall(now)
	for _, stop := range b.queue.TakeStops() {
		if session := b.sessions[stop.Worker]; session != nil {
			b.send(session, &stop.Stop)
		}
	}
	for _, suspicion := range b.queue.TakeSuspicions() {
		b.logSuspicion(&suspicion)
	}
	for _, requeue := range b.queue.TakeRequeues() {
		b.entry.counters.Requeued.Add(int64(len(requeue.Tasks)))
		b.entry.log.Warn("tasks are placed again without a report of their end", "job", string(requeue.JobID), "tasks", requeue.Tasks,
			"agent", string(requeue.Agent), "incarnation", string(requeue.Incarnation), "reason", string(requeue.Reason))
	}
	b.answerEnded(now)
	if _, recent := b.entry.RulesForBestEffort(); !recent || b.stall.inPause(now) {
		return
	}
	sends := b.queue.Dispatch(now)
	for i := range sends {
		if session := b.sessions[sends[i].Worker]; session != nil {
			b.entry.counters.Starts.Add(int64(len(sends[i].Run.Tasks)))
			b.send(session, b.runMessage(session.Peer().Revision, &sends[i].Run))
		}
	}
	// A refusal that waits for the next event may come late for its caller.
	b.answerEnded(now)
	wants := b.queue.Demands(now)
	for i := range wants {
		if session := b.sessions[wants[i].Worker]; session != nil {
			b.entry.counters.Demands.Add(1)
			b.send(session, wantMessage(session.Peer().Revision, &wants[i].Message))
		}
	}
}

// observeStall handles the end of a stall of the event loop.
func (b *bestEffortJobs) observeStall(now time.Time) {
	stalled := b.stall.observe(now, b.machineClock.Suspended(now))
	if stalled == 0 {
		return
	}
	suspension := b.stall.detector.Suspension()
	b.entry.log.Warn("event loop stalled; no best-effort tasks are sent until the pause ends", "stall", stalled.String(), "suspension", suspension.String(),
		"pause", stallPause.String(), "jobs", b.queue.Len())
	if suspension > 0 {
		b.entry.expireLease(now)
		b.queue.Suspended(now, suspension)
	}
}

// runMessage returns the message that carries a Run to a peer of the given revision. The payload is compressed once for all
// tasks of its job.
func (b *bestEffortJobs) runMessage(revision int, run *vwmessage.Run) vwmessage.Body {
	calls := b.calls[run.JobID]
	if revision < vwmessage.RevisionPackedRun || calls == nil {
		return run
	}
	if !calls.triedPacking {
		calls.triedPacking = true
		if packed, shorter := vwmessage.PackPayload(run.Payload); shorter {
			calls.packed = packed
		}
	}
	if calls.packed == nil {
		return run
	}
	packed := *run
	packed.Payload = calls.packed
	return &vwmessage.PackedRun{Run: packed}
}

// wantMessage returns the message that carries a demand to a peer of the given revision.
func wantMessage(revision int, want *vwmessage.RankedWant) vwmessage.Body {
	if revision < vwmessage.RevisionPackedRun {
		return &want.Want
	}
	return want
}

// logSuspicion logs and counts a change of what is assumed of a task under which a worker has crashed.
func (b *bestEffortJobs) logSuspicion(suspicion *vwplace.Suspicion) {
	fields := []any{
		"job", string(suspicion.JobID), "task", suspicion.Index, "attempt", suspicion.Attempt, "team", string(suspicion.Team),
		"crashes", suspicion.Crashes, "agent", string(suspicion.Agent),
	}
	switch suspicion.Change {
	case vwplace.SuspicionRaised:
		b.entry.counters.Suspected.Add(1)
		b.entry.log.Warn("task is suspected of crashes", fields...)
	case vwplace.SuspicionCleared:
		b.entry.log.Info("task is cleared of suspicion", fields...)
	case vwplace.SuspicionConfirmed:
		b.entry.counters.GivenUp.Add(1)
		b.entry.log.Warn("task is given up", fields...)
	}
}

// answerEnded answers the calls of the jobs that have ended.
func (b *bestEffortJobs) answerEnded(now time.Time) {
	for _, answer := range b.queue.TakeAnswers() {
		b.answer(now, answer)
	}
}

func (b *bestEffortJobs) answer(now time.Time, answer vwplace.Answer) {
	calls := b.calls[answer.JobID]
	delete(b.calls, answer.JobID)
	if calls == nil {
		return
	}
	for c := range calls.waiting {
		c.answer <- answer
	}
	b.log(now, &calls.job, &answer)
	b.entry.counters.countBestEffort(&answer)
	if refused := b.entry.observer.Refused; refused != nil && answer.Outcome == vwplace.OutcomeRefused {
		refused(answer.Cause, answer.Level)
	}
	if answer.Outcome == vwplace.OutcomeCompleted || answer.Outcome == vwplace.OutcomeFailed {
		reportDuration(b.entry.observer.Answered, answer.TotalTime)
		b.answers[answer.JobID] = answer
		b.answerOrder = append(b.answerOrder, answeredJob{id: answer.JobID, at: now})
	}
	b.entry.signalIdle()
}

// log logs the outcome of a job, and for a job that did not complete also the state behind the decision. The key
// patience is the time from the job's arrival to its deadline.
func (b *bestEffortJobs) log(now time.Time, job *vwplace.Job, answer *vwplace.Answer) {
	fields := []any{
		"job", string(job.ID), "team", string(job.Team), "tasks", job.Count, "estimate", job.Estimate.String(),
		"patience", (job.Deadline.Sub(now) + answer.TotalTime).Round(time.Millisecond).String(), "outcome", answer.Outcome.String(), "verdict", answer.Verdict.String(), "reason", answer.Reason,
		"waited", answer.QueueTime.String(), "took", answer.TotalTime.String(), "objective", answer.Objective.Round(time.Millisecond).String(), "version", uint64(b.entry.appliedVersion),
	}
	if answer.Outcome != vwplace.OutcomeCompleted {
		unfinished := make([]string, 0, len(answer.Unfinished))
		for _, part := range answer.Unfinished {
			unfinished = append(unfinished, part.String())
		}
		if answer.Yield != nil {
			fields = append(fields, "job_level", answer.Yield.Level, "work", answer.Yield.Work, "loss", answer.Yield.LossPerWork,
				"ahead_level", answer.Yield.ToLevel, "ahead_work", answer.Yield.ToWork, "ahead_loss", answer.Yield.ToLossPerWork)
		}
		fields = append(fields, "needs", job.Needs.String(), "unfinished", unfinished, "workers", answer.Workers, "room", answer.MaxFree.String())
	}
	if answer.Outcome == vwplace.OutcomeRefused {
		fields = append(fields, "retry after", answer.RetryAfter.Round(time.Millisecond).String())
	}
	b.entry.log.Info("job has ended", fields...)
}

// tick applies the timeouts of the queue and drops answers older than answerRetention.
func (b *bestEffortJobs) tick(now time.Time) {
	b.queue.Tick(now)
	old := 0
	for old < len(b.answerOrder) && now.Sub(b.answerOrder[old].at) > answerRetention {
		delete(b.answers, b.answerOrder[old].id)
		old++
	}
	b.answerOrder = b.answerOrder[old:]
}
