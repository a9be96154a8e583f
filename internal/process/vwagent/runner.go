package vwagent

import (
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// orphanGrace is how long the runs of an entry go on after its link has ended. A connection that was only
	// reset is dialled again within that time.
	orphanGrace = 240 * time.Millisecond
	// resultLife is how long results are kept for an entry whose link has ended.
	resultLife = 3 * time.Second
	// maxResults bounds the results that are kept for one entry.
	maxResults = 512
	// loadInterval is how often entries are told of changes of the free room that are not urgent.
	loadInterval = 50 * time.Millisecond
	// loadStep is the part of the capacity by which free room must change to be told.
	loadStep = 16
)

// WorkerOffer is what a worker that grants leases announces of itself.
type WorkerOffer struct {
	Life vwworker.Life
	// Sequence rises with each announcement of one life.
	Sequence uint64
	Service  vwid.Service
	Labels   []string
	Capacity vwresource.Amount
	// Now is the worker's clock.
	Now vwworker.Clock
	// Draining tells that the worker is leaving.
	Draining bool
}

// runner runs the tasks of best-effort jobs at a worker that grants leases. The control goroutine owns it.
type runner struct {
	agent  *Agent
	worker vwworker.Worker
	book   *vwrun.Book
	share  vwplace.Share
	offer  WorkerOffer
	// announcedAt is when the worker was last heard of.
	announcedAt time.Time
	// settled tells that the worker runs nothing of earlier incarnations of this agent.
	settled bool
	// owners holds what is kept for each entry that has runs or results here.
	owners map[vwid.Incarnation]*owner
	health health
}

// owner is an entry as the runner sees it.
type owner struct {
	process vwid.Process
	link    *link
	// received counts the tasks that came over link.
	received uint64
	told     vwmessage.Load
	toldAt   time.Time
	resumed  bool
	// lostAt is when the last link ended.
	lostAt  time.Time
	results []endedRun
}

// endedRun is a result that its entry may not have received.
type endedRun struct {
	at  time.Time
	end vwmessage.RunEnd
}

func makeRunner(a *Agent) *runner {
	return &runner{
		agent:  a,
		worker: a.options.Worker,
		book:   vwrun.Make(a.options.Runs, a.options.Token, a.logger),
		owners: map[vwid.Incarnation]*owner{},
	}
}

// AnnounceWorker takes what the worker says of itself.
func (a *Agent) AnnounceWorker(_ context.Context, offer WorkerOffer) error {
	if !a.do(func(now time.Time) { a.runner.announce(now, offer) }) {
		return vwverdict.Errorf(vwverdict.NotRun, "the agent has stopped")
	}
	return nil
}

// LeaveWorker takes the word of a life of the worker that it is leaving.
func (a *Agent) LeaveWorker(_ context.Context, worker vwid.Worker) error {
	if !a.do(func(now time.Time) { a.runner.leave(now, worker) }) {
		return vwverdict.Errorf(vwverdict.NotRun, "the agent has stopped")
	}
	return nil
}

func (r *runner) announce(now time.Time, offer WorkerOffer) {
	if offer.Life.Born < r.offer.Life.Born {
		r.agent.logger.Warn("announcement of an earlier life is ignored", "Worker", string(offer.Life.ID), "Born", offer.Life.Born)
		return
	}
	if offer.Life == r.offer.Life && offer.Sequence < r.offer.Sequence {
		r.agent.logger.Info("announcement that was overtaken is ignored", "Worker", string(offer.Life.ID), "Sequence", offer.Sequence, "Newest", r.offer.Sequence)
		return
	}
	changed := !r.sameOffer(&offer)
	if changed {
		r.agent.logger.Info("worker is announced", "Worker", string(offer.Life.ID), "Born", offer.Life.Born, "Service", string(offer.Service),
			"Capacity", offer.Capacity.String(), "Labels", offer.Labels, "Draining", offer.Draining)
	}
	if offer.Life != r.offer.Life {
		r.health = health{}
	}
	r.offer, r.announcedAt = offer, now
	r.book.Announce(now, vwrun.Offer{Life: offer.Life, Capacity: offer.Capacity, Now: offer.Now})
	if !changed {
		return
	}
	message := r.offerMessage()
	for _, o := range r.owners {
		if o.resumed {
			o.link.send(&message)
		}
	}
}

