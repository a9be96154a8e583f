package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// The waiting tasks that were last reported are refreshed when their number has grown by
// refreshGrowth or fallen by refreshFall. Agents need the number only for the shares of entries.
const (
	refreshGrowth = 2
	refreshFall   = 8
)

// NextDemand returns the next worker whose agent must learn what waits for it, and the report to
// send. The owner calls it after Next until it reports false, and sends each report at once.
func (q *Queue) NextDemand(now time.Time) (vwid.Incarnation, vwmessage.Demand, bool) {
	for _, s := range q.order {
		s.review()
		for len(s.stale) > 0 {
			w := s.stale[len(s.stale)-1]
			s.stale = s.stale[:len(s.stale)-1]
			w.stale = false
			if unserved := s.unserved(); q.workers[w.Incarnation] == w && w.mustTell(unserved) {
				w.told, w.reported = unserved, unserved
				return w.Incarnation, q.Demand(now, s.name), true
			}
		}
	}
	return "", vwmessage.Demand{}, false
}

// unserved returns the number of tasks that wait because no credit is left.
func (s *serviceQueue) unserved() int {
	if s.worker() != nil {
		return 0
	}
	sum := 0
	for _, team := range s.order {
		sum += team.sendable()
	}
	return sum
}

// review marks all workers for a new report when the number of waiting tasks has changed much.
func (s *serviceQueue) review() {
	unserved := s.unserved()
	if unserved == 0 {
		s.reviewed = 0
		return
	}
	if s.reviewed > 0 && unserved < refreshGrowth*s.reviewed && unserved*refreshFall > s.reviewed {
		return
	}
	s.reviewed = unserved
	for _, w := range s.workers {
		s.mark(w)
	}
}

func (s *serviceQueue) mark(w *workerState) {
	if !w.stale {
		w.stale = true
		s.stale = append(s.stale, w)
	}
}

// mustTell reports whether the agent's view of the waiting tasks has to be replaced. That nothing
// waits is reported only once the agent has granted a credit that was not needed.
func (w *workerState) mustTell(unserved int) bool {
	if w.out {
		return false
	}
	if unserved == 0 {
		return w.told > 0 && w.credits > 0
	}
	return w.told == 0 || unserved >= refreshGrowth*w.reported || unserved*refreshFall <= w.reported
}

// noteGrant follows the agent's own count of tasks that still need a credit.
func (w *workerState) noteGrant(count int) {
	w.told = max(0, w.told-count)
	w.service.mark(w)
}
