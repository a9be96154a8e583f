package vwplace

import (
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// earlyCrash is the time after the start of a task within which the crash of its worker is most likely caused by it. Such
	// a crash counts earlyBlame, a later one lateBlame.
	earlyCrash = 100 * time.Millisecond
	earlyBlame = 2
	lateBlame  = 1
	// suspectBlame is the blame from which a task is a suspect, and maxBlame that from which it is given up.
	suspectBlame = 2
	maxBlame     = 4
	// crashMemory is how long the tasks of a team count as risky after one was given up.
	crashMemory = 5 * time.Second
	// crashRetention is how long the crashes under a job that was not completed are kept for a caller that sends the job
	// again.
	crashRetention = time.Minute
)

// SuspicionChange is a change of what the queue assumes of a task under which a worker has crashed.
type SuspicionChange uint8

// The changes.
const (
	// SuspicionRaised means that a worker has crashed under the task, and it may have caused that.
	SuspicionRaised SuspicionChange = iota + 1
	// SuspicionCleared means that the task has ended without a crash.
	SuspicionCleared
	// SuspicionConfirmed means that the task is given up, because several workers have crashed under it.
	SuspicionConfirmed
)

// Suspicion reports a change for one task.
type Suspicion struct {
	Change  SuspicionChange
	JobID   vwid.SubmissionID
	Team    vwid.Team
	Index   int
	Attempt int
	// Crashes is the number of workers that have crashed under the task.
	Crashes int
	// Agent is that of the worker at which the attempt was.
	Agent vwid.Process
}

// blame is what the crashes of workers under a task count against it.
type blame struct {
	// crashes is the number of the workers, points the sum of earlyBlame and lateBlame.
	crashes, points int
}

// crashRecord holds the blame of the tasks of a job, by the index of the task.
type crashRecord struct {
	at     time.Time
	blames map[int]blame
}

// TakeSuspicions returns the changes since the last call.
func (q *Queue) TakeSuspicions() []Suspicion {
	suspicions := q.suspicions
	q.suspicions = nil
	return suspicions
}

func (q *Queue) reportSuspicion(change SuspicionChange, j *job, index int, w *worker) {
	t := &j.tasks[index]
	q.suspicions = append(q.suspicions, Suspicion{
		Change: change, JobID: j.ID, Team: j.Team, Index: index, Attempt: t.attempt, Crashes: t.blame.crashes, Agent: w.Process,
	})
}

// crashTask handles the crash of a worker under a task that has run for the given time. Any of the tasks that were there may
// have caused it. Those with enough blame become suspects and run again apart from each other, so that the next crash shows
// which task causes them. If a suspect has just started there, it is the likely cause, and those that have run for longer get
// no blame.
func (q *Queue) crashTask(now time.Time, j *job, index int, ran time.Duration, w *worker) {
	t := &j.tasks[index]
	j.mayHaveRun = true
	t.avoidWorker = w.Incarnation
	if !t.suspect && ran >= earlyCrash && w.hasBlamedSuspect(now, t) {
		q.requeue(j, t)
		return
	}
	t.blame.crashes++
	if ran < earlyCrash {
		t.blame.points += earlyBlame
	} else {
		t.blame.points += lateBlame
	}
	if t.suspect && ran < earlyCrash {
		w.suspectCrashedAt = now
	}
	if t.blame.points >= maxBlame {
		q.teamCrashes[j.Team] = now
		q.reportSuspicion(SuspicionConfirmed, j, index, w)
		q.failDeadly(now, j, t)
		return
	}
	if t.blame.points >= suspectBlame {
		q.reportSuspicion(SuspicionRaised, j, index, w)
		if !t.suspect {
			t.suspect = true
			j.suspects++
		}
	}
	q.requeue(j, t)
}

func (q *Queue) failDeadly(now time.Time, j *job, t *task) {
	q.endJob(now, j, OutcomeFailed, fmt.Sprintf("%d workers have crashed under a task", t.blame.crashes))
}

// hasBlamedSuspect reports whether a suspect is the likely cause of the crash of the worker under another task.
func (w *worker) hasBlamedSuspect(now time.Time, other *task) bool {
	if w.suspect != nil {
		return now.Sub(w.suspect.sentAt) < earlyCrash
	}
	return !w.suspectCrashedAt.IsZero() && !other.sentAt.After(w.suspectCrashedAt)
}

