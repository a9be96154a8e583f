package vwagent

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

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
	// orphanGrace is how long the runs of an entry continue after its link has ended. A connection that was
	// merely reset is redialled within that time.
	orphanGrace = 240 * time.Millisecond
	// resultRetention is how long results are kept for an entry whose link has ended.
	resultRetention = 3 * time.Second
	// maxResults bounds the results that are kept for one entry.
	maxResults = 512
	// lateAnnouncementLimit is how late an announcement may arrive. It spans three announcements of a worker.
	lateAnnouncementLimit = 5 * time.Second
	// loadInterval is the minimum interval between load messages to an entry that are not urgent.
	loadInterval = 100 * time.Millisecond
	// loadStepDivisor divides the CPU capacity to give the smallest change of free CPU that is sent.
	loadStepDivisor = 16
)

// WorkerOffer is the announcement of a worker that grants leases.
type WorkerOffer struct {
	Life vwworker.Life
	// Sequence increases with each announcement of one incarnation of the worker.
	Sequence uint64
	Service  vwid.Service
	Labels   []string
	Capacity vwresource.Amount
	// Draining is set if the worker is leaving.
	Draining bool
}

// runner runs the tasks of best-effort jobs at a worker that grants leases. The control goroutine owns it.
type runner struct {
	agent        *Agent
	worker       vwworker.Worker
	tracker      *vwrun.Tracker
	reservations vwplace.Reservations
	offer        WorkerOffer
	// pendingOffer is the offer of another incarnation that the worker has not confirmed.
	pendingOffer *WorkerOffer
	// announcedAt is the time of the last accepted announcement.
	announcedAt time.Time
	// highestSequence is the highest sequence of an accepted announcement of the current incarnation.
	highestSequence uint64
	// growthAllowedAt is when the capacity may grow again after an out-of-order announcement was accepted, which may be late.
	growthAllowedAt time.Time
	// oldRunsEnded is set once the worker runs nothing of earlier incarnations of this agent.
	oldRunsEnded bool
	// owners holds the state of each entry that is linked or has runs or results here.
	owners map[vwid.Incarnation]*owner
	health health
	// sentEnds counts the ends of runs that were sent to entries.
	sentEnds uint64
}

// owner is the state that the runner keeps for an entry.
type owner struct {
	process vwid.Process
	link    *link
	// tasksReceived counts the tasks received over link.
	tasksReceived uint64
	lastLoad      vwmessage.Load
	lastLoadAt    time.Time
	// loadDue is set when the offer has changed since the last load.
	loadDue    bool
	resumeSent bool
	// graceStart is when orphanGrace and resultRetention began: when the last link that the entry had opened ended, or
	// orphanGrace earlier if that link timed out. It is zero while the entry has opened link.
	graceStart time.Time
	results    []retainedResult
}

// retainedResult is a result that its entry may not have received.
type retainedResult struct {
	at  time.Time
	end vwmessage.RunEnd
}

func makeRunner(a *Agent) *runner {
	return &runner{
		agent:   a,
		worker:  a.options.Worker,
		tracker: vwrun.Make(a.options.Runs, a.options.Token, a.logger),
		owners:  map[vwid.Incarnation]*owner{},
	}
}

// AnnounceWorker records an announcement of the worker. Announcements out of order are ignored. One of another
// incarnation than the tracked one is used once the worker has confirmed it.
func (a *Agent) AnnounceWorker(_ context.Context, offer WorkerOffer) error {
	if !a.do(func(now time.Time) { a.runner.onAnnounce(now, offer) }) {
		return vwverdict.Errorf(vwverdict.NotRun, "the agent has stopped")
	}
	return nil
}

// LeaveWorker records that the worker leaves. It has no effect if another worker is announced.
func (a *Agent) LeaveWorker(_ context.Context, worker vwid.Worker) error {
	if !a.do(func(now time.Time) { a.runner.onLeave(now, worker) }) {
		return vwverdict.Errorf(vwverdict.NotRun, "the agent has stopped")
	}
	return nil
}

