package vwagent

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Announce takes an announcement of the backend server. An error says what is wrong with it.
func (a *Agent) Announce(_ context.Context, announcement Announcement) error {
	next, err := announcement.check(time.Now())
	if err != nil {
		return err
	}
	if !a.do(func(time.Time) { a.takeAnnouncement(next) }) {
		return vwverdict.Wrap(vwverdict.NotRun, trace.ConnectionProblem(nil, "the agent has stopped"))
	}
	return nil
}

// Leave takes the word of the backend server that it is leaving. Running tasks finish.
func (a *Agent) Leave(context.Context) error {
	if !a.do(a.takeLeave) {
		return vwverdict.Wrap(vwverdict.NotRun, trace.ConnectionProblem(nil, "the agent has stopped"))
	}
	return nil
}

func (a *Agent) takeAnnouncement(next announced) {
	previous := a.backend
	if previous.leaving && next.at.Sub(previous.leftAt) < leaveGrace {
		return
	}
	a.backend = next
	returned := !previous.present || previous.leaving
	if !returned && previous.sameOffer(&next) {
		return
	}
	a.record(vwevent.Event{Kind: vwevent.WorkerAnnounced, Service: next.service, Count: int64(next.slots)})
	a.logger.Info("backend server is announced", "Service", string(next.service), "Address", string(next.address), "Slots", next.slots)
	if a.current == nil {
		return
	}
	a.current.dirty = true
	for _, l := range a.current.links {
		l.setOffer()
	}
}

func (a *Agent) takeLeave(now time.Time) {
	if a.backend.leaving || a.backend.service == "" {
		return
	}
	a.backend.leaving, a.backend.leftAt = true, now
	a.record(vwevent.Event{Kind: vwevent.WorkerLeaving})
	a.logger.Info("backend server leaves")
	a.sayLeaving()
}

func (a *Agent) checkAnnouncement(now time.Time) {
	if a.backend.present && now.Sub(a.backend.at) >= AnnouncementTimeout {
		a.loseBackend("no announcement")
	}
}

// onUnreachable stops credits at the first task that could not be handed over, and not only after the
// announcement timeout: a worker that fails everything at once would draw tasks from all others.
func (a *Agent) onUnreachable(f *finished) {
	if f.address == a.backend.address && f.running.begun.After(a.backend.at) {
		a.loseBackend(f.err.Error())
	}
}

func (a *Agent) loseBackend(reason string) {
	if !a.backend.present {
		return
	}
	a.backend.present = false
	a.logger.Warn("backend server is lost", "Reason", reason)
	if a.current != nil {
		a.current.dirty = true
	}
}
