package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

const (
	// numberRetention is how long the last run number of a task is kept. Callers resubmit a job within seconds; after
	// the retention the worker rejects a number that is too low.
	numberRetention = 20 * time.Second
	// numberSweepInterval is the time between two removals of expired numbers.
	numberSweepInterval = 5 * time.Second
)

// runNumbers assigns increasing numbers to the runs of a task, whichever entries order them.
type runNumbers struct {
	last      map[vwworker.Task]lastNumber
	lastSweep time.Time
}

type lastNumber struct {
	number int
	at     time.Time
}

// next returns the number of a task's next run: above the last one and at least minimum.
func (n *runNumbers) next(now time.Time, task vwworker.Task, minimum int) int {
	number := max(n.last[task].number+1, minimum, 1)
	n.last[task] = lastNumber{number: number, at: now}
	return number
}

func (n *runNumbers) expire(now time.Time) {
	if now.Sub(n.lastSweep) < numberSweepInterval {
		return
	}
	n.lastSweep = now
	for task, last := range n.last {
		if now.Sub(last.at) > numberRetention {
			delete(n.last, task)
		}
	}
}
