package vwplace

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
)

// Dispatch returns the messages that send waiting tasks to workers with room.
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
		// Under overload no worker has room, and looking at each one for each job would take most of the time.
		if j.Needs.Fits(most) {
			q.place(now, j)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(j *job) bool { return j.waiting == 0 })
	q.refuseHopeless(now)
	return q.sends
}

// mostFree returns the most of each resource that any worker has free.
func (q *Queue) mostFree() vwresource.Amount {
	most := vwresource.Amount{CPU: -1, Memory: -1, GPUs: -1}
	for _, w := range q.order {
		if w.usable() {
			most = larger(most, w.free())
		}
	}
	return most
}

// candidate is a worker for tasks of one job.
type candidate struct {
	worker *worker
	// room is how many of the tasks fit.
	room int
	// cost is how long a task is expected to take there, in units of its run time on a usual worker.
	cost float64
	// score ranks workers of about the same cost; more room comes first.
	score float64
}

// place sends as many waiting tasks of a job as there is room for. It puts them on few workers, so that the job
// meets few that are worse than they seem.
func (q *Queue) place(now time.Time, j *job) {
	for _, c := range q.candidates(now, j) {
		if j.waiting == 0 {
			return
		}
		q.sendTo(now, c.worker, j, min(c.room, j.waiting))
	}
}

// candidates returns the workers that could run tasks of a job now, the best first.
func (q *Queue) candidates(now time.Time, j *job) []candidate {
	var found []candidate
	for _, w := range q.order {
		if !q.allowed(w, j) {
			continue
		}
		remote := j.Prefers != "" && !w.has(j.Prefers)
		if remote && now.Before(j.remoteAt) && q.hasNear(j) {
			continue
		}
		room := j.Needs.CountIn(w.free(), j.waiting)
		if j.MaxPerWorker > 0 {
			room = min(room, j.MaxPerWorker-w.running[j])
		}
		if room <= 0 {
			continue
		}
		cost := w.slowdown()
		if remote {
			cost *= max(q.settings.RemoteFactor, 1)
		}
		if !j.canEndAt(now, cost) {
			continue
		}
		found = append(found, candidate{worker: w, room: room, cost: cost, score: q.score(w)})
	}
	slices.SortFunc(found, func(a, b candidate) int { return compareCandidates(&a, &b) })
	return found
}

// sameCost is how far the costs of two workers may differ and still count as equal.
const sameCost = 0.3

