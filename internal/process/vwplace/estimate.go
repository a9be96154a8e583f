package vwplace

import (
	"maps"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// runTimeWindow is the number of jobs that the moving mean of a team covers. Jobs are counted and not tasks, because the
	// tasks of a job share the error of its estimate.
	runTimeWindow = 128
	// establishedJobs is the number of jobs after which a team's run times are known.
	establishedJobs = 16
	// callerJobs is the number of jobs that the callers' own estimates count for.
	callerJobs = 1
	// maxRunTimeRatio limits how far one run of a team whose run times are not known may deviate from the mean, so that a stalled
	// run does not distort it.
	maxRunTimeRatio = 4
	// maxRunTimeError is the same limit for a known mean. It is beyond the errors of estimates, and within the slowdown of a
	// worker that has just turned slow.
	maxRunTimeError = 2
	// minExpectedRunTime is the lower bound of every expected run time. A task without an estimate is expected to run
	// this long until a task of its team has completed.
	minExpectedRunTime = 10 * time.Millisecond
	// runTimeMemory is how long run times are kept of tasks that run no more, such as those of a route that was removed.
	runTimeMemory = time.Hour
)

// factorMean is a moving mean of factors, in which a factor far above the mean counts less.
type factorMean struct {
	value float64
	// jobs is the number of jobs that were observed.
	jobs float64
}

// observe adds a factor that counts as a part of a job. The mean covers up to window jobs. A factor beyond limit times the mean
// counts as that.
func (m *factorMean) observe(factor, part, window, limit float64) {
	m.jobs = min(m.jobs+part, window)
	m.value += (min(factor, limit*m.value) - m.value) * part / m.jobs
}

// taskKind tells the tasks apart whose run times are tracked: those of a team at the workers of a service.
type taskKind struct {
	team    vwid.Team
	service vwid.Service
}

// runTimeEstimate tracks the run times of one kind of tasks on sound workers of ordinary speed near their data.
type runTimeEstimate struct {
	// ratio is the mean of actual to estimated run time, seconds that of the actual run times.
	ratio, seconds factorMean
	observedAt     time.Time
}

func makeRunTimeEstimate() *runTimeEstimate {
	return &runTimeEstimate{ratio: factorMean{value: 1, jobs: callerJobs}}
}

// expected returns the expected run time of a task, zero if nothing is known.
func (e *runTimeEstimate) expected(estimated time.Duration) time.Duration {
	if estimated > 0 {
		return time.Duration(float64(estimated) * e.ratio.value)
	}
	return time.Duration(e.seconds.value * float64(time.Second))
}

// established reports whether the run times of tasks with or without an estimate are known.
func (e *runTimeEstimate) established(estimated time.Duration) bool {
	if estimated > 0 {
		return e.ratio.jobs >= establishedJobs
	}
	return e.seconds.jobs >= establishedJobs
}

// observe adds a run time, which counts as a part of a job.
func (e *runTimeEstimate) observe(ran, estimated time.Duration, part float64) {
	if e.seconds.jobs == 0 {
		e.seconds.value = ran.Seconds()
	}
	e.seconds.observe(ran.Seconds(), part, runTimeWindow, e.seconds.runTimeLimit())
	if estimated > 0 {
		e.ratio.observe(float64(ran)/float64(estimated), part, runTimeWindow, e.ratio.runTimeLimit())
	}
}

// scale multiplies all expected run times.
func (e *runTimeEstimate) scale(factor float64) {
	e.seconds.value *= factor
	if e.ratio.jobs > callerJobs {
		e.ratio.value *= factor
	}
}

// runTimeLimit returns the factor of the mean up to which a run counts as it is.
func (m *factorMean) runTimeLimit() float64 {
	if m.jobs >= establishedJobs {
		return maxRunTimeError
	}
	return maxRunTimeRatio
}

// expectedRunTime returns the expected run time of a task of a job on a worker of ordinary speed near its data.
func (q *Queue) expectedRunTime(job *Job) time.Duration {
	if current := q.runTimes[taskKind{job.Team, job.Service}]; current != nil {
		return max(current.expected(job.Estimate), minExpectedRunTime)
	}
	return max(job.Estimate, minExpectedRunTime)
}

// forgetRunTimes drops the run times that were last observed long ago. It looks for them four times in runTimeMemory.
func (q *Queue) forgetRunTimes(now time.Time) {
	if now.Sub(q.runTimesForgottenAt) < runTimeMemory/4 {
		return
	}
	q.runTimesForgottenAt = now
	maps.DeleteFunc(q.runTimes, func(_ taskKind, e *runTimeEstimate) bool { return now.Sub(e.observedAt) > runTimeMemory })
}

// observeRunTime updates the estimate of the job's team and the pace of the worker with the run time of a completed task. Runs at
// workers that have turned slow are passed over, because the estimate is that of sound workers, and so are those of known teams
// while the whole fleet is slow. The slowdown that agents report decides only about that. No run time is divided by it: agents
// measure it against what entries expect, nothing would hold the product of the two, and the estimate would drift away.
func (q *Queue) observeRunTime(now time.Time, j *job, t *task, ran time.Duration, w *worker) {
	if ran <= 0 {
		return
	}
	kind := taskKind{j.Team, j.Service}
	current := q.runTimes[kind]
	if current == nil {
		current = makeRunTimeEstimate()
		q.runTimes[kind] = current
	}
	current.observedAt = now
	if !w.hasLabel(j.PreferredLabel) {
		ran = time.Duration(float64(ran) / max(q.settings.RemoteFactor, 1))
	}
	established, part := current.established(j.Estimate), 1/float64(len(j.tasks))
	if t.sentToSlow || w.slow.holds(now) || established && w.fleetSlow.holds(now) {
		return
	}
	ordinary, expected := time.Duration(float64(ran)/w.paceFactor()), current.expected(j.Estimate)
	current.observe(ordinary, j.Estimate, part)
	if established {
		w.observePace(float64(ran)/float64(expected), part)
	}
}
