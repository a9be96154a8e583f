package vwmetrics

import (
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwentry"
)

// reason is the label of MessagesWasted.
func reason(value string) Label {
	return Label{Name: "reason", Value: value}
}

// WatchEntry adds the counters of an entry. A refused task wastes its Start and its Result, and they
// are counted here and not at the agent.
func WatchEntry(m *Metrics, counters *vwentry.Counters) {
	Watch(m, JobsComplete, counters.Complete.Load)
	Watch(m, JobsFailed, counters.Failed.Load)
	Watch(m, TasksSent, counters.Starts.Load)
	Watch(m, TasksRefused, counters.Refused.Load)
	Watch(m, Takeovers, counters.Takeovers.Load)
	Watch(m, Retries, counters.Retries.Load)
	Watch(m, DemandsSent, counters.Demands.Load)
	Watch(m, MessagesWasted, func() int64 { return 2 * counters.Refused.Load() }, reason("refused"))
	Watch(m, MessagesWasted, counters.Stray.Load, reason("stray"))
}

// WatchAgent adds the counters of an agent.
func WatchAgent(m *Metrics, counters *vwagent.Counters) {
	Watch(m, TasksStarted, counters.Started.Load)
	Watch(m, TasksFinished, counters.Finished.Load)
	Watch(m, StartsRefused, counters.Refused.Load)
	Watch(m, ResultsUndelivered, counters.Undelivered.Load)
	Watch(m, MessagesWasted, counters.Duplicate.Load, reason("duplicate"))
	Watch(m, MessagesWasted, counters.Late.Load, reason("late"))
	Watch(m, MessagesWasted, counters.Crossed.Load, reason("crossed"))
	Watch(m, MessagesWasted, counters.Unexpected.Load, reason("unexpected"))
}