func (r *runner) onAnnounce(now time.Time, offer WorkerOffer) {
	if p := r.pendingOffer; p != nil && offer.Life == p.Life && offer.Sequence < p.Sequence {
		r.logOutOfOrder(&offer, p)
		return
	}
	if offer.Life == r.offer.Life {
		silent := now.Sub(r.announcedAt) >= lateAnnouncementLimit
		late := offer.Sequence < r.offer.Sequence
		switch {
		case late && !silent:
			r.logOutOfOrder(&offer, &r.offer)
			r.restrictOffer(now, &offer)
			return
		case offer.Sequence > r.highestSequence:
			r.growthAllowedAt = time.Time{}
		case late || silent:
			r.growthAllowedAt = now.Add(lateAnnouncementLimit)
		}
		if now.Before(r.growthAllowedAt) {
			offer.Capacity = offer.Capacity.Min(r.offer.Capacity)
		}
	}
	r.tracker.Announce(now, vwrun.Announcement{Life: offer.Life, Capacity: offer.Capacity, Draining: offer.Draining})
	if r.tracker.IsPending() && r.tracker.Life() != offer.Life {
		r.pendingOffer = &offer
		return
	}
	r.acceptOffer(now, &offer)
}

func (r *runner) logOutOfOrder(offer, newest *WorkerOffer) {
	r.agent.logger.Info("out-of-order announcement is ignored", "Worker", string(offer.Life.ID), "Sequence", offer.Sequence, "Newest", newest.Sequence,
		"Draining", offer.Draining, "Capacity", offer.Capacity.String())
}

// restrictOffer applies a drain and a smaller capacity from an out-of-order announcement: should the newest one be false,
// both must still take effect in time. A later announcement takes them back if this one is late.
func (r *runner) restrictOffer(now time.Time, late *WorkerOffer) {
	restricted := r.offer
	restricted.Draining = restricted.Draining || late.Draining
	restricted.Capacity = restricted.Capacity.Min(late.Capacity)
	if r.tracker.Life() == restricted.Life {
		r.tracker.Announce(now, vwrun.Announcement{Life: restricted.Life, Capacity: restricted.Capacity, Draining: restricted.Draining})
	}
	r.setOffer(&restricted)
}

// resolvePendingOffer accepts the pending offer once the worker has confirmed its incarnation, and drops it if the worker
// has denied it.
func (r *runner) resolvePendingOffer(now time.Time) {
	pending := r.pendingOffer
	switch {
	case pending == nil:
	case r.tracker.Life() == pending.Life:
		r.pendingOffer = nil
		r.acceptOffer(now, pending)
	case !r.tracker.IsPending():
		r.pendingOffer = nil
		r.agent.counters.Denied.Add(1)
		r.agent.rejections.record(r.agent.logger, now, string(pending.Life.ID), trace.BadParameter("the worker denies the start time %d; it is %s, started at %d", pending.Life.Born, r.tracker.Life().ID, r.tracker.Life().Born))
	}
}

// acceptOffer makes the offer of the tracked incarnation the current one.
func (r *runner) acceptOffer(now time.Time, offer *WorkerOffer) {
	if offer.Life != r.offer.Life {
		r.health = health{}
		r.growthAllowedAt, r.highestSequence = time.Time{}, 0
	}
	r.highestSequence = max(r.highestSequence, offer.Sequence)
	if r.pendingOffer != nil && r.pendingOffer.Life == offer.Life {
		r.pendingOffer = nil
	}
	r.announcedAt = now
	r.setOffer(offer)
}

// setOffer sets the current offer, and sends it to the entries with the next load if it has changed.
func (r *runner) setOffer(offer *WorkerOffer) {
	changed, otherKind := !r.sameOffer(offer), r.isOtherKind(offer)
	r.offer = *offer
	if !changed {
		return
	}
	r.agent.logger.Info("worker is announced", "Worker", string(offer.Life.ID), "Born", offer.Life.Born, "Service", string(offer.Service),
		"Capacity", offer.Capacity.String(), "Labels", offer.Labels, "Draining", offer.Draining)
	message := r.offerMessage()
	for _, o := range r.owners {
		if o.link != nil && otherKind {
			// Tasks on their way are meant for the previous kind. The entry learns on the next link that they have not started.
			r.agent.current.retire(o.link)
		}
		if o.resumeSent {
			o.loadDue = true
			o.link.send(&message)
		}
	}
}

// isOtherKind reports whether an offer is that of another incarnation which may not run what the current one may.
func (r *runner) isOtherKind(offer *WorkerOffer) bool {
	return r.offer.Life != offer.Life && r.offer.Life.ID != "" && (r.offer.Service != offer.Service || !slices.Equal(r.offer.Labels, offer.Labels))
}

