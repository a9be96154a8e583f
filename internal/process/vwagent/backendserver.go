package vwagent

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Announce records an announcement of the backend server. It returns a BadParameter error if the announcement
// is invalid.
func (a *Agent) Announce(_ context.Context, announcement Announcement) error {
	next, err := announcement.check(time.Now())
	if err != nil {
		return err
	}
	if !a.do(func(time.Time) { a.onAnnouncement(next) }) {
		return vwverdict.Wrap(vwverdict.NotRun, trace.ConnectionProblem(nil, "the agent has stopped"))
	}
	return nil
}

// Leave marks the backend server as leaving: no more tasks start, and running tasks finish.
func (a *Agent) Leave(context.Context) error {
	if !a.do(a.onLeave) {
		return vwverdict.Wrap(vwverdict.NotRun, trace.ConnectionProblem(nil, "the agent has stopped"))
	}
	return nil
}

func (a *Agent) onAnnouncement(next backendState) {
	previous := a.backend
	if previous.leaving && next.announcedAt.Sub(previous.leftAt) < leaveGrace {
		return
	}
	a.backend = next
	returned := !previous.reachable || previous.leaving
	if !returned && previous.registersLike(&next) {
		return
	}
	a.record(vwevent.Event{Kind: vwevent.WorkerAnnounced, Service: next.service, Count: int64(next.slots)})
	a.logger.Info("backend server is announced", "Service", string(next.service), "Address", string(next.address), "Slots", next.slots)
	if a.current == nil {
		return
	}
	a.current.dirty = true
	for _, l := range a.current.links {
		l.queueRegister()
	}
}

func (a *Agent) onLeave(now time.Time) {
	if a.backend.leaving || a.backend.service == "" {
		return
	}
	a.backend.leaving, a.backend.leftAt = true, now
	a.record(vwevent.Event{Kind: vwevent.WorkerLeaving})
	a.logger.Info("backend server is leaving")
	a.sendLeaving()
}

func (a *Agent) checkAnnouncement(now time.Time) {
	if a.backend.reachable && now.Sub(a.backend.announcedAt) >= AnnouncementTimeout {
		a.markUnreachable("no announcement")
	}
}

// onUnreachable stops credits at the first task that could not be sent to the backend server, without waiting
// for AnnouncementTimeout: a server that fails every task at once would attract tasks from all others.
func (a *Agent) onUnreachable(f *finishedCall) {
	if f.address == a.backend.address && f.running.startedAt.After(a.backend.announcedAt) {
		a.markUnreachable(f.err.Error())
	}
}

func (a *Agent) markUnreachable(reason string) {
	if !a.backend.reachable {
		return
	}
	a.backend.reachable = false
	a.logger.Warn("backend server is unreachable", "Reason", reason)
	if a.current != nil {
		a.current.dirty = true
	}
}
