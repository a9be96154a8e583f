// Package vwrun keeps account of the runs at one worker that grants leases. It decides which orders the worker
// gets, and says of each run when it has certainly ended: a run is over when the worker lists its end, when a
// later list does not show a run that the worker refuses from then on, or when the lease of everything at the
// worker has run out on its own clock.
//
// Book is plain state without goroutines or a clock. Its owner passes the time in, makes the calls that
// TakeOrders returns, and reports their answers.
package vwrun

import (
	"log/slog"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// phase is what the book knows of the worker.
type phase uint8

const (
	// phaseAbsent means that no worker is announced.
	phaseAbsent phase = iota
	// phaseSyncing means that it is not known what the worker runs.
	phaseSyncing
	// phaseReady means that every run at the worker is in the book.
	phaseReady
)

const (
	// quickRetries is how many holds follow an unanswered one without a pause.
	quickRetries = 3
	// foreignInterval is how often the list is asked for while runs of other orders are being stopped.
	foreignInterval = 20 * time.Millisecond
	// maxSyncInterval bounds the time between two attempts to learn what a silent worker runs.
	maxSyncInterval = 2 * time.Second
	// maxRenumbered bounds the tries to find a run number that the worker takes. Each doubles the step.
	maxRenumbered = 8
	// orderLife is longer than an order without an answer may be under way.
	orderLife = 15 * time.Second
	// overLife is longer than any answer is waited for.
	overLife = 5 * time.Second
	// maxListed is how many ends a worker lists at a time. A list of that length may be incomplete.
	maxListed = 500
)

// Offer is what a worker announces of itself.
type Offer struct {
	Life     vwworker.Life
	Capacity vwresource.Amount
	// Now is the worker's clock.
	Now vwworker.Clock
}

// Book holds the runs of one worker.
type Book struct {
	settings Settings
	logger   *slog.Logger

	phase    phase
	life     vwworker.Life
	capacity vwresource.Amount
	clock    workerClock
	// token is the fencing token. Raised counts how often it was too low, and guessed tells that it may equal
	// the one that made it so.
	token   uint64
	raised  int
	guessed bool
	// granted is the latest end of the lease that any order has asked for in this life.
	granted vwworker.Clock
	// seen is the number of the last end in the book, and acknowledged the last one that the worker knows of.
	seen, acknowledged uint64

	runs map[vwworker.Task]*run
	used vwresource.Amount
	// foreign are runs that the worker lists and that the book did not order, for example those of an
	// earlier run of the agent. They are stopped, and nothing starts meanwhile, because their size is not known.
	foreign map[vwworker.Run]*stop
	// absent is since when no worker is there.
	absent time.Time
	// over are runs that have certainly ended. A list that was made before their end may still show them.
	over map[vwworker.Run]time.Time
	// numbers remembers the last run number of each task that was started here lately.
	numbers numbers
	// reported is the worker's clock at the newest list.
	reported vwworker.Clock

	// overdue counts the jobs with overdue runs that nobody has taken note of, and ended is when the worker last
	// ended a run by itself.
	overdue int
	ended   time.Time

	holding, looking, hurry bool
	// heard is when the worker last answered, and listed when it last sent its list.
	heard, listed time.Time
	// misses counts the unanswered holds in a row.
	misses   int
	nextSync time.Time
	syncWait time.Duration

	orders  []Order
	results []Result
}

// Make returns a book without a worker. The token must be above those of earlier runs of the agent, if it can
// be told; otherwise the book finds one that the worker takes.
func Make(settings Settings, token uint64, logger *slog.Logger) *Book {
	return &Book{
		settings: settings,
		logger:   logger,
		token:    max(token, 1),
		clock:    workerClock{drift: settings.Drift},
		runs:     map[vwworker.Task]*run{},
		foreign:  map[vwworker.Run]*stop{},
		over:     map[vwworker.Run]time.Time{},
		numbers:  numbers{last: map[vwworker.Task]numbered{}},
	}
}

// Announce takes what the worker says of itself. Another life ends everything of the one before; news of an
// earlier life that comes late is ignored.
func (b *Book) Announce(now time.Time, offer Offer) {
	switch {
	case offer.Life.Born < b.life.Born:
		b.logger.Warn("announcement of an earlier life is ignored", "worker", string(offer.Life.ID), "born", offer.Life.Born, "current", b.life.Born)
		return
	case offer.Life.ID != b.life.ID:
		// Orders name the worker that they are for, so none reaches the new one.
		b.loseAll(now, "worker "+string(offer.Life.ID)+" has taken the place of this one")
		b.adopt(now, offer.Life)
	case offer.Life != b.life:
		b.adopt(now, offer.Life)
	case b.phase == phaseAbsent:
		b.sync(now)
	}
	b.capacity = offer.Capacity
	b.clock.observe(now, offer.Now)
}

// Forget tells that the worker is gone, and with it all that it was known to run. A start order that was under
// way may still reach another life under the same id, so runs that were never confirmed stay in the book until
// that life refuses them.
func (b *Book) Forget(now time.Time, reason string) {
	if b.phase == phaseAbsent {
		return
	}
	b.phase, b.absent = phaseAbsent, now
	b.logger.Warn("worker is gone", "worker", string(b.life.ID), "runs", len(b.runs), "reason", reason)
	clear(b.foreign)
	for _, r := range b.runs {
		if r.confirmed {
			b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, reason)
		}
	}
}

