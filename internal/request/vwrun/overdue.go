package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

// checkOverdue marks a run as overdue when the worker lists it beyond its overdue limit. The time is taken from the
// worker's clock, because an agent that was stalled has missed the reports of ends.
func (t *Tracker) checkOverdue(r *run, at vwworker.Clock) {
	if r.overdue || r.stop != nil || r.spec.Expected <= 0 {
		return
	}
	limit := t.overdueLimit(r)
	if time.Duration(at-r.confirmedAt)*time.Millisecond < limit {
		return
	}
	if !t.jobHasOtherOverdue(r) {
		t.overdueJobs++
	}
	r.overdue = true
	t.logger.Warn("run is overdue", "run", r.spec.Task.String(), "worker", string(t.life.ID), "expected", r.spec.Expected.String(), "limit", limit.String())
}

// overdueLimit returns the run time from which a run is overdue.
func (t *Tracker) overdueLimit(r *run) time.Duration {
	return time.Duration(t.settings.OverdueFactor*float64(r.spec.Expected)) + t.settings.OverdueMargin
}

// jobHasOtherOverdue reports whether another run of the same job is overdue. The tasks of a job are alike, so several
// overdue runs of it are no stronger evidence of a faulty worker than one.
func (t *Tracker) jobHasOtherOverdue(r *run) bool {
	for task, other := range t.runs {
		if task.Job == r.spec.Task.Job && other != r && other.overdue {
			return true
		}
	}
	return false
}

// TakeOverdueJobs returns the number of jobs whose first overdue run was found since the last call.
func (t *Tracker) TakeOverdueJobs() int {
	count := t.overdueJobs
	t.overdueJobs = 0
	return count
}

// StopOverdue stops the overdue runs that hang, so that their tasks can run elsewhere. A run hangs when the worker has
// finished no run since its start. On a worker that still finishes runs, which is only slow, a run hangs after twice the
// overdue limit, so that the work done is not lost.
func (t *Tracker) StopOverdue(now time.Time, reason string) {
	for _, r := range t.runs {
		hangs := t.lastOwnEnd.Before(r.startSent) || now.Sub(r.startSent) > 2*t.overdueLimit(r)
		if r.overdue && r.stop == nil && hangs {
			t.stop(now, r, reason)
		}
	}
}
