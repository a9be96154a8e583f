package vwentry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// answerSource is the source of the answer to a submission: a job of this entry, or the status and body that
// the owning entry sent.
type answerSource struct {
	job    *job
	status int
	body   []byte
}

// problemOf returns the problem document for an error. An error that wraps no document is unexpected and
// gets one with the error's verdict.
func problemOf(err error, id vwid.SubmissionID) *vwapi.Problem {
	var wrapped *vwapi.Problem
	problem := vwapi.Problem{Code: vwapi.CodeUnavailable, Detail: reasonOf(err), Verdict: vwverdict.Of(err)}
	if errors.As(err, &wrapped) {
		problem = *wrapped
	}
	return completeProblem(&problem, id)
}

// reasonOf returns why a call that the entry made failed.
func reasonOf(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return vwverdict.Reason(err)
}

func completeProblem(problem *vwapi.Problem, id vwid.SubmissionID) *vwapi.Problem {
	problem.Type = "about:blank"
	problem.Title = vwapi.TitleOf(problem.Code)
	problem.Status = vwapi.StatusOf(problem.Code)
	problem.ID = id
	suggestRetry(problem)
	return problem
}

func problemOfJob(j *job) *vwapi.Problem {
	failure := j.Failure()
	problem := &vwapi.Problem{Code: failure.Code, Detail: failure.Message, Verdict: failure.Verdict, RetryAfterMillis: j.retryAfter.Milliseconds()}
	for _, task := range failure.Tasks {
		problem.FailedTasks = append(problem.FailedTasks, vwapi.TaskFailure{ID: task.TaskID, Verdict: task.Verdict, Message: task.Message})
	}
	return completeProblem(problem, j.SubmissionID)
}

// writeAnswer writes the whole answer of an ended job, or its problem document, as a stream.
func writeAnswer(writer io.Writer, j *job) (int, error) {
	encoder := json.NewEncoder(writer)
	if j.Failure() != nil {
		problem := problemOfJob(j)
		return problem.Status, encoder.Encode(problem)
	}
	id, err := json.Marshal(j.SubmissionID)
	if err != nil {
		return http.StatusOK, err
	}
	if _, err := io.WriteString(writer, `{"ID":`+string(id)+`,"State":"`+string(vwapi.StateComplete)+`","Results":[`); err != nil {
		return http.StatusOK, err
	}
	for index := range j.Tasks {
		if index > 0 {
			if _, err := io.WriteString(writer, ","); err != nil {
				return http.StatusOK, err
			}
		}
		if err := encoder.Encode(vwapi.Result{ID: j.Tasks[index].ID, Result: resultJSON(j.Result(index))}); err != nil {
			return http.StatusOK, err
		}
	}
	_, err = io.WriteString(writer, "]}\n")
	return http.StatusOK, err
}

// resultJSON returns a backend server's result as JSON; one that is not JSON becomes a string.
func resultJSON(result []byte) json.RawMessage {
	if json.Valid(result) {
		return result
	}
	text, err := json.Marshal(string(result))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
