package vwagent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// reopenInterval is the wait before a new attempt after the endpoint could not be opened.
const reopenInterval = time.Second

// Stop starts no more tasks and waits until the running ones have ended and their results are acknowledged or
// AckTimeout has passed. If ctx ends before that, Stop returns an error and running tasks continue until the
// context of Run ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.post(eventFunc(a.beginStop))
	select {
	case <-a.done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "stopping the agent")
	}
}

func (a *Agent) beginStop(time.Time) {
	if a.stopping {
		return
	}
	a.stopping = true
	a.logger.Info("agent stops")
	a.sendLeaving()
}

// sendLeaving tells all entries that no more credits follow.
func (a *Agent) sendLeaving() {
	if a.current == nil {
		return
	}
	for _, l := range a.current.links {
		a.current.sendLeaving(l)
	}
}

// onExpired stops all starts under an expired registration.
func (r *registration) onExpired(time.Time) {
	if r.expired || r != r.agent.current {
		return
	}
	r.expired = true
	r.dirty = true
	r.agent.logger.Warn("registration has expired", "Incarnation", string(r.incarnation))
	r.agent.sendLeaving()
}

// finishIfDrained completes a stop, or replaces an expired registration, once no tasks or results are left.
func (a *Agent) finishIfDrained(now time.Time) {
	r := a.current
	if r == nil {
		a.stopped = a.stopping
		return
	}
	if a.stopped || (!a.stopping && !r.expired) || !r.isDrained(now) {
		return
	}
	if a.stopping {
		a.confirmResults()
		return
	}
	a.current = nil
	a.reopenAt = now.Add(reopenInterval)
	// close waits for goroutines that may wait for the control goroutine.
	a.group.Run(func(context.Context) {
		r.close()
		a.post(eventFunc(a.reopenRegistration))
	})
}

// confirmResults ends the stop once all entries have handled what was sent to them, also that this agent accepts nothing
// more. A link that closes drops the messages in its queue, and an entry that has not received a result does not know
// whether the task has run. What entries sent meanwhile must be answered as well, so the confirmation is repeated until
// nothing more has come.
func (a *Agent) confirmResults() {
	if a.confirming {
		return
	}
	r := a.current
	if len(r.links) == 0 {
		a.stopped = true
		return
	}
	a.confirming = true
	before, links := a.handledWork(), slices.Collect(maps.Values(r.links))
	request := vwmessage.LeaseRequest{Incarnation: r.incarnation, Held: r.lease.Held()}
	a.group.Run(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, a.timing.Silence)
		defer cancel()
		calls := vwgroup.Make(limited)
		for _, l := range links {
			calls.Run(func(ctx context.Context) { l.confirm(ctx, request) })
		}
		_ = calls.Wait()
		a.post(eventFunc(func(time.Time) {
			a.confirming, a.stopped = false, a.handledWork() == before
		}))
	})
}

// handledWork counts what entries have sent to this registration and what was sent to them about runs.
func (a *Agent) handledWork() uint64 {
	count := a.current.receivedStarts
	if a.runner != nil {
		count += a.runner.sentEnds
	}
	return count
}

// confirm waits until the entry has handled all messages sent over the link so far. Messages are handled in order, and
// every entry answers a LeaseRequest.
func (l *link) confirm(ctx context.Context, request vwmessage.LeaseRequest) {
	if _, err := vwlink.Call[*vwmessage.LeaseReply](ctx, l.session, &request); err != nil {
		l.registration.agent.logger.Warn("entry has not confirmed the last results", "Entry", string(l.session.Peer().Process), "Error", err.Error())
	}
}

// isDrained reports whether no task or run is left and either each result is acknowledged or AckTimeout has passed
// since the first call that found none left. A call that finds one resets that time.
func (r *registration) isDrained(now time.Time) bool {
	if len(r.running) > 0 || len(r.waiting) > 0 || r.agent.runner != nil && !r.agent.runner.idle() {
		r.ackDeadline = time.Time{}
		return false
	}
	if r.ackDeadline.IsZero() {
		r.ackDeadline = now.Add(r.agent.settings.AckTimeout)
	}
	return r.records.ResultCount() == 0 || !now.Before(r.ackDeadline)
}

// reopenRegistration opens a registration under a new incarnation.
func (a *Agent) reopenRegistration(now time.Time) {
	if a.current != nil || a.stopping {
		return
	}
	if err := a.openRegistration(); err != nil {
		a.reopenAt = now.Add(reopenInterval)
		a.logger.Error("opening the endpoint failed", "Error", err.Error())
	}
}