func (r *runner) sameOffer(other *WorkerOffer) bool {
	return r.offer.Life == other.Life && r.offer.Service == other.Service && r.offer.Capacity == other.Capacity && r.offer.Draining == other.Draining &&
		slices.Equal(r.offer.Labels, other.Labels)
}

func (r *runner) offerMessage() vwmessage.Offer {
	settle := r.agent.timing.Silence + orphanGrace + 2*runnerTickInterval + r.agent.options.Runs.MaxTimeToEnd()
	return vwmessage.Offer{
		Worker: r.offer.Life.ID, Service: r.offer.Service, Labels: r.offer.Labels, Capacity: r.offer.Capacity,
		SettleMilliseconds: settle.Milliseconds(),
	}
}

// onLeave starts nothing more until the next announcement, and asks the worker whether it has ended. The message does not
// show that: the worker ends after it has sent it, and it may come from another writer.
func (r *runner) onLeave(now time.Time, worker vwid.Worker) {
	if worker != r.offer.Life.ID {
		return
	}
	r.agent.logger.Info("worker leaves", "Worker", string(worker), "Runs", r.tracker.Len())
	r.offer.Draining = true
	r.tracker.MarkLeaving(now)
}

// attach adds a new link to an entry and stops the runs of earlier incarnations of the entry, whose results are
// not needed any more.
func (r *runner) attach(now time.Time, l *link) {
	process := l.session.Peer().Process
	for entry, o := range r.owners {
		if o.process == process && entry != l.entry {
			r.agent.logger.Info("entry has restarted; its runs are stopped", "Entry", string(process), "Runs", len(r.tracker.OwnedBy(entry)))
			r.removeOwner(now, entry, "the entry has restarted")
		}
	}
	o := r.owners[l.entry]
	if o == nil {
		o = &owner{process: process}
		r.owners[l.entry] = o
	}
	o.link, o.tasksReceived, o.resumeSent = l, 0, false
	if l.session.Peer().Revision < vwmessage.RevisionOpenedLink {
		r.confirmOpened(l)
	}
	r.resume(now, o, l.entry)
}

// confirmOpened records that the entry of a link has opened it, which the first message about best-effort jobs shows. From then
// on the entry counts on the runs here until the link ends.
func (r *runner) confirmOpened(l *link) {
	if o := r.owners[l.entry]; o != nil && o.link == l {
		o.graceStart = time.Time{}
	}
}

// detach records the end of a link. After a timeout the runs get no orphanGrace, because the time for a new
// link has passed.
func (r *runner) detach(now time.Time, l *link) {
	o := r.owners[l.entry]
	if o == nil || o.link != l {
		return
	}
	o.link, o.resumeSent = nil, false
	if o.graceStart.IsZero() {
		o.graceStart = now
		if l.timedOut {
			o.graceStart = now.Add(-orphanGrace)
		}
	}
	r.reservations.RemoveEntry(l.entry)
}

func (r *runner) removeOwner(now time.Time, entry vwid.Incarnation, reason string) {
	r.tracker.StopOwnedBy(now, entry, reason)
	r.reservations.RemoveEntry(entry)
	delete(r.owners, entry)
}

// resume sends the first message on a link, once the worker runs nothing of earlier incarnations of the agent:
// from this message the entry concludes that their runs have ended.
func (r *runner) resume(now time.Time, o *owner, entry vwid.Incarnation) {
	if !r.oldRunsEnded || o.link == nil || o.resumeSent {
		return
	}
	o.resumeSent = true
	message := &vwmessage.Resume{Offer: r.offerMessage(), Load: r.load(now, o, entry)}
	for _, spec := range r.tracker.OwnedBy(entry) {
		message.Held = append(message.Held, runRefOf(&spec))
	}
	for i := range o.results {
		message.Ended = append(message.Ended, o.results[i].end)
	}
	o.lastLoad, o.lastLoadAt = message.Load, now
	o.link.send(message)
}

func runRefOf(spec *vwrun.Spec) vwmessage.RunRef {
	return vwmessage.RunRef{JobID: spec.Task.Job, Step: spec.Task.Step, Index: spec.Task.Index, Attempt: spec.Attempt}
}

