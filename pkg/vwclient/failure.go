package vwclient

import (
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// failure is the failure of one attempt.
type failure struct {
	verdict vwverdict.Verdict
	// problem is the document that the entry answered with, nil when there is none.
	problem *vwapi.Problem
	err     error
	// asked is the pause that the entry asked for.
	asked time.Duration
	// final tells that another attempt would fail alike.
	final bool
}

// maxQuote bounds how much of an unexpected answer an error quotes.
const maxQuote = 200

// makeFailure returns the failure that a whole answer with an error status stands for.
func makeFailure(response *http.Response, body []byte) *failure {
	problem, err := readProblem(response, body)
	if err != nil {
		// It comes from something between the client and the entry, so nothing is known.
		return &failure{err: trace.Errorf("status %d without a problem document: %.*q", response.StatusCode, maxQuote, body)}
	}
	asked := time.Duration(problem.RetryAfterMillis) * time.Millisecond
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && asked == 0 {
		asked = time.Duration(seconds) * time.Second
	}
	return &failure{verdict: problem.Verdict, problem: problem, asked: asked}
}

func isProblem(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == vwapi.ProblemType
}

func readProblem(response *http.Response, body []byte) (*vwapi.Problem, error) {
	if !isProblem(response) {
		return nil, trace.BadParameter("not a problem document")
	}
	var problem vwapi.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		return nil, trace.Wrap(err)
	}
	if problem.Code == "" {
		return nil, trace.BadParameter("the problem document has no code")
	}
	return &problem, nil
}

// join returns the error of a whole call. A refusal of a later attempt says nothing about an earlier
// one that may have run.
func (f *failure) join(c *call, mayHaveRun bool, attempts int) error {
	verdict := f.verdict
	settled := c.settled && f.problem != nil && f.problem.Code == vwapi.CodeConflict
	if verdict == vwverdict.NotRun && mayHaveRun && !settled {
		verdict = vwverdict.MayHaveRun
	}
	if f.problem != nil {
		return vwverdict.Wrap(verdict, &ErrRefused{Problem: f.problem, Attempts: attempts})
	}
	return vwverdict.Wrap(verdict, &ErrUnanswered{Attempts: attempts, Err: f.err})
}
