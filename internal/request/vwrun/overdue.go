package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// checkOverdue notes a run that its worker still lists long after its end was expected. The worker's own clock
// counts: an agent that stood still has not seen the ends.
func (b *Book) checkOverdue(r *run, at vwworker.Clock) {
	if r.overdue || r.stop != nil || r.spec.Expected <= 0 {
		return
	}
	limit := b.limitOf(r)
	if time.Duration(at-r.confirmedAt)*time.Millisecond < limit {
		return
	}
	if !b.hasOverdue(r) {
		b.overdue++
	}
	r.overdue = true
	b.logger.Warn("run is overdue", "run", r.spec.Task.String(), "worker", string(b.life.ID), "expected", r.spec.Expected.String(), "limit", limit.String())
}

// limitOf returns how long a run may go on before it is overdue.
func (b *Book) limitOf(r *run) time.Duration {
	return time.Duration(b.settings.OverdueFactor*float64(r.spec.Expected)) + b.settings.OverdueMargin
}

// hasOverdue reports whether another run of the same job is overdue. The tasks of a job are alike, so several tell
// no more of the worker than one.
func (b *Book) hasOverdue(r *run) bool {
	for task, other := range b.runs {
		if task.Job == r.spec.Task.Job && other != r && other.overdue {
			return true
		}
	}
	return false
}

// TakeOverdue returns how many jobs have had their first overdue run here since the last call.
func (b *Book) TakeOverdue() int {
	count := b.overdue
	b.overdue = 0
	return count
}

// StopOverdue ends the runs that hang, so that their tasks can run elsewhere. A worker that is only slow ends some of
// what it runs, and the work that it has done counts; there a run hangs when it has taken twice the limit.
func (b *Book) StopOverdue(now time.Time, reason string) {
	for _, r := range b.runs {
		hangs := b.ended.Before(r.sent) || now.Sub(r.sent) > 2*b.limitOf(r)
		if r.overdue && r.stop == nil && hangs {
			b.stop(now, r, true, reason)
		}
	}
}
