package vwagent

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// reopenInterval is how long the agent waits after its endpoint could not be opened.
const reopenInterval = time.Second

// Stop ends the agent after its running tasks. It waits until Run has nothing more to deliver, or
// until ctx ends; then running tasks go on until the context of Run ends.
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
	a.sayLeaving()
}

// sayLeaving tells all entries that no more credits come.
func (a *Agent) sayLeaving() {
	if a.current == nil {
		return
	}
	for _, l := range a.current.links {
		a.current.sayLeaving(l)
	}
}

// end is called once the registration of the agent has expired.
func (r *registration) end(time.Time) {
	if r.ended || r != r.agent.current {
		return
	}
	r.ended = true
	r.dirty = true
	r.agent.logger.Warn("registration has expired", "Incarnation", string(r.incarnation))
	r.agent.sayLeaving()
}

// checkEnd finishes a stop or an ended registration once nothing is left to do.
func (a *Agent) checkEnd(now time.Time) {
	r := a.current
	if r == nil {
		a.stopped = a.stopping
		return
	}
	if (!a.stopping && !r.ended) || !r.isDelivered(now) {
		return
	}
	if a.stopping {
		a.stopped = true
		return
	}
	a.current = nil
	a.reopenAt = now.Add(reopenInterval)
	// Closing waits for goroutines that may wait for the control goroutine.
	a.group.Run(func(context.Context) {
		r.close()
		a.post(eventFunc(a.reopen))
	})
}

// isDelivered reports whether no task runs and each result is acknowledged, or AckTimeout has
// passed since the last task ended.
func (r *registration) isDelivered(now time.Time) bool {
	if len(r.running) > 0 || len(r.waiting) > 0 || r.agent.runner != nil && !r.agent.runner.idle() {
		r.endBefore = time.Time{}
		return false
	}
	if r.endBefore.IsZero() {
		r.endBefore = now.Add(r.agent.settings.AckTimeout)
	}
	return r.records.Unacknowledged() == 0 || !now.Before(r.endBefore)
}

// reopen goes on under a new incarnation.
func (a *Agent) reopen(now time.Time) {
	if a.current != nil || a.stopping {
		return
	}
	if err := a.open(); err != nil {
		a.reopenAt = now.Add(reopenInterval)
		a.logger.Error("opening the endpoint failed", "Error", err.Error())
	}
}
