package vwplace

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// learnRuns is how many runs the moving mean of a team covers.
	learnRuns = 64
	// maxRatio bounds what one run says, so that a run that stood still does not spoil the mean.
	maxRatio = 4
	// shortestExpected is what a task without an estimate is expected to run before any has ended.
	shortestExpected = 10 * time.Millisecond
)

// estimate follows how long the tasks of a team run against what callers expect.
type estimate struct {
	// ratio is the moving mean of actual to estimated run times, and mean that of the actual ones.
	ratio float64
	mean  time.Duration
	runs  int
}

// expect returns how long a task is expected to run on a worker of usual speed near its data.
func (q *Queue) expect(team vwid.Team, estimated time.Duration) time.Duration {
	known := q.learned[team]
	switch {
	case known == nil:
		return max(estimated, shortestExpected)
	case estimated <= 0:
		return max(known.mean, shortestExpected)
	}
	return max(time.Duration(float64(estimated)*known.ratio), shortestExpected)
}

// learn takes the run time of a task that is done.
func (q *Queue) learn(j *job, ran time.Duration, w *worker) {
	known := q.learned[j.Team]
	if known == nil {
		known = &estimate{ratio: 1, mean: ran}
		q.learned[j.Team] = known
	}
	factor := 1.0
	if !w.has(j.Prefers) {
		factor = max(q.settings.RemoteFactor, 1)
	}
	ran = time.Duration(float64(ran) / factor / w.slowdown())
	known.runs++
	weight := 1 / float64(min(known.runs, learnRuns))
	known.mean += time.Duration(float64(ran-known.mean) * weight)
	if j.Estimate > 0 {
		ratio := min(float64(ran)/float64(j.Estimate), maxRatio)
		known.ratio += (ratio - known.ratio) * weight
	}
}