// IsReady reports whether runs can be started: the worker answers, and all that it runs is known.
func (b *Book) IsReady() bool {
	return b.phase == phaseReady && b.misses == 0 && len(b.foreign) == 0
}

// Free returns the room that is left.
func (b *Book) Free() vwresource.Amount {
	return b.capacity.Minus(b.used)
}

// Capacity returns the whole room.
func (b *Book) Capacity() vwresource.Amount {
	return b.capacity
}

// Life returns the announced life of the worker.
func (b *Book) Life() vwworker.Life {
	return b.life
}

// Len returns the number of runs that have not certainly ended.
func (b *Book) Len() int {
	return len(b.runs) + len(b.foreign)
}

// Has reports whether a run of the task has not certainly ended.
func (b *Book) Has(task vwworker.Task) bool {
	return b.runs[task] != nil
}

// Held returns what an entry has asked for that has not certainly ended.
func (b *Book) Held(owner vwid.Incarnation) []Spec {
	var held []Spec
	for _, r := range b.runs {
		if r.spec.Owner == owner {
			held = append(held, r.spec)
		}
	}
	return held
}

// Start starts a run, or returns why it does not. A run that is refused never starts.
func (b *Book) Start(now time.Time, spec Spec) error {
	switch {
	case !b.IsReady():
		return vwverdict.Errorf(vwverdict.NotRun, "the worker is not ready")
	case b.runs[spec.Task] != nil:
		return vwverdict.Errorf(vwverdict.NotRun, "a run of the task has not ended")
	case !spec.Needs.Fits(b.Free()):
		return vwverdict.Errorf(vwverdict.NotRun, "the worker has no room for %v; %v is free", spec.Needs, b.Free())
	}
	r := &run{spec: spec, id: vwworker.Run{Task: spec.Task, Number: b.numbers.next(now, spec.Task, spec.Attempt)}}
	b.runs[spec.Task] = r
	b.used = b.used.Plus(spec.Needs)
	b.orderStart(now, r)
	return nil
}

// Stop ends the run of a task. Its result follows.
func (b *Book) Stop(now time.Time, task vwworker.Task, reason string) {
	if r := b.runs[task]; r != nil {
		b.stop(now, r, true, reason)
	}
}

// StopJob ends the runs of a job that an entry has asked for.
func (b *Book) StopJob(now time.Time, owner vwid.Incarnation, job vwid.SubmissionID, reason string) {
	for task, r := range b.runs {
		if task.Job == job && r.spec.Owner == owner {
			b.stop(now, r, true, reason)
		}
	}
}

// StopOwned ends all runs of an entry.
func (b *Book) StopOwned(now time.Time, owner vwid.Incarnation, reason string) {
	for _, r := range b.runs {
		if r.spec.Owner == owner {
			b.stop(now, r, true, reason)
		}
	}
}

func (b *Book) stop(now time.Time, r *run, wanted bool, reason string) {
	if r.stop == nil {
		r.stop = &stop{requested: now, reason: reason}
	}
	r.stop.wanted = r.stop.wanted || wanted
	b.orderStop(now, r.id, r.stop)
}

