package vwentry

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// dispatch sends the queued tasks for which there are credits, in one message per job and worker, and then
// demands the missing credits from the agents. It does nothing without a fresh lease.
func (e *Entry) dispatch() {
	now := time.Now()
	if !e.holder.IsFresh(now) {
		return
	}
	for _, batch := range e.collectBatches(now) {
		e.counters.Starts.Add(int64(len(batch.start.Tasks)))
		e.recordSent(batch)
		e.send(batch.worker, batch.start)
	}
	for {
		incarnation, demand, ok := e.queue.NextDemand(now)
		if !ok {
			return
		}
		e.counters.Demands.Add(1)
		if w := e.agents[incarnation]; w != nil {
			if w.demandPending {
				e.counters.UnusedDemands.Add(1)
			}
			w.demandPending = true
			e.send(w, &demand)
		}
	}
}

type batch struct {
	worker *agentState
	start  *vwmessage.Start
}

type batchKey struct {
	worker     vwid.Incarnation
	submission vwid.SubmissionID
}

func (e *Entry) collectBatches(now time.Time) []batch {
	var batches []batch
	var byKey map[batchKey]int
	for {
		assignment, ok := e.queue.Next(now)
		if !ok {
			return batches
		}
		j, w := e.jobs[assignment.Task.SubmissionID], e.agents[assignment.Worker]
		if j == nil || w == nil || j.Ended() {
			continue
		}
		if byKey == nil {
			byKey = map[batchKey]int{}
		}
		key := batchKey{assignment.Worker, j.SubmissionID}
		at, known := byKey[key]
		if !known {
			at = len(batches)
			byKey[key] = at
			batches = append(batches, batch{worker: w, start: &vwmessage.Start{
				SubmissionID: j.SubmissionID, Epoch: j.Epoch(), Service: j.Service, Team: j.Team,
			}})
		}
		start := batches[at].start
		start.Tasks = append(start.Tasks, j.startTask(now, assignment.Task.Index))
		j.Send(assignment.Task.Index, w.Incarnation)
		w.jobs[j.SubmissionID] = j
	}
}
