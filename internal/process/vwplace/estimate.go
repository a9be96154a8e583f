package vwplace

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// runTimeWindow is the number of runs that the moving mean of a team covers.
	runTimeWindow = 64
	// maxRunTimeRatio limits the ratio taken from one run, so that a stalled run does not distort the mean.
	maxRunTimeRatio = 4
	// minExpectedRunTime is the lower bound of every expected run time. A task without an estimate is expected to run
	// this long until a task of its team has completed.
	minExpectedRunTime = 10 * time.Millisecond
)

// runTimeEstimate tracks the actual run times of a team's tasks against the estimates of the callers.
type runTimeEstimate struct {
	// ratio is the moving mean of actual to estimated run time, mean that of the actual run times.
	ratio float64
	mean  time.Duration
	runs  int
}

// expectedRunTime returns the expected run time of a task on a worker of normal speed near its data.
func (q *Queue) expectedRunTime(team vwid.Team, estimated time.Duration) time.Duration {
	current := q.runTimes[team]
	switch {
	case current == nil:
		return max(estimated, minExpectedRunTime)
	case estimated <= 0:
		return max(current.mean, minExpectedRunTime)
	}
	return max(time.Duration(float64(estimated)*current.ratio), minExpectedRunTime)
}

// observeRunTime updates the estimate of the job's team with the run time of a completed task. The run time is first
// divided by the remote factor, where it applies, and by the slowdown of the worker.
func (q *Queue) observeRunTime(j *job, ran time.Duration, w *worker) {
	current := q.runTimes[j.Team]
	if current == nil {
		current = &runTimeEstimate{ratio: 1, mean: ran}
		q.runTimes[j.Team] = current
	}
	factor := 1.0
	if !w.hasLabel(j.PreferredLabel) {
		factor = max(q.settings.RemoteFactor, 1)
	}
	ran = time.Duration(float64(ran) / factor / w.slowdown())
	current.runs++
	weight := 1 / float64(min(current.runs, runTimeWindow))
	current.mean += time.Duration(float64(ran-current.mean) * weight)
	if j.Estimate > 0 {
		ratio := min(float64(ran)/float64(j.Estimate), maxRunTimeRatio)
		current.ratio += (ratio - current.ratio) * weight
	}
}
