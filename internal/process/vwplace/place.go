package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// Dispatch places waiting tasks on workers with free capacity and returns the messages to send. The slice is valid until
// the next call. It also refuses new jobs that would wait too long.
func (q *Queue) Dispatch(now time.Time) []Send {
	q.sends = q.sends[:0]
	if len(q.waiting) == 0 {
		return nil
	}
	slices.SortFunc(q.waiting, func(a, b *job) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	most := q.mostFree()
	for _, j := range q.waiting {
		// Under overload no worker has free capacity, and checking each one for each job would take most of the time.
		if j.Needs.Fits(most) && !q.stale.has(j.ID) {
			q.place(now, j)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *job) bool { return j.waitingTasks == 0 })
	for _, j := range q.abandoned {
		q.endJob(now, j, OutcomeCancelled, reasonCallerLeft)
	}
	q.abandoned = q.abandoned[:0]
	q.refuseWhatCannotStart(now)
	return q.sends
}

// isAwaited reports whether a caller still waits for a job, and remembers a job that is no longer awaited. Callers that have left
// may have sent their jobs to other entries, where the tasks run now.
func (q *Queue) isAwaited(now time.Time, j *job) bool {
	if q.settings.IsAwaited == nil || j.awaitedAt.Equal(now) {
		return true
	}
	if j.abandoned {
		return false
	}
	if q.settings.IsAwaited(j.ID) {
		j.awaitedAt = now
		return true
	}
	j.abandoned = true
	q.abandoned = append(q.abandoned, j)
	return false
}

// mostFree returns the maximum of each resource that is free on any usable worker. The maxima may be on different workers.
func (q *Queue) mostFree() vwresource.Amount {
	most := vwresource.Amount{CPU: -1, Memory: -1, GPUs: -1}
	for _, w := range q.workerOrder {
		if w.usable() {
			most = maxAmount(most, w.free())
		}
	}
	return most
}

// candidate is a worker that can run tasks of one job now.
type candidate struct {
	worker *worker
	// maxTasks is the number of waiting tasks that fit.
	maxTasks int
	// cost is the factor by which a task is expected to run longer there than on a worker of normal speed near its data.
	cost float64
	// score ranks workers of similar cost; the highest comes first.
	score float64
	// hasSuspect is set for a worker with a suspect, which comes after all others.
	hasSuspect bool
}

// place sends as many waiting tasks of a job as fit. It packs them onto few workers, so that fewer of them end up on a
// worker that is worse than its reports say.
func (q *Queue) place(now time.Time, j *job) {
	q.placeSuspects(now, j)
	if j.waitingTasks == 0 || j.holdsOthers() {
		return
	}
	risky := q.isRisky(now, j.Team)
	for _, c := range q.candidates(now, j) {
		if j.waitingTasks == 0 {
			return
		}
		if risky && c.hasSuspect {
			continue
		}
		q.sendTasks(now, c.worker, j, min(c.maxTasks, j.waitingTasks))
	}
}

// candidates returns the workers that can run tasks of a job now, the best first. There are none for a job that no caller waits for.
func (q *Queue) candidates(now time.Time, j *job) []candidate {
	var found []candidate
	for _, w := range q.workerOrder {
		if !q.isEligible(w, j) {
			continue
		}
		remote := j.PreferredLabel != "" && !w.hasLabel(j.PreferredLabel)
		if remote && now.Before(j.remoteAllowedAt) && q.hasPreferredWorker(j) {
			continue
		}
		maxTasks := j.Needs.CountIn(w.free(), j.waitingTasks)
		if j.MaxPerWorker > 0 {
			maxTasks = min(maxTasks, j.MaxPerWorker-w.running[j])
		}
		if maxTasks <= 0 {
			continue
		}
		cost := w.slowdown()
		if remote {
			cost *= max(q.settings.RemoteFactor, 1)
		}
		if !j.canFinishInTime(now, cost) {
			continue
		}
		found = append(found, candidate{worker: w, maxTasks: maxTasks, cost: cost, score: q.score(w), hasSuspect: w.suspect != nil})
	}
	if len(found) == 0 || !q.isAwaited(now, j) {
		return nil
	}
	slices.SortFunc(found, func(a, b candidate) int { return compareCandidates(&a, &b) })
	return found
}

// costTolerance is the relative difference up to which the costs of two workers count as equal.
const costTolerance = 0.3

// compareCandidates orders candidates by cost, and those of similar cost by score. Those with a suspect come last.
func compareCandidates(a, b *candidate) int {
	switch {
	case a.hasSuspect != b.hasSuspect:
		if b.hasSuspect {
			return -1
		}
		return 1
	case a.cost < b.cost*(1-costTolerance):
		return -1
	case b.cost < a.cost*(1-costTolerance):
		return 1
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return 0
}

// score ranks a worker by the free fraction of its CPU, with localBonus and scoreJitter. The jitter keeps entries from all
// choosing the same worker.
func (q *Queue) score(w *worker) float64 {
	free := w.free()
	score := float64(free.CPU) / float64(max(w.Capacity.CPU, 1))
	if w.inLocalDataCentre {
		score *= localBonus
	}
	return score * (1 - scoreJitter*q.random.Float64())
}

const (
	// localBonus favours workers in the entry's own data centre, as messages to them take less time.
	localBonus = 1.1
	// scoreJitter is the largest part of a score that is randomly subtracted.
	scoreJitter = 0.3
)

// isEligible reports whether tasks of a job may run at a worker, whatever capacity is free there.
func (q *Queue) isEligible(w *worker, j *job) bool {
	return w.usable() && w.Service == j.Service && !q.excludedDataCentres[w.DataCentre] && w.hasLabel(j.RequiredLabel)
}

// hasPreferredWorker reports whether any worker near the job's data is eligible, whatever capacity is free there.
func (q *Queue) hasPreferredWorker(j *job) bool {
	return slices.ContainsFunc(q.workerOrder, func(w *worker) bool { return q.isEligible(w, j) && w.hasLabel(j.PreferredLabel) })
}

// sendTasks sends up to count waiting tasks of a job that are no suspects to a worker in one message. It passes over a task
// whose last run there failed, was refused or was lost if another worker is eligible.
func (q *Queue) sendTasks(now time.Time, w *worker, j *job, count int) {
	indexes := make([]int, 0, count)
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(indexes) == count {
			break
		}
		if t.state != taskWaiting || t.suspect || t.avoidWorker == w.Incarnation && q.hasOtherEligible(w, j) {
			continue
		}
		indexes = append(indexes, i)
	}
	q.send(now, w, j, indexes)
}

// send sends waiting tasks of a job to a worker in one message.
func (q *Queue) send(now time.Time, w *worker, j *job, indexes []int) {
	if len(indexes) == 0 {
		return
	}
	run := vwmessage.Run{
		JobID: j.ID, Team: j.Team, Payload: j.Payload, Needs: j.Needs,
		ExpectedMicroseconds:  q.expectedRunAt(w, j).Microseconds(),
		EndWithinMilliseconds: max(j.answerDeadline().Sub(now).Milliseconds(), 1),
	}
	for _, i := range indexes {
		t := &j.tasks[i]
		t.state, t.worker, t.sentAt, t.sentToSlow = taskSent, w, now, w.slow.holds(now)
		t.attempt++
		w.addTask(j)
		run.Tasks = append(run.Tasks, vwmessage.RunTask{Index: i, Attempt: t.attempt})
	}
	j.waitingTasks -= len(run.Tasks)
	if !j.isDispatched() {
		j.firstSentAt = now
		q.costs.decided(j, true)
	}
	q.sends = append(q.sends, Send{Worker: w.Incarnation, Run: run})
}

// hasOtherEligible reports whether a worker other than w is eligible for the job.
func (q *Queue) hasOtherEligible(w *worker, j *job) bool {
	return slices.ContainsFunc(q.workerOrder, func(other *worker) bool { return other != w && q.isEligible(other, j) })
}

// expectedRunAt returns the expected run time of a task of the job at a worker, without the worker's slowdown.
func (q *Queue) expectedRunAt(w *worker, j *job) time.Duration {
	if w.hasLabel(j.PreferredLabel) {
		return j.expectedRun
	}
	return time.Duration(float64(j.expectedRun) * max(q.settings.RemoteFactor, 1))
}

// LinkUp handles the first message of an agent on a new link. It marks the worker as linked, takes the ends of runs
// that the agent reports, requeues the tasks sent over earlier links that the agent no longer holds, and stops the runs that
// it holds but that are not in flight there. It ignores the message of a link that is older than the newest one to the agent, which
// tells nothing of the tasks that were sent over that one, and returns false.
func (q *Queue) LinkUp(now time.Time, description Worker, resume *vwmessage.Resume) bool {
	if q.hasNewerLink(&description) {
		return false
	}
	q.removeEarlierIncarnations(now, &description)
	w := q.workers[description.Incarnation]
	if w == nil {
		w = &worker{running: map[*job]int{}}
		q.workers[description.Incarnation] = w
		q.workerOrder = append(q.workerOrder, w)
	}
	w.Worker = description
	w.inLocalDataCentre = description.DataCentre == q.settings.DataCentre
	w.linked, w.runsEndAt = true, time.Time{}
	q.lastLinkedAt = now
	w.load, w.sentCount, w.unconfirmedTasks, w.lastDemand = resume.Load, 0, nil, workerDemand{}
	for i := range resume.Ended {
		q.handleRunEnd(now, w, &resume.Ended[i])
	}
	q.requeueMissing(w, resume.Held)
	q.stopUnexpected(w, resume.Held)
	return true
}

// hasNewerLink reports whether the process of an agent has opened a newer link, also under another incarnation.
func (q *Queue) hasNewerLink(description *Worker) bool {
	return slices.ContainsFunc(q.workerOrder, func(w *worker) bool {
		return w.Process == description.Process && w.Link > description.Link
	})
}

// removeEarlierIncarnations removes the earlier incarnations of an agent and requeues their tasks. This is safe because
// a new incarnation sends Resume only once its worker runs nothing of an earlier one.
func (q *Queue) removeEarlierIncarnations(now time.Time, description *Worker) {
	for _, w := range slices.Clone(q.workerOrder) {
		if w.Process == description.Process && w.Incarnation != description.Incarnation {
			q.removeWorker(now, w, RequeueRestarted)
		}
	}
}

// requeueMissing requeues the tasks sent to an agent that are not among those it holds, and marks their jobs as possibly
// run: after a long pause of this entry the agent may have stopped or finished the tasks and dropped their results.
func (q *Queue) requeueMissing(w *worker, held []vwmessage.RunRef) {
	known := make(map[vwmessage.RunRef]bool, len(held))
	for _, ref := range held {
		known[ref] = true
	}
	for _, j := range w.jobsAt() {
		q.requeueUnreported(w, j, RequeueNotHeld, func(index int, t *task) bool {
			return !known[vwmessage.RunRef{JobID: j.ID, Index: index, Attempt: t.attempt}]
		})
	}
}

// stopUnexpected stops the runs that an agent holds but that are not in flight there: those of a job that has ended without a
// link to the agent, whose stop was lost with the link, or whose task was requeued. Runs of the same job that are in flight
// there stop with them.
func (q *Queue) stopUnexpected(w *worker, held []vwmessage.RunRef) {
	q.stale.removeWorker(w)
	stopped := map[vwid.SubmissionID]bool{}
	for _, ref := range held {
		if q.isInFlight(w, ref) {
			continue
		}
		q.stale.add(w, ref)
		if !stopped[ref.JobID] {
			stopped[ref.JobID] = true
			q.stops = append(q.stops, Stop{Worker: w.Incarnation, Stop: vwmessage.StopRuns{JobID: ref.JobID, Reason: "the entry does not expect the run"}})
		}
	}
}

// isInFlight reports whether a run is the one of its task that the queue waits for.
func (q *Queue) isInFlight(w *worker, ref vwmessage.RunRef) bool {
	j := q.jobs[ref.JobID]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.tasks) {
		return false
	}
	t := &j.tasks[ref.Index]
	return t.state == taskSent && t.worker == w && t.attempt == ref.Attempt
}

