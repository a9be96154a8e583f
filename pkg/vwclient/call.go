package vwclient

import (
	"net/http"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// call is one call of an entry with its rules for further attempts.
type call struct {
	method string
	path   string
	body   []byte
	// repeatable tells that the copies of the call are one: by its id, or because it only reads.
	repeatable bool
	// retries bounds the repetition of a call that may run again; nil leaves it unbounded.
	retries *budget
	// settled tells that a refusal with Conflict decides about all attempts.
	settled bool
	// decode reads a whole answer. An error means that the answer is not whole.
	decode func(status int, body []byte) error
}

// passing are the codes of refusals that pass: the same call may succeed later or at another entry.
var passing = map[string]bool{
	vwapi.CodeQueueFull:    true,
	vwapi.CodeRateLimited:  true,
	vwapi.CodeUnavailable:  true,
	vwapi.CodeStopping:     true,
	vwapi.CodeOwnerLost:    true,
	vwapi.CodeStillRunning: true,
}

func isPassing(problem *vwapi.Problem) bool {
	return passing[problem.Code] || problem.Status == http.StatusTooManyRequests || problem.Status == http.StatusServiceUnavailable
}

// again reports whether the call may be sent again after an attempt failed.
func (c *call) again(f *failure) bool {
	switch {
	case f.final, f.verdict == vwverdict.Ran, f.problem != nil && !isPassing(f.problem):
		return false
	case f.verdict == vwverdict.NotRun:
		return true
	}
	return c.repeatable && (c.retries == nil || c.retries.withdraw())
}
