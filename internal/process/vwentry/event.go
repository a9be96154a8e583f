package vwentry

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Observer receives the measurements of an entry. Its functions may be nil, and must not block.
type Observer struct {
	// Events is the event log; nil disables it.
	Events *vwevent.Log
	// Counters and Gauges replace the entry's own, so that they can outlive it.
	Counters *Counters
	Gauges   *Gauges
	// Accepted is called with the time that control took to accept a submission.
	Accepted func(time.Duration)
	// Answered is called with the time from the receipt of a submission to the end of its job.
	Answered func(time.Duration)
	// Refused is called with the cause and the level of a best-effort job that is refused.
	Refused func(cause vwplace.Cause, level int)
}

// Observe sets the observer. It must be called before Start.
func (e *Entry) Observe(observer Observer) {
	e.observer = observer
	if observer.Counters != nil {
		e.counters = observer.Counters
	}
	if observer.Gauges != nil {
		e.gauges = observer.Gauges
	}
}

func (e *Entry) record(event vwevent.Event) {
	e.observer.Events.Record(event)
}

func (e *Entry) recordJob(kind vwevent.Kind, j *job) {
	e.record(vwevent.Event{
		Kind: kind, SubmissionID: j.SubmissionID, Epoch: j.Epoch(), Service: j.Service, Team: j.Team, Count: int64(len(j.Tasks)),
	})
}

func (e *Entry) recordFence(kind vwevent.Kind, peer vwid.Process, fence *vwmessage.Fence) {
	e.record(vwevent.Event{Kind: kind, SubmissionID: fence.SubmissionID, Epoch: fence.Epoch, Peer: peer})
}

func (e *Entry) recordSent(batch batch) {
	if !e.observer.Events.Enabled() {
		return
	}
	for i := range batch.start.Tasks {
		e.record(vwevent.Event{
			Kind: vwevent.TaskSent, SubmissionID: batch.start.SubmissionID, TaskID: batch.start.Tasks[i].TaskID,
			Epoch: batch.start.Epoch, Peer: batch.worker.Process,
		})
	}
}

func (e *Entry) recordResult(w *agentState, result *vwmessage.Result) {
	if !e.observer.Events.Enabled() {
		return
	}
	e.record(vwevent.Event{
		Kind: vwevent.ResultReceived, SubmissionID: result.SubmissionID, TaskID: result.TaskID, Epoch: result.Epoch,
		Peer: w.Process, Verdict: result.Verdict.String(),
	})
}

// recordLease records the gain and the loss of the lease.
func (e *Entry) recordLease(now time.Time) {
	fresh := e.holder.IsFresh(now)
	if fresh == e.recordedFresh {
		return
	}
	e.recordedFresh = fresh
	kind := vwevent.LeaseLost
	if fresh {
		kind = vwevent.LeaseGained
	}
	e.record(vwevent.Event{Kind: kind, Version: e.holder.Version()})
}

// recordConfig records a new version and the data centres that it takes out of use or back into use.
func (e *Entry) recordConfig(before, after *vwrule.Rules) {
	e.record(vwevent.Event{Kind: vwevent.ConfigApplied, Version: e.appliedVersion})
	e.recordDataCentres(vwevent.DataCentreOut, after.Out(), before.Out())
	e.recordDataCentres(vwevent.DataCentreIn, before.Out(), after.Out())
}

func (e *Entry) recordDataCentres(kind vwevent.Kind, dataCentres, excluded []vwid.DataCentre) {
	for _, dataCentre := range dataCentres {
		if !slices.Contains(excluded, dataCentre) {
			e.record(vwevent.Event{Kind: kind, Subject: string(dataCentre), Version: e.appliedVersion})
		}
	}
}

func reportDuration(function func(time.Duration), duration time.Duration) {
	if function != nil {
		function(duration)
	}
}
