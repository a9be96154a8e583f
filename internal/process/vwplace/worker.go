package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// Worker describes a worker and its agent.
type Worker struct {
	// Incarnation is that of the agent.
	Incarnation vwid.Incarnation
	Process     vwid.Process
	DataCentre  vwid.DataCentre
	Service     vwid.Service
	Labels      []string
	Capacity    vwresource.Amount
	// Link is the number of the link to the agent. A newer link has a higher one.
	Link uint64
	// SettleTime is the longest time for which runs may go on after the link to the agent was lost.
	SettleTime time.Duration
}

// sentTask is a task in flight to an agent: no load report covers it yet.
type sentTask struct {
	// number is the sentCount of the worker after the task was sent.
	number uint64
	needs  vwresource.Amount
}

// worker is the state that the queue holds of a worker.
type worker struct {
	Worker
	inLocalDataCentre bool
	// linked reports whether the link to the agent is up.
	linked bool
	// runsEndAt is when the runs at an agent without a link have certainly ended; zero while it is linked.
	runsEndAt time.Time
	load      vwmessage.Load
	// sentCount counts the tasks sent over the current link; unconfirmedTasks lists those that load does not cover.
	sentCount        uint64
	unconfirmedTasks []sentTask
	// running counts the tasks sent to the worker that have not ended, by job.
	running map[*job]int
	// suspect is the suspect that was sent to the worker and has not ended; nil if there is none. suspectCrashedAt is when
	// the worker last crashed under one.
	suspect          *task
	suspectCrashedAt time.Time
	// pace is learned from the runs of this queue. slow tells whether the worker is slower than that and than the others of its
	// service, and fleetSlow whether most of these are slower than their paces.
	pace            factorMean
	slow, fleetSlow slowness
	// lastDemand is the demand last sent to the agent, and lastDemandAt when it was sent.
	lastDemand   workerDemand
	lastDemandAt time.Time
}

// usable reports whether tasks may be sent to the worker.
func (w *worker) usable() bool {
	return w.linked && w.load.Accepting
}

// free returns the capacity that the agent has reported as free for this entry, less the needs of unconfirmedTasks.
func (w *worker) free() vwresource.Amount {
	free := w.load.Free
	for i := range w.unconfirmedTasks {
		free = free.Minus(w.unconfirmedTasks[i].needs)
	}
	return free
}

// updateLoad replaces the load report of the worker and drops the tasks that it covers from unconfirmedTasks.
func (w *worker) updateLoad(load vwmessage.Load) {
	if load.Received < w.load.Received {
		// The messages of one link keep their order, so this report is from an earlier link.
		return
	}
	w.load = load
	w.unconfirmedTasks = slices.DeleteFunc(w.unconfirmedTasks, func(s sentTask) bool { return s.number <= load.Received })
}

// addTask records that a task of the job is sent to the worker.
func (w *worker) addTask(j *job) {
	w.sentCount++
	w.unconfirmedTasks = append(w.unconfirmedTasks, sentTask{number: w.sentCount, needs: j.Needs})
	w.running[j]++
}

// removeTask records that a task of the job is no longer at the worker.
func (w *worker) removeTask(j *job) {
	if w.running[j]--; w.running[j] <= 0 {
		delete(w.running, j)
	}
}

// hasLabel reports whether the worker has a label; the empty label matches every worker.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// slowdown returns the factor by which runs at the worker take longer than expected, at least minSlowdown, also if the
// report has no number.
func (w *worker) slowdown() float64 {
	if w.load.Slowdown >= minSlowdown {
		return w.load.Slowdown
	}
	return minSlowdown
}
