package vwprocess

import (
	"strconv"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// makeEntryObserver returns an observer that the successive incarnations of an entry share, so that counters do not
// restart.
func makeEntryObserver(m *vwmetrics.Metrics, events *vwevent.Log) vwentry.Observer {
	observer := vwentry.Observer{
		Events: events, Counters: &vwentry.Counters{}, Gauges: &vwentry.Gauges{},
		Accepted: makeHistogramUpdater(m, vwmetrics.AcceptanceTime), Answered: makeHistogramUpdater(m, vwmetrics.ResponseTime),
		Refused: makeRefusalCounter(m),
	}
	vwmetrics.WatchEvents(m, events)
	vwmetrics.WatchEntry(m, observer.Counters)
	vwmetrics.WatchEntryState(m, observer.Gauges)
	return observer
}

// makeRefusalCounter returns a function that counts refusals. A counter is made at the first refusal of its cause and level.
func makeRefusalCounter(m *vwmetrics.Metrics) func(vwplace.Cause, int) {
	return func(cause vwplace.Cause, level int) {
		m.Counter(vwmetrics.JobsRefusedBy, vwmetrics.Label{Name: "cause", Value: string(cause)}, vwmetrics.Label{Name: "level", Value: strconv.Itoa(level)}).Inc()
	}
}

func makeAgentObserver(m *vwmetrics.Metrics, events *vwevent.Log) vwagent.Observer {
	vwmetrics.WatchEvents(m, events)
	return vwagent.Observer{Events: events, RecordRunTime: makeHistogramUpdater(m, vwmetrics.RunTime)}
}

// exportMemberMetrics exports the state of a member and the size of its data directory.
func exportMemberMetrics(m *vwmetrics.Metrics, member *vwcontrol.Member, files vwstore.FileSystem) {
	vwmetrics.WatchMember(m, member)
	if sized, ok := files.(interface{ Size() int64 }); ok {
		vwmetrics.Watch(m, vwmetrics.ControlDisk, sized.Size)
	}
}

func makeHistogramUpdater(m *vwmetrics.Metrics, description vwmetrics.Description) func(time.Duration) {
	histogram := m.Histogram(description)
	return func(duration time.Duration) { histogram.Update(duration.Seconds()) }
}