// Tick does what is due by time.
func (b *Book) Tick(now time.Time) {
	for _, r := range b.runs {
		if r.stop != nil {
			b.orderStop(now, r.id, r.stop)
		} else if !r.spec.EndBefore.IsZero() && !now.Before(r.spec.EndBefore) {
			b.stop(now, r, true, "its time is over")
		}
	}
	for id, s := range b.foreign {
		b.orderStop(now, id, s)
	}
	b.checkLapse(now)
	b.checkQuiet(now)
	b.numbers.expire(now)
	for id, at := range b.over {
		if now.Sub(at) > overLife {
			delete(b.over, id)
		}
	}
}

// checkQuiet asks for the list anew when an end is due and no answer has come for a while: the order that waits for
// it may be lost.
func (b *Book) checkQuiet(now time.Time) {
	if !b.holding || now.Sub(b.listed) < b.settings.Quiet {
		return
	}
	for _, r := range b.runs {
		if due := r.sent.Add(r.spec.Expected); due.After(b.listed) && !now.Before(due) {
			b.hurry = true
			return
		}
	}
}

// checkLapse settles the runs of a worker that has not been heard of until its lease has certainly ended.
func (b *Book) checkLapse(now time.Time) {
	switch {
	case b.Len() == 0:
	case b.phase == phaseAbsent:
		if now.Sub(b.absent) > orderLife {
			b.loseAll(now, "no worker has come back")
		}
	case b.clock.known() && b.granted > 0 && now.After(b.clock.latest(b.granted)):
		b.loseAll(now, "the lease of the worker has run out without an answer")
		b.sync(now)
	}
}

// sync begins to learn what the worker runs.
func (b *Book) sync(now time.Time) {
	b.phase = phaseSyncing
	b.nextSync, b.syncWait = now, 0
}

// adopt goes on with another life of the worker. An order that was under way may have reached it when it has
// the same id, so runs stay in the book until the new life has told what it runs.
func (b *Book) adopt(now time.Time, life vwworker.Life) {
	b.logger.Info("worker has begun a life", "worker", string(life.ID), "born", life.Born, "previous", string(b.life.ID), "runs", len(b.runs))
	b.life = life
	b.clock = workerClock{drift: b.settings.Drift}
	b.granted, b.reported, b.seen, b.acknowledged, b.misses = 0, 0, 0, 0, 0
	clear(b.foreign)
	clear(b.over)
	// Orders of the earlier life that are still under way carry a lower token.
	b.token++
	for _, r := range b.runs {
		// The first list of the new life tells which runs it has. It takes no others.
		r.until, r.confirmedAt = 0, 0
		if r.stop != nil {
			r.stop.answered, r.stop.answeredAt = false, 0
		}
	}
	b.sync(now)
}

// raiseToken replaces a token that the worker has refused because an earlier run of the agent had a higher
// one. The wall clock from which tokens come may have been set back, so the steps grow.
func (b *Book) raiseToken(refused uint64) {
	if refused < b.token {
		return
	}
	b.token += 1000 << min(b.raised, 30)
	b.raised++
	b.guessed = true
	b.logger.Warn("fencing token was too low", "token", b.token, "raised", b.raised)
}

// loseAll settles all runs as ended without news.
func (b *Book) loseAll(now time.Time, reason string) {
	if b.Len() > 0 {
		b.logger.Warn("runs are lost", "worker", string(b.life.ID), "runs", len(b.runs), "foreign", len(b.foreign), "reason", reason)
	}
	clear(b.foreign)
	for _, r := range b.runs {
		b.settle(now, r, OutcomeLost, vwverdict.MayHaveRun, reason)
	}
}

// settle takes a run out of the book.
func (b *Book) settle(now time.Time, r *run, outcome Outcome, verdict vwverdict.Verdict, reason string) {
	delete(b.runs, r.spec.Task)
	b.used = b.used.Minus(r.spec.Needs)
	b.results = append(b.results, Result{Spec: r.spec, Outcome: outcome, Verdict: verdict, Reason: reason, Ran: now.Sub(r.sent), Overdue: r.overdue})
}
