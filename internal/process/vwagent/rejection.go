package vwagent

import (
	"log/slog"
	"sync"
	"time"
)

// rejectionLogInterval is the shortest time between two log lines about rejected announcements. Another writer may send
// invalid ones every second.
const rejectionLogInterval = 10 * time.Second

// rejectionLog logs rejected announcements, at most one per rejectionLogInterval. Any goroutine may use it.
type rejectionLog struct {
	mu       sync.Mutex
	loggedAt time.Time
	// skipped is the number of rejections since loggedAt that are not logged.
	skipped int
}

// record logs a rejection unless one was logged within rejectionLogInterval.
func (l *rejectionLog) record(logger *slog.Logger, now time.Time, announcer string, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < rejectionLogInterval {
		l.skipped++
		return
	}
	logger.Warn("announcement rejected", "Announcer", announcer, "Reason", reason.Error(), "Skipped", l.skipped)
	l.loggedAt, l.skipped = now, 0
}

// RejectAnnouncement counts and logs an announcement that cannot be read or is invalid. The announcer is what it names
// itself.
func (a *Agent) RejectAnnouncement(announcer string, reason error) {
	a.counters.Invalid.Add(1)
	a.rejections.record(a.logger, time.Now(), announcer, reason)
}
