package vwplace

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

const (
	// wantInterval is how often an agent is told anew what waits. Room that an agent keeps is used for whatever
	// is most urgent when the news arrives, so what it was told need not be exact.
	wantInterval = 50 * time.Millisecond
	// maxWanted bounds the tasks that one agent is told of; it keeps no more room than that for one entry.
	maxWanted = 4
)

// want is what waits at the entry for one worker.
type want struct {
	tasks  int
	needs  vwresource.Amount
	before time.Time
}

// Want is a message that tells an agent what waits.
type Want struct {
	Worker vwid.Incarnation
	Want   vwmessage.Want
}

// Wants returns what to tell agents after Dispatch has left tasks waiting, and when nothing waits any more.
func (q *Queue) Wants(now time.Time) []Want {
	q.wants = q.wants[:0]
	for _, w := range q.order {
		if !w.linked {
			continue
		}
		wanted := q.wantedAt(now, w)
		if (wanted.tasks > 0) == (w.wanted.tasks > 0) && (wanted.tasks == 0 || now.Sub(w.wantedAt) < wantInterval) {
			continue
		}
		w.wanted, w.wantedAt = wanted, now
		message := vwmessage.Want{Tasks: wanted.tasks, Needs: wanted.needs}
		if wanted.tasks > 0 {
			message.WithinMilliseconds = max(wanted.before.Sub(now).Milliseconds(), 0)
		}
		q.wants = append(q.wants, Want{Worker: w.Incarnation, Want: message})
	}
	return q.wants
}

// wantedAt returns what waits that could run at a worker.
func (q *Queue) wantedAt(now time.Time, w *worker) want {
	found := want{}
	for _, j := range q.waiting {
		if !q.allowed(w, j) || j.Prefers != "" && !w.has(j.Prefers) && now.Before(j.remoteAt) && q.hasNear(j) {
			continue
		}
		found.tasks += j.waiting
		found.needs = larger(found.needs, j.Needs)
		if found.before.IsZero() || j.urgency().Before(found.before) {
			found.before = j.urgency()
		}
		if found.tasks >= maxWanted {
			found.tasks = maxWanted
			break
		}
	}
	return found
}

func larger(a, b vwresource.Amount) vwresource.Amount {
	return vwresource.Amount{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), GPUs: max(a.GPUs, b.GPUs)}
}
