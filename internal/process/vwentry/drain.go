package vwentry

import (
	"context"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// AnswerBy sets the time by which all calls must be answered, because the process stops then. Jobs that cannot end by
// then are refused; those that have not ended when it comes are given up. Jobs with a record whose tasks may have started
// are left to the next owner, and their tasks go on. A later time than the one set before has no effect.
func (e *Entry) AnswerBy(at time.Time) {
	e.post(func() {
		if !e.answerBy.IsZero() && e.answerBy.Before(at) {
			return
		}
		e.answerBy = at
		e.bestEffort.queue.AnswerBy(at)
	})
}

// Drain refuses new submissions and waits until the running ones have ended or ctx is done.
func (e *Entry) Drain(ctx context.Context) error {
	idle, err := runOnLoop(ctx, e, func() chan struct{} {
		e.stopping = true
		idle := make(chan struct{})
		e.idle = append(e.idle, idle)
		e.signalIdle()
		return idle
	})
	if err != nil {
		return err
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (e *Entry) signalIdle() {
	if !e.stopping || e.activeJobs > 0 || e.bestEffort.queue.Len() > 0 {
		return
	}
	for _, idle := range e.idle {
		close(idle)
	}
	e.idle = nil
}

// answerRemaining gives up the jobs that have not ended when all calls must be answered, and then ends the calls that wait
// for something else, such as control or the owner of a job.
func (e *Entry) answerRemaining(now time.Time) {
	if e.answerBy.IsZero() || now.Before(e.answerBy) {
		return
	}
	for _, j := range e.jobs {
		if j.Ended() {
			continue
		}
		e.counters.EndedByStop.Add(1)
		e.endByStop(j)
	}
	e.close()
}

// endByStop fails a job because the entry stops.
func (e *Entry) endByStop(j *job) {
	switch {
	case !j.MayHaveStarted():
		e.failJob(j, vwapi.CodeStopping, "the entry stops before the tasks could start; use another entry")
	case j.hasRecord:
		j.handedOver = true
		e.abandonJob(j)
	default:
		e.failJob(j, codeOwnerLost, "the entry stops before the whole answer was there")
	}
	e.log.Info("job has ended by the stop of the entry", "submission", string(j.SubmissionID), "verdict", j.Failure().Verdict.String(), "took", time.Since(j.createdAt).String())
}

// cannotEndInTime reports whether a submission would still run when all calls must be answered, by the longest run time
// that it declares.
func (e *Entry) cannotEndInTime(now time.Time, s *submission) bool {
	if e.answerBy.IsZero() {
		return false
	}
	longest := time.Duration(0)
	for i := range s.spec.Tasks {
		longest = max(longest, s.spec.Tasks[i].Declared)
	}
	return !now.Add(longest).Before(e.answerBy)
}

// endWithClosing ends the context of a call when the calls that still wait must be answered.
func (e *Entry) endWithClosing(c *gin.Context) {
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	defer context.AfterFunc(e.closing, cancel)()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
}

// errClosing is the answer to a call that the stop of the entry ends.
func errClosing() error {
	return refuse(vwapi.CodeUnavailable, vwverdict.MayHaveRun, "the entry stops; ask another entry")
}