func (r *runner) sameOffer(other *WorkerOffer) bool {
	return r.offer.Life == other.Life && r.offer.Service == other.Service && r.offer.Capacity == other.Capacity && r.offer.Draining == other.Draining
}

func (r *runner) offerMessage() vwmessage.Offer {
	settle := r.agent.timing.Silence + orphanGrace + 2*runnerTick + r.agent.options.Runs.Longest()
	return vwmessage.Offer{
		Worker: r.offer.Life.ID, Service: r.offer.Service, Labels: r.offer.Labels, Capacity: r.offer.Capacity,
		SettleMilliseconds: settle.Milliseconds(),
	}
}

func (r *runner) leave(now time.Time, worker vwid.Worker) {
	if worker != r.offer.Life.ID {
		return
	}
	r.agent.logger.Info("worker has left", "Worker", string(worker))
	r.offer.Draining = true
	r.book.Forget(now, "the worker has left")
}

// attach takes a new link to an entry. Runs that an earlier incarnation of the entry left are of no use.
func (r *runner) attach(now time.Time, l *link) {
	process := l.session.Peer().Process
	for entry, o := range r.owners {
		if o.process == process && entry != l.entry {
			r.agent.logger.Info("entry has restarted; its runs are stopped", "Entry", string(process), "Runs", len(r.book.Held(entry)))
			r.forgetOwner(now, entry, "the entry has restarted")
		}
	}
	o := r.owners[l.entry]
	if o == nil {
		o = &owner{process: process}
		r.owners[l.entry] = o
	}
	o.link, o.received, o.resumed, o.lostAt = l, 0, false, time.Time{}
	r.resume(now, o, l.entry)
}

// detach notes the end of a link. A link that fell silent has used up the time for a new one.
func (r *runner) detach(now time.Time, l *link) {
	o := r.owners[l.entry]
	if o == nil || o.link != l {
		return
	}
	o.link, o.resumed, o.lostAt = nil, false, now
	if l.silent {
		o.lostAt = now.Add(-orphanGrace)
	}
	r.share.Remove(l.entry)
}

func (r *runner) forgetOwner(now time.Time, entry vwid.Incarnation, reason string) {
	r.book.StopOwned(now, entry, reason)
	r.share.Remove(entry)
	delete(r.owners, entry)
}

// resume sends the first message on a link, once the worker runs nothing of earlier incarnations: the entry takes
// it as the word that their runs have ended.
func (r *runner) resume(now time.Time, o *owner, entry vwid.Incarnation) {
	if !r.settled || o.link == nil || o.resumed {
		return
	}
	o.resumed = true
	message := &vwmessage.Resume{Offer: r.offerMessage(), Load: r.load(now, o, entry)}
	for _, spec := range r.book.Held(entry) {
		message.Held = append(message.Held, refOf(&spec))
	}
	for i := range o.results {
		message.Ended = append(message.Ended, o.results[i].end)
	}
	o.told, o.toldAt = message.Load, now
	o.link.send(message)
}

func refOf(spec *vwrun.Spec) vwmessage.RunRef {
	return vwmessage.RunRef{JobID: spec.Task.Job, Step: spec.Task.Step, Index: spec.Task.Index, Attempt: spec.Attempt}
}

// gate returns why no run may start now, or an empty text.
func (r *runner) gate(now time.Time) string {
	switch {
	case r.agent.stopping:
		return "the agent is stopping"
	case r.offer.Draining:
		return "the worker is draining"
	case !r.book.IsReady():
		return "the worker does not answer, or it is not known what it runs"
	case r.health.isEjected(now):
		return "the worker fails what it starts"
	}
	rules, known := r.rules(now)
	if !known {
		return "the agent knows no configuration that is recent enough"
	}
	if rules.IsOut(r.agent.settings.DataCentre) {
		return "data centre " + string(r.agent.settings.DataCentre) + " is out of service"
	}
	return ""
}

// rules returns the rules that best-effort jobs run under.
func (r *runner) rules(now time.Time) (*vwrule.Rules, bool) {
	if r.agent.current == nil {
		return nil, false
	}
	return r.agent.current.lease.RecentRules(now)
}