// LinkDown marks the link to an agent as down. The agent's runs may go on for Worker.SettleTime; unless the agent links
// again, Tick requeues their tasks after that.
func (q *Queue) LinkDown(now time.Time, incarnation vwid.Incarnation) {
	w := q.workers[incarnation]
	if w == nil || !w.linked {
		return
	}
	w.linked = false
	w.runsEndAt = now.Add(w.SettleTime)
	w.unconfirmedTasks = nil
}

// UpdateWorker replaces the description of a worker.
func (q *Queue) UpdateWorker(incarnation vwid.Incarnation, offer *vwmessage.Offer) {
	if w := q.workers[incarnation]; w != nil {
		w.Service, w.Labels, w.Capacity = offer.Service, offer.Labels, offer.Capacity
	}
}

// UpdateLoad applies a load report of an agent. It ignores reports of agents without a link.
func (q *Queue) UpdateLoad(incarnation vwid.Incarnation, load *vwmessage.Load) {
	if w := q.workers[incarnation]; w != nil && w.linked {
		w.updateLoad(*load)
	}
}

// removeWorker removes a worker whose runs have certainly ended, and requeues its tasks.
func (q *Queue) removeWorker(now time.Time, w *worker, reason RequeueReason) {
	delete(q.workers, w.Incarnation)
	q.stale.removeWorker(w)
	q.workerOrder = slices.DeleteFunc(q.workerOrder, func(other *worker) bool { return other == w })
	for _, j := range w.jobsAt() {
		q.requeueUnreported(w, j, reason, func(int, *task) bool { return true })
		q.checkTime(now, j)
	}
	clear(w.running)
}

// UsableWorkers returns the number of workers that accept tasks in data centres that are not excluded.
func (q *Queue) UsableWorkers() int {
	count := 0
	for _, w := range q.workerOrder {
		if w.usable() && !q.excludedDataCentres[w.DataCentre] {
			count++
		}
	}
	return count
}
