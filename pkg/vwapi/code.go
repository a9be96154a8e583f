package vwapi

import (
	"maps"
	"net/http"
	"slices"
)

// Codes of problems.
const (
	CodeMalformed      = "Malformed"
	CodeTooLarge       = "TooLarge"
	CodeInvalid        = "Invalid"
	CodeUnknownRoute   = "UnknownRoute"
	CodeUnknownMethod  = "UnknownMethod"
	CodeUnknownContent = "UnknownContent"
	CodeNeverRuns      = "NeverRuns"
	CodeConflict       = "Conflict"
	CodeTooOld         = "TooOld"
	CodeTooNew         = "TooNew"
	CodeUnknownJob     = "UnknownJob"
	CodeQueueFull      = "QueueFull"
	CodeRateLimited    = "RateLimited"
	CodeDeadline       = "Deadline"
	CodeTaskFailed     = "TaskFailed"
	CodeWorkerLost     = "WorkerLost"
	CodeOwnerLost      = "OwnerLost"
	CodeAnswerGone     = "AnswerGone"
	CodeCancelled      = "Cancelled"
	CodeUnavailable    = "Unavailable"
	CodeStopping       = "Stopping"
	CodeStillRunning   = "StillRunning"
)

type kind struct {
	title  string
	status int
}

var kinds = map[string]kind{
	CodeMalformed:      {"The body is malformed", http.StatusBadRequest},
	CodeTooLarge:       {"The body is too large", http.StatusRequestEntityTooLarge},
	CodeInvalid:        {"The request is invalid", http.StatusUnprocessableEntity},
	CodeUnknownRoute:   {"There is no such path", http.StatusNotFound},
	CodeUnknownMethod:  {"The path does not take this method", http.StatusMethodNotAllowed},
	CodeUnknownContent: {"The body is not JSON", http.StatusUnsupportedMediaType},
	CodeNeverRuns:      {"No worker can ever run this", http.StatusUnprocessableEntity},
	CodeConflict:       {"Something else came first", http.StatusConflict},
	CodeTooOld:         {"The submission id is too old", http.StatusGone},
	CodeTooNew:         {"The submission id is from the future", http.StatusUnprocessableEntity},
	CodeUnknownJob:     {"There is no record of the job", http.StatusNotFound},
	CodeQueueFull:      {"The queue is full", http.StatusTooManyRequests},
	CodeRateLimited:    {"The team's rate is exceeded", http.StatusTooManyRequests},
	CodeDeadline:       {"The deadline cannot be met", http.StatusGatewayTimeout},
	CodeTaskFailed:     {"A task failed", http.StatusBadGateway},
	CodeWorkerLost:     {"A worker was lost", http.StatusBadGateway},
	CodeOwnerLost:      {"The entry that owned the job was lost", http.StatusBadGateway},
	CodeAnswerGone:     {"The answer is no longer kept", http.StatusGone},
	CodeCancelled:      {"The job was cancelled", http.StatusConflict},
	CodeUnavailable:    {"The process cannot serve this now", http.StatusServiceUnavailable},
	CodeStopping:       {"The process is stopping", http.StatusServiceUnavailable},
	CodeStillRunning:   {"The job is still running", http.StatusAccepted},
}

// Codes returns all codes in the order of the alphabet.
func Codes() []string {
	return slices.Sorted(maps.Keys(kinds))
}

// TitleOf returns the title of the problem documents with a code.
func TitleOf(code string) string {
	return kinds[code].title
}

// StatusOf returns the HTTP status of the problem documents with a code.
func StatusOf(code string) int {
	return kinds[code].status
}
