package vwprocess

import (
	"time"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/process/vwstore"
)

// observeEntry returns an observer whose measures outlast one incarnation of the entry.
func observeEntry(m *vwmetrics.Metrics, events *vwevent.Log) vwentry.Observer {
	observer := vwentry.Observer{
		Events: events, Counters: &vwentry.Counters{}, Gauges: &vwentry.Gauges{},
		Accepted: updater(m, vwmetrics.AcceptanceTime), Answered: updater(m, vwmetrics.ResponseTime),
	}
	vwmetrics.WatchEvents(m, events)
	vwmetrics.WatchEntry(m, observer.Counters)
	vwmetrics.WatchEntryState(m, observer.Gauges)
	return observer
}

func observeAgent(m *vwmetrics.Metrics, events *vwevent.Log) vwagent.Observer {
	vwmetrics.WatchEvents(m, events)
	return vwagent.Observer{Events: events, Ran: updater(m, vwmetrics.RunTime)}
}

// observeMember adds the state of a member and its disk.
func observeMember(m *vwmetrics.Metrics, member *vwcontrol.Member, files vwstore.FileSystem) {
	vwmetrics.WatchMember(m, member)
	if sized, ok := files.(interface{ Size() int64 }); ok {
		vwmetrics.Watch(m, vwmetrics.ControlDisk, sized.Size)
	}
}

func updater(m *vwmetrics.Metrics, description vwmetrics.Description) func(time.Duration) {
	histogram := m.Histogram(description)
	return func(duration time.Duration) { histogram.Update(duration.Seconds()) }
}
