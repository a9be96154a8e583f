package vwentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// answerLife is how long the answer of a best-effort job is kept for a caller that sends the job again although it
// was answered.
const answerLife = 5 * time.Second

// bestEffort holds the jobs that are not stored. The loop owns it.
type bestEffort struct {
	entry    *Entry
	queue    *vwplace.Queue
	sessions map[vwid.Incarnation]*vwlink.Session
	calls    map[vwid.SubmissionID]*effortCalls
	// answers are those of jobs that have ended lately, oldest the order in which they came.
	answers map[vwid.SubmissionID]vwplace.Answer
	oldest  []answered
	stall   stallGuard
}

// effortCalls are the calls that wait for one job.
type effortCalls struct {
	job     vwplace.Job
	waiting map[chan vwplace.Answer]bool
}

// answered is when a job was answered.
type answered struct {
	id vwid.SubmissionID
	at time.Time
}

func makeBestEffort(e *Entry) *bestEffort {
	return &bestEffort{
		entry: e,
		queue: vwplace.MakeQueue(vwplace.Settings{
			DataCentre: e.settings.DataCentre, RemoteFactor: e.settings.RemoteFactor, MaxWaiting: e.settings.MaxWaitingJobs,
			Random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		}),
		sessions: map[vwid.Incarnation]*vwlink.Session{},
		calls:    map[vwid.SubmissionID]*effortCalls{},
		answers:  map[vwid.SubmissionID]vwplace.Answer{},
	}
}

// RunBestEffort runs a job that is not stored and returns how it ended. A call with the id of a job that runs joins
// it. When ctx ends, its caller has left: the job ends unless another call waits for it.
func (e *Entry) RunBestEffort(ctx context.Context, job vwplace.Job) (vwplace.Answer, error) {
	call := make(chan vwplace.Answer, 1)
	err := askOnly(ctx, e, func() error { return e.effort.submit(time.Now(), job, call) })
	if err != nil {
		return vwplace.Answer{}, err
	}
	select {
	case answer := <-call:
		return answer, nil
	case <-e.group.Context().Done():
		return vwplace.Answer{}, vwverdict.Errorf(vwverdict.MayHaveRun, "the entry has stopped")
	case <-ctx.Done():
		e.post(func() { e.effort.leave(time.Now(), job.ID, call) })
		return vwplace.Answer{}, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	}
}

// RecentRules returns the rules in force, and false when the entry has none that best-effort jobs may run under.
// It may be called from any goroutine.
func (e *Entry) RecentRules() (*vwrule.Rules, bool) {
	current := e.holder.Current()
	return current.Rules(), current.IsRecent(time.Now())
}

// ReadyForBestEffort reports whether the entry can run best-effort jobs, and otherwise why not.
func (e *Entry) ReadyForBestEffort(ctx context.Context) error {
	if _, recent := e.RecentRules(); !recent {
		return trace.ConnectionProblem(nil, "no configuration that is recent enough")
	}
	workers, err := ask(ctx, e, func() int { return e.effort.queue.Workers() })
	switch {
	case err != nil:
		return err
	case workers == 0:
		return trace.ConnectionProblem(nil, "no worker can be reached")
	}
	return nil
}

// WaitingJobs returns the number of a team's best-effort jobs of which no task was sent.
func (e *Entry) WaitingJobs(ctx context.Context, team vwid.Team) (int, error) {
	return ask(ctx, e, func() int { return e.effort.queue.Waiting(team) })
}

func (b *bestEffort) submit(now time.Time, job vwplace.Job, call chan vwplace.Answer) error {
	if answer, known := b.answers[job.ID]; known {
		b.entry.log.Info("job was answered before", "job", string(job.ID), "outcome", answer.Outcome.String())
		call <- answer
		return nil
	}
	if calls := b.calls[job.ID]; calls != nil {
		b.entry.log.Info("call joins a job that runs", "job", string(job.ID), "calls", len(calls.waiting)+1)
		calls.waiting[call] = true
		return nil
	}
	if _, recent := b.entry.RecentRules(); !recent {
		return refuse(vwapi.CodeUnavailable, vwverdict.NotRun, "this entry has no configuration that is recent enough; use another entry or try again")
	}
	if err := b.queue.Submit(now, job); err != nil {
		return err
	}
	b.calls[job.ID] = &effortCalls{job: job, waiting: map[chan vwplace.Answer]bool{call: true}}
	return nil
}

// leave ends a job when the last of its callers has left.
func (b *bestEffort) leave(now time.Time, id vwid.SubmissionID, call chan vwplace.Answer) {
	calls := b.calls[id]
	if calls == nil || !calls.waiting[call] {
		return
	}
	delete(calls.waiting, call)
	if len(calls.waiting) == 0 {
		b.queue.Cancel(now, id, "the caller has left")
	}
}

// handle takes a message of an agent about its worker. It reports false for any other message.
func (b *bestEffort) handle(now time.Time, session *vwlink.Session, body vwmessage.Body) bool {
	incarnation := session.Peer().Incarnation
	if resume, first := body.(*vwmessage.Resume); first {
		b.open(now, session, resume)
		return true
	}
	known := b.sessions[incarnation] == session
	switch message := body.(type) {
	case *vwmessage.Offer:
		if known {
			b.queue.Update(incarnation, message)
		}
	case *vwmessage.Load:
		if known {
			b.queue.TakeLoad(incarnation, message)
		}
	case *vwmessage.RunEnd:
		if vwrun.Outcome(message.Outcome) == vwrun.OutcomeRefused {
			b.entry.counters.Refused.Add(1)
		}
		if !known || !b.queue.TakeEnd(now, incarnation, message) {
			b.entry.counters.Stray.Add(1)
		}
	default:
		return false
	}
	return true
}

