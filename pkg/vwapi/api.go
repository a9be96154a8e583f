// Package vwapi holds the JSON bodies of the callers' HTTP interface. Names in JSON are the Go
// names. Fields that end in Millis are durations or times in milliseconds.
package vwapi

import (
	"encoding/json"

	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Submission is a job of many short tasks.
type Submission struct {
	// ID is a UUIDv7 that the caller chose. A resubmission with the same ID and body joins the first.
	// When it is empty the entry makes one, and a resubmission cannot be recognised.
	ID      vwid.SubmissionID `json:",omitempty"`
	Service vwid.Service
	Team    vwid.Team
	// TimeoutMillis bounds the time to the whole answer, from the entry's receipt. Zero takes the
	// default of the team's rules.
	TimeoutMillis int64 `json:",omitempty"`
	Tasks         []Task
}

// Task is one task of a Submission.
type Task struct {
	ID vwid.TaskID
	// DeclaredRunMillis is the caller's estimate of the run time. It may be wrong.
	DeclaredRunMillis int64 `json:",omitempty"`
	// TimeoutMillis bounds the run time of the task; zero means no bound of its own.
	TimeoutMillis int64 `json:",omitempty"`
	// Payload goes to the backend server as it is.
	Payload json.RawMessage
}

// Request is a single call.
type Request struct {
	// ID is as in Submission. A non-idempotent request with an ID runs at most once over all its
	// resubmissions.
	ID            vwid.SubmissionID `json:",omitempty"`
	Service       vwid.Service
	Team          vwid.Team
	Idempotent    bool  `json:",omitempty"`
	TimeoutMillis int64 `json:",omitempty"`
	// DeclaredRunMillis is the caller's estimate of the run time.
	DeclaredRunMillis int64 `json:",omitempty"`
	Payload           json.RawMessage
}

// State tells how far a job has come.
type State string

// The states of a job.
const (
	StateRunning  State = "Running"
	StateComplete State = "Complete"
	StateFailed   State = "Failed"
)

// Answer is the whole answer to a Submission. Results stand in the order of its tasks.
type Answer struct {
	ID      vwid.SubmissionID
	State   State
	Results []Result `json:",omitempty"`
}

// Result is the result of one task.
type Result struct {
	ID     vwid.TaskID
	Result json.RawMessage
}

// RequestAnswer is the answer to a Request.
type RequestAnswer struct {
	ID     vwid.SubmissionID
	Result json.RawMessage
}

// ProblemType is the media type of a Problem, from RFC 9457.
const ProblemType = "application/problem+json"

// Problem is an RFC 9457 problem document with the verdict.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code names the kind of problem; it does not change between versions.
	Code string
	// Verdict says whether the request, or any task of the job, may have run.
	Verdict vwverdict.Verdict
	ID      vwid.SubmissionID `json:",omitempty"`
	// RetryAfterMillis suggests when to try again, for refusals under load.
	RetryAfterMillis int64 `json:",omitempty"`
	// FailedTasks lists the tasks whose failure failed the job.
	FailedTasks []TaskFailure `json:",omitempty"`
}

// TaskFailure tells why a task failed.
type TaskFailure struct {
	ID      vwid.TaskID
	Verdict vwverdict.Verdict
	Message string
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Detail != "" {
		return p.Title + ": " + p.Detail
	}
	return p.Title
}
