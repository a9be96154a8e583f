package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Observer receives the events and measurements of an agent.
type Observer struct {
	// Events is the event log; nil disables it.
	Events *vwevent.Log
	// RecordRunTime is called with the run time of each task. It may be nil and must not block.
	RecordRunTime func(time.Duration)
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

// recordLease records the gain and loss of the lease and new configuration versions. It returns the rules and
// whether the lease is fresh.
func (r *registration) recordLease(now time.Time) (*vwrule.Rules, bool) {
	rules, fresh := r.lease.Rules(now)
	if fresh != r.recordedFresh {
		r.recordedFresh = fresh
		kind := vwevent.LeaseLost
		if fresh {
			kind = vwevent.LeaseGained
		}
		r.agent.record(vwevent.Event{Kind: kind, Version: r.lease.Held()})
	}
	if held := r.lease.Held(); held != r.recordedVersion {
		r.recordedVersion = held
		r.agent.record(vwevent.Event{Kind: vwevent.ConfigApplied, Version: held})
	}
	return rules, fresh
}
