package vwmetrics

import (
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwintake"
)

// reason is the label of counters that are told apart by a cause.
func reason(value string) Label {
	return Label{Name: "reason", Value: value}
}

// WatchEntry adds the counters of an entry. A refused task wastes its Start and its Result, and they
// are counted here and not at the agent.
func WatchEntry(m *Metrics, counters *vwentry.Counters) {
	Watch(m, JobsComplete, counters.Complete.Load)
	Watch(m, JobsFailed, counters.Failed.Load)
	Watch(m, JobsRefused, counters.JobsRefused.Load)
	Watch(m, TasksSent, counters.Starts.Load)
	Watch(m, TasksRefused, counters.Refused.Load)
	Watch(m, TasksSuspected, counters.Suspected.Load)
	Watch(m, TasksGivenUp, counters.GivenUp.Load)
	Watch(m, TasksRequeued, counters.Requeued.Load)
	Watch(m, JobsAbandoned, counters.Abandoned.Load)
	Watch(m, RulesFetches, counters.RulesFetches.Load)
	Watch(m, RulesBytesFetched, counters.RulesBytes.Load)
	Watch(m, RulesFetchesFailed, counters.RulesFetchesFailed.Load)
	Watch(m, Takeovers, counters.Takeovers.Load)
	Watch(m, Retries, counters.Retries.Load)
	Watch(m, CallersSentOn, counters.CallersSentOn.Load)
	Watch(m, DemandsSent, counters.Demands.Load)
	Watch(m, MessagesWasted, func() int64 { return 2 * counters.Refused.Load() }, reason("refused"))
	Watch(m, MessagesWasted, counters.Stray.Load, reason("stray"))
	Watch(m, MessagesWasted, func() int64 { return 2 * counters.Recalls.Load() }, reason("recall"))
	Watch(m, MessagesWasted, counters.UnusedDemands.Load, reason("demand"))
}

// WatchEntryState adds the gauges of an entry.
func WatchEntryState(m *Metrics, gauges *vwentry.Gauges) {
	WatchBool(m, LeaseFresh, gauges.Fresh.Load)
	Watch(m, ConfigVersion, gauges.Version.Load)
	Watch(m, JobsActive, gauges.Active.Load)
	Watch(m, TasksWaiting, gauges.Waiting.Load)
	Watch(m, WorkersKnown, gauges.Workers.Load)
	Watch(m, EntriesNear, gauges.EntriesNear.Load)
	Watch(m, EntryDataCentres, gauges.EntryDataCentres.Load)
	Watch(m, RotationAge, func() float64 { return float64(gauges.RotationAge.Load()) / 1000 })
}

// WatchAgentState adds the gauges of an agent.
func WatchAgentState(m *Metrics, gauges *vwagent.Gauges) {
	WatchBool(m, LeaseFresh, gauges.Fresh.Load)
	Watch(m, ConfigVersion, gauges.Version.Load)
	Watch(m, Links, gauges.Links.Load)
	Watch(m, SlotsBusy, gauges.Busy.Load)
	Watch(m, SlotsTotal, gauges.Slots.Load)
	WatchBool(m, BackendPresent, gauges.Present.Load)
}

// WatchMember adds the state of a control member.
func WatchMember(m *Metrics, member *vwcontrol.Member) {
	WatchBool(m, ControlLeader, func() bool {
		status := member.Status()
		return status.Self.Member != "" && status.Self.Member == status.Log.Leader.Member
	})
	Watch(m, ControlTerm, func() uint64 { return uint64(member.Status().Log.Term) })
	Watch(m, ControlApplied, func() uint64 { return uint64(member.Status().Applied) })
	WatchBool(m, ControlDiskFull, func() bool { return member.Status().DiskFull })
	Watch(m, ControlVoters, func() int { return member.Status().Voters })
	Watch(m, ControlAnsweringVoters, func() int { return member.Status().AnsweringVoters })
}

// WatchEvents adds the drops of an event log.
func WatchEvents(m *Metrics, log *vwevent.Log) {
	Watch(m, EventsDropped, log.Dropped)
}

// WatchIntake adds the state of a budget for what others send. It does nothing for nil.
func WatchIntake(m *Metrics, budget *vwintake.Budget) {
	if budget == nil {
		return
	}
	Watch(m, IntakeHeldBytes, func() int64 { return int64(budget.Held()) })
	Watch(m, IntakeTotalBytes, func() int64 { return int64(budget.Total()) })
	for _, why := range vwintake.Reasons() {
		Watch(m, IntakeRefused, func() uint64 { return budget.Refused(why) }, reason(string(why)))
	}
}

// WatchAgent adds the counters of an agent.
func WatchAgent(m *Metrics, counters *vwagent.Counters) {
	Watch(m, TasksStarted, counters.Started.Load)
	Watch(m, TasksFinished, counters.Finished.Load)
	Watch(m, StartsRefused, counters.Refused.Load)
	Watch(m, AnnouncementsRejected, counters.Invalid.Load, reason("invalid"))
	Watch(m, AnnouncementsRejected, counters.Denied.Load, reason("denied"))
	Watch(m, ResultsUndelivered, counters.Undelivered.Load)
	Watch(m, WorkerCrashes, counters.WorkerCrashes.Load)
	Watch(m, RunsUnlisted, counters.Unlisted.Load)
	Watch(m, ListsOutdated, counters.OutdatedLists.Load)
	Watch(m, RulesReads, counters.RulesReads.Load)
	Watch(m, MessagesWasted, counters.Duplicate.Load, reason("duplicate"))
	Watch(m, MessagesWasted, counters.Late.Load, reason("late"))
	Watch(m, MessagesWasted, counters.Crossed.Load, reason("crossed"))
	Watch(m, MessagesWasted, counters.Unexpected.Load, reason("unexpected"))
}