func compareCandidates(a, b *candidate) int {
	switch {
	case a.cost < b.cost*(1-sameCost):
		return -1
	case b.cost < a.cost*(1-sameCost):
		return 1
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return 0
}

// score ranks a worker by its free room, with some chance so that entries do not all choose the same one.
func (q *Queue) score(w *worker) float64 {
	free := w.free()
	score := float64(free.CPU) / float64(max(w.Capacity.CPU, 1))
	if w.near {
		score *= nearBonus
	}
	return score * (1 - scoreSpread*q.random.Float64())
}

const (
	// nearBonus prefers workers in the entry's own data centre, to which messages take less time.
	nearBonus = 1.1
	// scoreSpread is the largest part of a score that chance takes away.
	scoreSpread = 0.3
)

// allowed reports whether a job may run at a worker at all.
func (q *Queue) allowed(w *worker, j *job) bool {
	return w.usable() && w.Service == j.Service && !q.out[w.DataCentre] && w.has(j.Requires)
}

// hasNear reports whether any worker near the job's data could run it, with room or not.
func (q *Queue) hasNear(j *job) bool {
	return slices.ContainsFunc(q.order, func(w *worker) bool { return q.allowed(w, j) && w.has(j.Prefers) })
}

// sendTo sends count waiting tasks of a job to a worker in one message. A task that has failed or was refused
// there goes elsewhere if it can.
func (q *Queue) sendTo(now time.Time, w *worker, j *job, count int) {
	run := vwmessage.Run{
		JobID: j.ID, Team: j.Team, Payload: j.Payload, Needs: j.Needs,
		ExpectedMicroseconds:  q.expectedAt(w, j).Microseconds(),
		EndWithinMilliseconds: max(j.endAt().Sub(now).Milliseconds(), 1),
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if len(run.Tasks) == count {
			break
		}
		if t.state != taskWaiting || t.avoid == w.Incarnation && q.hasOther(w, j) {
			continue
		}
		t.state, t.worker, t.sent = taskSent, w, now
		t.attempt++
		w.take(j)
		run.Tasks = append(run.Tasks, vwmessage.RunTask{Index: i, Attempt: t.attempt})
	}
	if len(run.Tasks) == 0 {
		return
	}
	j.waiting -= len(run.Tasks)
	if !j.begun() {
		j.offered = now
	}
	q.sends = append(q.sends, Send{Worker: w.Incarnation, Run: run})
}

// hasOther reports whether another worker than w could run tasks of the job.
func (q *Queue) hasOther(w *worker, j *job) bool {
	return slices.ContainsFunc(q.order, func(other *worker) bool { return other != w && q.allowed(other, j) })
}

// expectedAt returns how long a task of the job is expected to run at a worker that is not slow.
func (q *Queue) expectedAt(w *worker, j *job) time.Duration {
	if w.has(j.Prefers) {
		return j.expected
	}
	return time.Duration(float64(j.expected) * max(q.settings.RemoteFactor, 1))
}

// Open takes an agent's first message on a link. It settles what was sent to the agent over earlier links.
func (q *Queue) Open(now time.Time, description Worker, resume *vwmessage.Resume) {
	q.settleEarlier(now, &description)
	w := q.workers[description.Incarnation]
	if w == nil {
		w = &worker{running: map[*job]int{}}
		q.workers[description.Incarnation] = w
		q.order = append(q.order, w)
	}
	w.Worker = description
	w.near = description.DataCentre == q.settings.DataCentre
	w.linked, w.settleAt = true, time.Time{}
	q.joinedAt = now
	w.load, w.sent, w.unseen, w.wanted = resume.Load, 0, nil, want{}
	for i := range resume.Ended {
		q.takeEnd(now, w, &resume.Ended[i])
	}
	q.requeueUnheld(w, resume.Held)
}

// settleEarlier ends the runs of earlier incarnations of an agent. A new one takes part only once it has made
// sure that its worker runs nothing of them.
func (q *Queue) settleEarlier(now time.Time, description *Worker) {
	for _, w := range slices.Clone(q.order) {
		if w.Process == description.Process && w.Incarnation != description.Incarnation {
			q.loseWorker(now, w)
		}
	}
}

// requeueUnheld lets the tasks wait again that the agent does not hold. It may have received them: after a long pause
// of this entry it has stopped or finished them and forgotten how they ended.
func (q *Queue) requeueUnheld(w *worker, held []vwmessage.RunRef) {
	known := make(map[vwmessage.RunRef]bool, len(held))
	for _, ref := range held {
		known[ref] = true
	}
	for j := range w.running {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state != taskSent || t.worker != w || known[vwmessage.RunRef{JobID: j.ID, Index: i, Attempt: t.attempt}] {
				continue
			}
			w.leave(j)
			t.worker = nil
			j.started = true
			q.requeue(j, t)
		}
	}
}

// Close notes that the link to an agent has ended. Its runs go on for a while at most.
func (q *Queue) Close(now time.Time, incarnation vwid.Incarnation) {
	w := q.workers[incarnation]
	if w == nil || !w.linked {
		return
	}
	w.linked = false
	w.settleAt = now.Add(w.Settle)
	w.unseen = nil
}

// Update replaces the description of a worker.
func (q *Queue) Update(incarnation vwid.Incarnation, offer *vwmessage.Offer) {
	if w := q.workers[incarnation]; w != nil {
		w.Service, w.Labels, w.Capacity = offer.Service, offer.Labels, offer.Capacity
	}
}

// TakeLoad takes what an agent tells of its room.
func (q *Queue) TakeLoad(incarnation vwid.Incarnation, load *vwmessage.Load) {
	if w := q.workers[incarnation]; w != nil && w.linked {
		w.takeLoad(*load)
	}
}

// loseWorker forgets an agent whose runs have certainly ended.
func (q *Queue) loseWorker(now time.Time, w *worker) {
	delete(q.workers, w.Incarnation)
	q.order = slices.DeleteFunc(q.order, func(other *worker) bool { return other == w })
	for j := range w.running {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.state == taskSent && t.worker == w {
				j.started = true
				t.worker = nil
				q.requeue(j, t)
			}
		}
		q.checkTime(now, j)
	}
	clear(w.running)
}

// Workers returns the number of workers that tasks can be sent to.
func (q *Queue) Workers() int {
	count := 0
	for _, w := range q.order {
		if w.usable() && !q.out[w.DataCentre] {
			count++
		}
	}
	return count
}