// refusalReason returns why no run may start now, or an empty string if runs may start.
func (r *runner) refusalReason(now time.Time) string {
	switch {
	case r.agent.stopping:
		return "the agent is stopping"
	case r.offer.Draining:
		return "the worker is draining"
	case !r.tracker.IsReady():
		return "the worker does not answer, or it is not known what it runs"
	case r.tracker.Life() != r.offer.Life:
		return "another incarnation of the worker answers, which has not announced itself"
	case !r.tracker.CanStart(now):
		return "a run at the worker has not stopped, or another incarnation of it is announced"
	case r.health.isEjected(now):
		return "the worker fails what it starts"
	}
	rules, known := r.rules(now)
	switch {
	case !known:
		return "the agent knows no configuration that is recent enough"
	case r.agent.awaitsRules(now):
		return "the agent stood still and awaits the newest configuration"
	}
	if rules.IsOut(r.agent.settings.DataCentre) {
		return "data centre " + string(r.agent.settings.DataCentre) + " is out of service"
	}
	return ""
}

// rules returns the rules for best-effort jobs, and false if the agent has none that are recent enough.
func (r *runner) rules(now time.Time) (*vwrule.Rules, bool) {
	if r.agent.current == nil {
		return nil, false
	}
	return r.agent.current.lease.RecentRules(now)
}

// refusalReasonFor returns why no run of an entry may start now. The entry may have no link.
func (r *runner) refusalReasonFor(now time.Time, l *link) string {
	if l != nil && l.draining {
		return "the agent ends its link to the entry"
	}
	if maxRuns := r.agent.settings.MaxRuns; maxRuns > 0 && r.tracker.Len() >= maxRuns {
		return "the agent has as many runs as it may hold"
	}
	return r.refusalReason(now)
}

// onDraining tells the entry of a link that is to end to send no more tasks. Its runs go on. The message goes out before the
// entry is asked whether it has handled all messages.
func (r *runner) onDraining(now time.Time, l *link) {
	r.reservations.RemoveEntry(l.entry)
	o := r.owners[l.entry]
	if o == nil || o.link != l || !o.resumeSent {
		return
	}
	load := r.load(now, o, l.entry)
	o.lastLoad, o.lastLoadAt, o.loadDue = load, now, false
	l.send(&load)
}

// hasRunsOf reports whether runs of an entry have not ended.
func (r *runner) hasRunsOf(entry vwid.Incarnation) bool {
	return len(r.tracker.OwnedBy(entry)) > 0
}

// load returns the load report for an entry.
func (r *runner) load(now time.Time, o *owner, entry vwid.Incarnation) vwmessage.Load {
	load := vwmessage.Load{Received: o.tasksReceived, Slowdown: r.health.slowdown(now)}
	load.Reason = r.refusalReasonFor(now, o.link)
	load.Accepting = load.Reason == ""
	if load.Accepting {
		load.Free = r.reservations.FreeFor(now, entry, r.free())
		load.Kept = r.reservations.ReservedFor(now, entry)
	}
	return load
}

// free returns the free capacity. A worker on probation gets one run at a time.
func (r *runner) free() vwresource.Amount {
	if r.health.onProbation() && r.tracker.Len() > 0 {
		return vwresource.Amount{}
	}
	return r.tracker.Free()
}

// onRun starts the tasks of a message or refuses them.
func (r *runner) onRun(now time.Time, l *link, message *vwmessage.Run) {
	o := r.owners[l.entry]
	if o == nil || o.link != l {
		return
	}
	o.tasksReceived += uint64(len(message.Tasks))
	l.handledWork++
	reason := r.refusalReasonFor(now, l)
	for _, task := range message.Tasks {
		spec := vwrun.Spec{
			Task:    vwworker.Task{Job: message.JobID, Step: message.Step, Index: task.Index},
			Attempt: task.Attempt, Owner: l.entry, Team: message.Team, Needs: message.Needs, Payload: message.Payload,
			Expected: time.Duration(message.ExpectedMicroseconds) * time.Microsecond,
			Deadline: now.Add(time.Duration(message.EndWithinMilliseconds) * time.Millisecond),
		}
		if refusal := r.start(now, &spec, reason); refusal != "" {
			r.agent.counters.Refused.Add(1)
			r.deliverResult(now, vwrun.Result{Spec: spec, Outcome: vwrun.OutcomeRefused, Verdict: vwverdict.NotRun, Reason: refusal})
		}
	}
}