// open begins to use a link to an agent.
func (b *bestEffort) open(now time.Time, session *vwlink.Session, resume *vwmessage.Resume) {
	if session.Ended() {
		return
	}
	peer := session.Peer()
	b.sessions[peer.Incarnation] = session
	b.queue.Open(now, vwplace.Worker{
		Incarnation: peer.Incarnation, Process: peer.Process, DataCentre: peer.DataCentre,
		Service: resume.Offer.Service, Labels: resume.Offer.Labels, Capacity: resume.Offer.Capacity,
		Settle: time.Duration(resume.Offer.SettleMilliseconds) * time.Millisecond,
	}, resume)
	b.entry.log.Info("worker is linked", "agent", string(peer.Process), "worker", string(resume.Offer.Worker), "incarnation", string(peer.Incarnation),
		"service", string(resume.Offer.Service), "held", len(resume.Held), "ended", len(resume.Ended), "accepting", resume.Load.Accepting, "reason", resume.Load.Reason)
}

// close notes the end of a link.
func (b *bestEffort) close(now time.Time, session *vwlink.Session, cause error) {
	incarnation := session.Peer().Incarnation
	if b.sessions[incarnation] != session {
		return
	}
	delete(b.sessions, incarnation)
	b.queue.Close(now, incarnation)
	b.entry.log.Warn("link to worker has ended", "agent", string(session.Peer().Process), "incarnation", string(incarnation), "cause", causeText(cause))
}

// apply takes new rules over and tells the agents that they exist.
func (b *bestEffort) apply(rules *vwrule.Rules, version vwid.ConfigVersion) {
	b.queue.SetOut(rules.Out())
	for _, session := range b.sessions {
		b.send(session, &vwmessage.ConfigAnnounce{Version: version})
	}
}

func (b *bestEffort) send(session *vwlink.Session, body vwmessage.Body) {
	if err := session.Send(b.entry.group.Context(), body); err != nil {
		// The end of the link follows and settles what is at the agent.
		_ = session.Close()
	}
}

// settle sends what the queue has decided and answers the calls of jobs that have ended.
func (b *bestEffort) settle(now time.Time) {
	for _, stop := range b.queue.TakeStops() {
		if session := b.sessions[stop.Worker]; session != nil {
			b.send(session, &stop.Stop)
		}
	}
	for _, answer := range b.queue.TakeAnswers() {
		b.answer(now, answer)
	}
	if stalled := b.stall.pass(now); stalled > 0 {
		b.entry.log.Warn("entry stood still; tasks are sent after a pause", "stall", stalled.String(), "pause", stallPause.String())
	}
	if _, recent := b.entry.RecentRules(); !recent || b.stall.holds(now) {
		return
	}
	sends := b.queue.Dispatch(now)
	for i := range sends {
		if session := b.sessions[sends[i].Worker]; session != nil {
			b.entry.counters.Starts.Add(int64(len(sends[i].Run.Tasks)))
			b.send(session, &sends[i].Run)
		}
	}
	wants := b.queue.Wants(now)
	for i := range wants {
		if session := b.sessions[wants[i].Worker]; session != nil {
			b.entry.counters.Demands.Add(1)
			b.send(session, &wants[i].Want)
		}
	}
}

func (b *bestEffort) answer(now time.Time, answer vwplace.Answer) {
	calls := b.calls[answer.JobID]
	delete(b.calls, answer.JobID)
	if calls == nil {
		return
	}
	for call := range calls.waiting {
		call <- answer
	}
	b.log(now, &calls.job, &answer)
	b.entry.counters.countBestEffort(answer.Outcome)
	if answer.Outcome == vwplace.OutcomeCompleted || answer.Outcome == vwplace.OutcomeFailed {
		observe(b.entry.observer.Answered, answer.Took)
		b.answers[answer.JobID] = answer
		b.oldest = append(b.oldest, answered{id: answer.JobID, at: now})
	}
	b.entry.signalIdle()
}

// log writes how a job has ended, and of one that is not complete what decided it.
func (b *bestEffort) log(now time.Time, job *vwplace.Job, answer *vwplace.Answer) {
	fields := []any{
		"job", string(job.ID), "team", string(job.Team), "tasks", job.Count, "estimate", job.Estimate.String(),
		"patience", (job.Deadline.Sub(now) + answer.Took).Round(time.Millisecond).String(), "outcome", answer.Outcome.String(), "verdict", answer.Verdict.String(), "reason", answer.Reason,
		"waited", answer.Waited.String(), "took", answer.Took.String(), "version", uint64(b.entry.applied),
	}
	if answer.Outcome != vwplace.OutcomeCompleted {
		unfinished := make([]string, 0, len(answer.Unfinished))
		for _, part := range answer.Unfinished {
			unfinished = append(unfinished, part.String())
		}
		fields = append(fields, "needs", job.Needs.String(), "unfinished", unfinished, "workers", answer.Workers, "room", answer.Room.String())
	}
	b.entry.log.Info("job has ended", fields...)
}

// tick ends jobs whose time is over and forgets old answers.
func (b *bestEffort) tick(now time.Time) {
	b.queue.Tick(now)
	old := 0
	for old < len(b.oldest) && now.Sub(b.oldest[old].at) > answerLife {
		delete(b.answers, b.oldest[old].id)
		old++
	}
	b.oldest = b.oldest[old:]
}