// load returns what an entry may use now.
func (r *runner) load(now time.Time, o *owner, entry vwid.Incarnation) vwmessage.Load {
	load := vwmessage.Load{Received: o.received, Slowdown: r.health.slowdown(now)}
	load.Reason = r.gate(now)
	load.Accepting = load.Reason == ""
	if load.Accepting {
		load.Free = r.share.FreeFor(now, entry, r.free())
		load.Kept = r.share.KeptFor(now, entry)
	}
	return load
}

// free returns the room for runs. A worker on probation gets one at a time.
func (r *runner) free() vwresource.Amount {
	if r.health.onProbation() && r.book.Len() > 0 {
		return vwresource.Amount{}
	}
	return r.book.Free()
}

// onRun starts the tasks of a message or refuses them.
func (r *runner) onRun(now time.Time, l *link, message *vwmessage.Run) {
	o := r.owners[l.entry]
	if o == nil || o.link != l {
		return
	}
	o.received += uint64(len(message.Tasks))
	reason := r.gate(now)
	for _, task := range message.Tasks {
		spec := vwrun.Spec{
			Task:    vwworker.Task{Job: message.JobID, Step: message.Step, Index: task.Index},
			Attempt: task.Attempt, Owner: l.entry, Team: message.Team, Needs: message.Needs, Payload: message.Payload,
			Expected:  time.Duration(message.ExpectedMicroseconds) * time.Microsecond,
			EndBefore: now.Add(time.Duration(message.EndWithinMilliseconds) * time.Millisecond),
		}
		if refusal := r.start(now, &spec, reason); refusal != "" {
			r.agent.counters.Refused.Add(1)
			r.finish(now, vwrun.Result{Spec: spec, Outcome: vwrun.OutcomeRefused, Verdict: vwverdict.NotRun, Reason: refusal})
		}
	}
}

// start starts one run and returns why it does not.
func (r *runner) start(now time.Time, spec *vwrun.Spec, reason string) string {
	if reason != "" {
		return reason
	}
	if !spec.Needs.Fits(r.share.FreeFor(now, spec.Owner, r.free())) {
		return "the worker has no room"
	}
	if err := r.book.Start(now, *spec); err != nil {
		return vwverdict.Reason(err)
	}
	r.share.Used(spec.Owner, spec.Needs)
	r.agent.counters.Started.Add(1)
	return ""
}

func (r *runner) onStopRuns(now time.Time, l *link, message *vwmessage.StopRuns) {
	r.book.StopJob(now, l.entry, message.JobID, message.Reason)
}

func (r *runner) onWant(now time.Time, l *link, message *vwmessage.Want) {
	r.share.SetWant(now, l.entry, message)
}

// settle carries out what the events have led to: orders to the worker, results and news to the entries.
func (r *runner) settle(now time.Time) {
	if !r.settled && r.book.IsReady() {
		r.settled = true
		for entry, o := range r.owners {
			r.resume(now, o, entry)
		}
	}
	for _, order := range r.book.TakeOrders(now) {
		r.agent.group.Run(func(ctx context.Context) { r.call(ctx, order) })
	}
	results := r.book.TakeResults()
	for i := range results {
		r.health.take(now, &results[i])
	}
	// Freed room is kept for the most urgent task first. An entry that is told of it with a result would send
	// a task of its own, and be refused.
	kept := r.keep(now)
	for _, result := range results {
		r.agent.counters.Finished.Add(1)
		if ran := r.agent.options.Observer.Ran; ran != nil && result.Outcome == vwrun.OutcomeDone {
			ran(result.Ran)
		}
		r.finish(now, result)
	}
	r.tellLoads(now, kept)
}

// keep keeps free room for those who want it and returns the entries to be told.
func (r *runner) keep(now time.Time) []vwid.Incarnation {
	if r.gate(now) != "" {
		return nil
	}
	return r.share.Keep(now, r.free())
}

// call makes one call of the worker and posts its answer.
func (r *runner) call(ctx context.Context, order vwrun.Order) {
	limited, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	var answered eventFunc
	switch {
	case order.Start != nil:
		answer, err := r.worker.Start(limited, *order.Start)
		answered = func(now time.Time) { r.book.StartAnswered(now, order, answer, err) }
	case order.Stop != nil:
		answer, err := r.worker.Stop(limited, *order.Stop)
		answered = func(now time.Time) { r.book.StopAnswered(now, order, answer, err) }
	default:
		report, err := r.worker.Hold(limited, *order.Hold)
		answered = func(now time.Time) { r.book.HoldAnswered(now, order, report, err) }
	}
	r.agent.post(answered)
}