// start starts a run and returns an empty string, or returns why the run is refused. A reason that is not empty
// refuses it.
func (r *runner) start(now time.Time, spec *vwrun.Spec, reason string) string {
	if reason != "" {
		return reason
	}
	if !spec.Needs.Fits(r.reservations.FreeFor(now, spec.Owner, r.free())) {
		return "the worker has no room"
	}
	if err := r.tracker.Start(now, *spec); err != nil {
		return vwverdict.Reason(err)
	}
	r.owners[spec.Owner].dropResult(runRefOf(spec))
	r.reservations.Deduct(spec.Owner, spec.Needs)
	r.agent.counters.Started.Add(1)
	return ""
}

func (r *runner) onStopRuns(now time.Time, l *link, message *vwmessage.StopRuns) {
	r.tracker.StopJob(now, l.entry, message.JobID, message.Reason)
}

func (r *runner) onWant(now time.Time, l *link, message *vwmessage.Want, level int) {
	if l.draining {
		return
	}
	r.reservations.SetDemand(now, l.entry, message, level)
}

// flush sends pending orders to the worker, and results and loads to the entries. Once the worker runs nothing of
// earlier incarnations of the agent, it first sends the delayed Resume messages.
func (r *runner) flush(now time.Time) {
	if !r.oldRunsEnded && r.tracker.IsReady() {
		r.oldRunsEnded = true
		for entry, o := range r.owners {
			r.resume(now, o, entry)
		}
	}
	orders := r.tracker.TakeOrders(now)
	r.resolvePendingOffer(now)
	for _, order := range orders {
		r.agent.group.Run(func(ctx context.Context) { r.callWorker(ctx, order) })
	}
	r.agent.counters.WorkerCrashes.Add(uint64(r.tracker.TakeCrashes()))
	r.agent.counters.Unlisted.Add(uint64(r.tracker.TakeUnlisted()))
	r.agent.counters.OutdatedLists.Add(uint64(r.tracker.TakeOutdated()))
	results := r.tracker.TakeResults()
	for i := range results {
		r.health.recordResult(now, &results[i])
	}
	// Freed capacity is reserved for the most urgent task before results are sent. An entry that saw it in the
	// load of a result would send a task of its own, and that would be refused.
	toNotify := r.reserveCapacity(now)
	for _, result := range results {
		r.agent.counters.Finished.Add(1)
		if ran := r.agent.options.Observer.RecordRunTime; ran != nil && result.Outcome == vwrun.OutcomeDone {
			ran(result.RunTime)
		}
		r.deliverResult(now, result)
	}
	r.sendLoads(now, toNotify)
}

// reserveCapacity reserves free capacity for the entries that wait for it and returns the entries to notify.
func (r *runner) reserveCapacity(now time.Time) []vwid.Incarnation {
	if r.refusalReason(now) != "" {
		return nil
	}
	return r.reservations.Reserve(now, r.free())
}

// callWorker sends one order to the worker and posts the answer.
func (r *runner) callWorker(ctx context.Context, order vwrun.Order) {
	limited, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	var answered eventFunc
	switch {
	case order.Start != nil:
		answer, err := r.worker.Start(limited, *order.Start)
		answered = func(now time.Time) { r.tracker.StartAnswered(now, order, answer, err) }
	case order.Stop != nil:
		answer, err := r.worker.Stop(limited, *order.Stop)
		answered = func(now time.Time) { r.tracker.StopAnswered(now, order, answer, err) }
	default:
		report, err := r.worker.Hold(limited, *order.Hold)
		answered = func(now time.Time) { r.tracker.HoldAnswered(now, order, report, err) }
	}
	r.agent.post(answered)
}

// deliverResult sends a result to its entry and retains it in case the link breaks.
func (r *runner) deliverResult(now time.Time, result vwrun.Result) {
	o := r.owners[result.Spec.Owner]
	r.logEnd(&result, o)
	if o == nil {
		return
	}
	end := vwmessage.RunEnd{
		Ref: runRefOf(&result.Spec), Outcome: uint8(result.Outcome), Verdict: result.Verdict, Reason: result.Reason,
		RunMicroseconds: result.RunTime.Microseconds(), Load: r.load(now, o, result.Spec.Owner),
	}
	o.retainResult(now, end)
	if o.link != nil && o.resumeSent {
		o.lastLoad, o.lastLoadAt = end.Load, now
		r.sentEnds++
		o.link.handledWork++
		o.link.send(&end)
	}
}

