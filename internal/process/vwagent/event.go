package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Observer receives what an agent measures.
type Observer struct {
	// Events is the event log; nil is off.
	Events *vwevent.Log
	// Ran is told how long the backend server took for a task. It may be nil and must not wait.
	Ran func(time.Duration)
}

func (a *Agent) record(event vwevent.Event) {
	a.options.Observer.Events.Record(event)
}

func (r *registration) recordTask(kind vwevent.Kind, key taskKey, epoch vwid.Epoch, entry vwid.Incarnation) {
	if !r.agent.options.Observer.Events.Enabled() {
		return
	}
	event := vwevent.Event{Kind: kind, SubmissionID: key.submission, TaskID: key.task, Epoch: epoch}
	if l := r.links[entry]; l != nil {
		event.Peer = l.session.Peer().Process
	}
	r.agent.record(event)
}

// recordLease records the gain and loss of the lease and new configuration versions.
func (r *registration) recordLease(now time.Time) (*vwrule.Rules, bool) {
	rules, fresh := r.lease.Rules(now)
	if fresh != r.leased {
		r.leased = fresh
		kind := vwevent.LeaseLost
		if fresh {
			kind = vwevent.LeaseGained
		}
		r.agent.record(vwevent.Event{Kind: kind, Version: r.lease.Held()})
	}
	if held := r.lease.Held(); held != r.heldVersion {
		r.heldVersion = held
		r.agent.record(vwevent.Event{Kind: vwevent.ConfigApplied, Version: held})
	}
	return rules, fresh
}
