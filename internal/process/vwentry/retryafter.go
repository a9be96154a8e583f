package vwentry

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// failByQueue fails a job that the queue has refused, with an advice when to return if a limit has refused it.
func (e *Entry) failByQueue(now time.Time, j *job, cause error, message string) {
	var limit vwdispatch.ErrLimit
	if errors.As(cause, &limit) {
		j.retryAfter = e.adviseReturn(now, j, limit.Limit)
	}
	e.failJob(j, limitErrorCode(cause), message)
}

// adviseReturn returns when the caller of a job that a limit has refused should return. Those who are refused by a limit
// of their team wait in a line of their own.
func (e *Entry) adviseReturn(now time.Time, j *job, limit vwdispatch.Limit) time.Duration {
	load := e.queue.ReturnLoad(now, j.queuedJob(), limit)
	refusal := vwplace.Refusal{Team: j.Team, Work: load.Work}
	if limit.IsOfTeam() {
		refusal.Line = string(limit) + "/" + string(j.Team)
	}
	return e.retries.Advise(now, refusal, vwplace.RetryLoad{Waiting: load.Waiting, Released: load.Released})
}

// refuseHere returns the error for a call that this entry cannot serve and another one can.
func refuseHere(code string, message string) error {
	return vwverdict.Wrap(vwverdict.NotRun, &vwapi.Problem{
		Code: code, Title: vwapi.TitleOf(code), Detail: message, Verdict: vwverdict.NotRun, RetryAfterMillis: vwplace.MinRetryAfter.Milliseconds(),
	})
}

// suggestRetry sets when to return in a problem document that has no advice. Other entries do not stop, but may not reach control
// either.
func suggestRetry(problem *vwapi.Problem) {
	switch {
	case !isBusy(problem.Status) || problem.RetryAfterMillis > 0:
	case problem.Code == vwapi.CodeStopping:
		problem.RetryAfterMillis = vwplace.MinRetryAfter.Milliseconds()
	default:
		problem.RetryAfterMillis = vwplace.UsualRetryAfter(rand.Float64()).Milliseconds()
	}
}

// problem returns the problem document of another entry as far as it can be read, with what Retry-After needs.
func (s *answerSource) problem() *vwapi.Problem {
	problem := &vwapi.Problem{}
	if err := json.Unmarshal(s.body, problem); err != nil {
		problem = &vwapi.Problem{}
	}
	problem.Status = s.status
	suggestRetry(problem)
	return problem
}

// isBusy reports whether a status refuses a call that may be accepted a little later.
func isBusy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// setRetryAfter sets the Retry-After header to a document's RetryAfterMillis, in whole seconds.
func setRetryAfter(c *gin.Context, problem *vwapi.Problem) {
	if isBusy(problem.Status) {
		after := time.Duration(problem.RetryAfterMillis) * time.Millisecond
		c.Header("Retry-After", strconv.Itoa(vwplace.RetrySeconds(after, rand.Float64())))
	}
}