func (o *owner) retainResult(now time.Time, end vwmessage.RunEnd) {
	old := 0
	for old < len(o.results) && (now.Sub(o.results[old].at) > resultRetention || len(o.results)-old >= maxResults) {
		old++
	}
	o.results = append(o.results[old:], retainedResult{at: now, end: end})
}

// dropResult drops the results of earlier runs with the same reference as one that starts: an entry refers to the runs of a
// job that is submitted again as to those of its first submission.
func (o *owner) dropResult(ref vwmessage.RunRef) {
	o.results = slices.DeleteFunc(o.results, func(r retainedResult) bool { return r.end.Ref == ref })
}

// logEnd logs the end of a run unless it is done; those would flood the log.
func (r *runner) logEnd(result *vwrun.Result, o *owner) {
	if result.Outcome == vwrun.OutcomeDone {
		return
	}
	entry := string(result.Spec.Owner)
	if o != nil {
		entry = string(o.process)
	}
	r.agent.logger.Info("run has ended", "Job", string(result.Spec.Task.Job), "Task", result.Spec.Task.Index, "Attempt", result.Spec.Attempt,
		"Team", string(result.Spec.Team), "Entry", entry, "Outcome", result.Outcome.String(), "Verdict", result.Verdict.String(),
		"Reason", result.Reason, "Milliseconds", result.RunTime.Milliseconds(), "Worker", string(r.offer.Life.ID), "Free", r.tracker.Free().String())
}

// sendLoads sends the load to entries for which it has changed or, as listed in toNotify, capacity was reserved.
func (r *runner) sendLoads(now time.Time, toNotify []vwid.Incarnation) {
	for entry, o := range r.owners {
		if o.link == nil || !o.resumeSent {
			continue
		}
		load := r.load(now, o, entry)
		urgent := o.loadDue || load.Accepting != o.lastLoad.Accepting || slices.Contains(toNotify, entry)
		if urgent || now.Sub(o.lastLoadAt) >= loadInterval && r.isSignificantChange(&load, &o.lastLoad) {
			// A copy is sent, so that a load that is not sent stays off the heap.
			message := load
			o.lastLoad, o.lastLoadAt, o.loadDue = load, now, false
			o.link.send(&message)
		}
	}
}

// isSignificantChange reports whether a load differs enough from the last one sent to change what the entry
// decides.
func (r *runner) isSignificantChange(load, last *vwmessage.Load) bool {
	step := max(r.offer.Capacity.CPU/loadStepDivisor, 1)
	change := load.Free.CPU - last.Free.CPU
	return change >= step || change <= -step || load.Slowdown > last.Slowdown*1.2 || load.Slowdown < last.Slowdown*0.8
}

// tick handles timeouts: those of the tracker, overdue runs, and entries whose link has ended.
func (r *runner) tick(now time.Time) {
	r.tracker.Tick(now)
	r.checkOverdue(now)
	for entry, o := range r.owners {
		switch {
		case o.graceStart.IsZero():
		case o.link == nil && now.Sub(o.graceStart) >= resultRetention:
			r.removeOwner(now, entry, "the entry has not come back")
		case now.Sub(o.graceStart) >= orphanGrace:
			r.tracker.StopOwnedBy(now, entry, "the link to the entry has ended")
		}
	}
}

// checkOverdue counts jobs with overdue runs against the worker. While the worker is ejected it stops overdue
// runs, so that their tasks can run elsewhere. A single overdue job does not eject a healthy worker, and
// continues: it may take longer than its caller expects.
func (r *runner) checkOverdue(now time.Time) {
	if jobs := r.tracker.TakeOverdueJobs(); jobs > 0 {
		ejected := r.health.isEjected(now)
		r.health.recordOverdue(now, jobs)
		if !ejected && r.health.isEjected(now) {
			r.agent.logger.Warn("worker is ejected, because its runs do not end", "Worker", string(r.offer.Life.ID), "Until", r.health.ejectedUntil.Sub(now).String())
		}
	}
	if r.health.isEjected(now) {
		r.tracker.StopOverdue(now, "the worker does not end what it runs")
	}
}

// isPresent reports whether the worker is announced, answers and is not leaving.
func (r *runner) isPresent() bool {
	return r.tracker.IsReady() && !r.offer.Draining
}

// idle reports whether no runs are left that a planned stop must wait for.
func (r *runner) idle() bool {
	return r.tracker.Len() == 0
}