// clearBlame records that a task has ended at a worker that goes on.
func (q *Queue) clearBlame(j *job, index int, w *worker) {
	t := &j.tasks[index]
	if !t.suspect {
		t.blame = blame{}
		return
	}
	q.reportSuspicion(SuspicionCleared, j, index, w)
	t.suspect, t.blame = false, blame{}
	j.suspects--
	j.clearedSuspects++
}

// isRisky reports whether a task of the team was given up lately.
func (q *Queue) isRisky(now time.Time, team vwid.Team) bool {
	at, known := q.teamCrashes[team]
	return known && now.Sub(at) < crashMemory
}

// holdsOthers reports whether the tasks of a job that are no suspects must wait: they share the payload of a suspect, and
// none of them has shown that it is sound.
func (j *job) holdsOthers() bool {
	return j.suspects > 0 && j.doneTasks == 0
}

// nextSuspect returns the index of the suspect to send next, or -1. As the suspects of a job are cleared, more of them may
// be in flight at once.
func (j *job) nextSuspect() int {
	if j.suspects == 0 {
		return -1
	}
	next, sent := -1, 0
	for i := range j.tasks {
		switch t := &j.tasks[i]; {
		case !t.suspect:
		case t.state == taskSent:
			sent++
		case next < 0 && t.state == taskWaiting:
			next = i
		}
	}
	if sent > j.clearedSuspects {
		return -1
	}
	return next
}

// placeSuspects sends the suspects of a job that may run now, each to a worker without another suspect, so that a crash
// shows which task caused it.
func (q *Queue) placeSuspects(now time.Time, j *job) {
	for {
		index := j.nextSuspect()
		if index < 0 {
			return
		}
		w := q.workerForSuspect(now, j, &j.tasks[index])
		if w == nil {
			return
		}
		w.suspect = &j.tasks[index]
		q.send(now, w, j, []int{index})
	}
}

// workerForSuspect returns the worker at which a crash by the task would end the least and is least likely to have another
// cause, or nil if none is free.
func (q *Queue) workerForSuspect(now time.Time, j *job, t *task) *worker {
	var best *candidate
	bestRisky := 0
	candidates := q.candidates(now, j)
	for i := range candidates {
		c := &candidates[i]
		if c.worker.suspect != nil || t.avoidWorker == c.worker.Incarnation && q.hasOtherEligible(c.worker, j) {
			continue
		}
		risky := q.riskyTasks(now, c.worker)
		if best == nil || risky < bestRisky || risky == bestRisky && c.score > best.score {
			best, bestRisky = c, risky
		}
	}
	if best == nil {
		return nil
	}
	return best.worker
}

// riskyTasks returns the number of tasks of risky teams at a worker.
func (q *Queue) riskyTasks(now time.Time, w *worker) int {
	count := 0
	for j, tasks := range w.running {
		if q.isRisky(now, j.Team) {
			count += tasks
		}
	}
	return count
}

// releaseSuspect records that a task is no longer at a worker.
func (w *worker) releaseSuspect(t *task) {
	if w.suspect == t {
		w.suspect = nil
	}
}

// keepBlame keeps the blame of the tasks of a job that was not completed.
func (q *Queue) keepBlame(now time.Time, j *job) {
	blames := map[int]blame{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.blame.points > 0 {
			blames[i] = t.blame
		}
	}
	if len(blames) > 0 {
		q.crashRecords[j.ID] = crashRecord{at: now, blames: blames}
	}
}

// restoreBlame restores the blame of an earlier submission of a job, and fails the job if a task of it was given up.
func (q *Queue) restoreBlame(now time.Time, j *job) {
	record := q.crashRecords[j.ID]
	delete(q.crashRecords, j.ID)
	for i, kept := range record.blames {
		if i >= len(j.tasks) {
			continue
		}
		j.tasks[i].blame = kept
		if kept.points >= suspectBlame {
			j.tasks[i].suspect = true
			j.suspects++
		}
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.blame.points >= maxBlame {
			q.failDeadly(now, j, t)
			return
		}
	}
}

// expireCrashes drops the crashes that are no longer of use.
func (q *Queue) expireCrashes(now time.Time) {
	for id, record := range q.crashRecords {
		if now.Sub(record.at) > crashRetention {
			delete(q.crashRecords, id)
		}
	}
	for team := range q.teamCrashes {
		if !q.isRisky(now, team) {
			delete(q.teamCrashes, team)
		}
	}
}

// placeableTasks returns the number of waiting tasks that need not wait for the end of a suspect.
func (j *job) placeableTasks() int {
	switch {
	case !j.holdsOthers():
		return j.waitingTasks
	case j.nextSuspect() < 0:
		return 0
	}
	return 1
}