// finish delivers a result to its entry and keeps it in case the link breaks.
func (r *runner) finish(now time.Time, result vwrun.Result) {
	o := r.owners[result.Spec.Owner]
	r.log(&result, o)
	if o == nil {
		return
	}
	end := vwmessage.RunEnd{
		Ref: refOf(&result.Spec), Outcome: uint8(result.Outcome), Verdict: result.Verdict, Reason: result.Reason,
		RunMicroseconds: result.Ran.Microseconds(), Load: r.load(now, o, result.Spec.Owner),
	}
	o.keep(now, end)
	if o.link != nil && o.resumed {
		o.told, o.toldAt = end.Load, now
		o.link.send(&end)
	}
}

func (o *owner) keep(now time.Time, end vwmessage.RunEnd) {
	old := 0
	for old < len(o.results) && (now.Sub(o.results[old].at) > resultLife || len(o.results)-old >= maxResults) {
		old++
	}
	o.results = append(o.results[old:], endedRun{at: now, end: end})
}

// log writes the end of a run. Those that are done are many and need no line.
func (r *runner) log(result *vwrun.Result, o *owner) {
	if result.Outcome == vwrun.OutcomeDone {
		return
	}
	entry := string(result.Spec.Owner)
	if o != nil {
		entry = string(o.process)
	}
	r.agent.logger.Info("run has ended", "Job", string(result.Spec.Task.Job), "Task", result.Spec.Task.Index, "Attempt", result.Spec.Attempt,
		"Team", string(result.Spec.Team), "Entry", entry, "Outcome", result.Outcome.String(), "Verdict", result.Verdict.String(),
		"Reason", result.Reason, "Milliseconds", result.Ran.Milliseconds(), "Worker", string(r.offer.Life.ID), "Free", r.book.Free().String())
}

// tellLoads tells entries what has changed, and that room is kept for them.
func (r *runner) tellLoads(now time.Time, kept []vwid.Incarnation) {
	for entry, o := range r.owners {
		if o.link == nil || !o.resumed {
			continue
		}
		load := r.load(now, o, entry)
		urgent := load.Accepting != o.told.Accepting || slices.Contains(kept, entry)
		if urgent || now.Sub(o.toldAt) >= loadInterval && r.differs(&load, &o.told) {
			o.told, o.toldAt = load, now
			o.link.send(&load)
		}
	}
}

// differs reports whether an entry would decide otherwise under a load than under what it was told.
func (r *runner) differs(load, told *vwmessage.Load) bool {
	step := max(r.offer.Capacity.CPU/loadStep, 1)
	change := load.Free.CPU - told.Free.CPU
	return change >= step || change <= -step || load.Slowdown > told.Slowdown*1.2 || load.Slowdown < told.Slowdown*0.8
}

// tick does what is due by time.
func (r *runner) tick(now time.Time) {
	r.book.Tick(now)
	r.checkOverdue(now)
	for entry, o := range r.owners {
		switch {
		case o.link != nil || o.lostAt.IsZero():
		case now.Sub(o.lostAt) >= resultLife:
			r.forgetOwner(now, entry, "the entry has not come back")
		case now.Sub(o.lostAt) >= orphanGrace:
			r.book.StopOwned(now, entry, "the link to the entry has ended")
		}
	}
}

// checkOverdue ejects a worker whose runs hang or go on far too long, and stops these, so that the tasks can run
// elsewhere. A single job may be longer than its caller expects, and goes on.
func (r *runner) checkOverdue(now time.Time) {
	if jobs := r.book.TakeOverdue(); jobs > 0 {
		ejected := r.health.isEjected(now)
		r.health.takeOverdue(now, jobs)
		if !ejected && r.health.isEjected(now) {
			r.agent.logger.Warn("worker is ejected, because its runs do not end", "Worker", string(r.offer.Life.ID), "Until", r.health.until.Sub(now).String())
		}
	}
	if r.health.isEjected(now) {
		r.book.StopOverdue(now, "the worker does not end what it runs")
	}
}

// isPresent reports whether a worker is announced that answers and is not leaving.
func (r *runner) isPresent() bool {
	return r.book.IsReady() && !r.offer.Draining
}

// idle reports whether nothing runs that a planned stop has to wait for.
func (r *runner) idle() bool {
	return r.book.Len() == 0
}
