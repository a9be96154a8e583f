package vwplace

import (
	"slices"
	"time"
)

// joinTime is how long after a worker was linked no job is refused by forecast. After a restart of everything all
// workers are linked within that time, each with its whole room.
const joinTime = 100 * time.Millisecond

// refuseHopeless refuses jobs that have just come and would wait too long for room. A refusal at once lets the caller
// go elsewhere; one that follows a wait helps nobody. The first job in the queue always waits: an entry of which
// nothing runs cannot tell how long that takes. A job that has begun waits too, as its work would be lost.
func (q *Queue) refuseHopeless(now time.Time) {
	if now.Before(q.joinedAt.Add(joinTime)) || !slices.ContainsFunc(q.waiting, func(j *job) bool { return !j.judged }) {
		return
	}
	turnover := q.turnover()
	ahead := 0.0
	for _, j := range slices.Clone(q.waiting) {
		room := float64(j.waiting) * float64(j.Needs.CPU)
		if !j.judged && !j.begun() && ahead > 0 && ahead+room > turnover*j.allowedWait().Seconds() {
			q.giveUp(now, j, "more waits than can start in time")
			continue
		}
		j.judged = true
		ahead += room
	}
}

// turnover returns how much room the running tasks of this entry give back in a second, in thousandths of a core. What
// becomes free goes to the most urgent tasks of all entries; under overload each gets about what it gives back.
func (q *Queue) turnover() float64 {
	sum := 0.0
	for _, w := range q.order {
		for j, count := range w.running {
			sum += float64(count) * float64(j.Needs.CPU) / j.expected.Seconds()
		}
	}
	return sum
}
