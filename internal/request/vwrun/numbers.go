package vwrun

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
)

const (
	// numberLife is how long the last run number of a task is remembered. Callers send a job again within
	// seconds; later the worker itself says that a number is too low.
	numberLife = 20 * time.Second
	// numberSweep is how often old numbers are dropped.
	numberSweep = 5 * time.Second
)

// numbers gives runs of a task rising numbers over the entries that order them.
type numbers struct {
	last  map[vwworker.Task]numbered
	swept time.Time
}

type numbered struct {
	number int
	at     time.Time
}

// next returns the number of the next run of a task, at least least.
func (n *numbers) next(now time.Time, task vwworker.Task, least int) int {
	number := max(n.last[task].number+1, least, 1)
	n.last[task] = numbered{number: number, at: now}
	return number
}

func (n *numbers) expire(now time.Time) {
	if now.Sub(n.swept) < numberSweep {
		return
	}
	n.swept = now
	for task, last := range n.last {
		if now.Sub(last.at) > numberLife {
			delete(n.last, task)
		}
	}
}
