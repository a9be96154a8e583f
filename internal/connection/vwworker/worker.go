// Package vwworker is how an agent orders runs at a worker that grants leases. Such a worker runs tasks side
// by side within its capacity, kills all of them when its lease ends, and lists how each one ended. An adapter
// implements Worker over the protocol that the workers of an installation speak.
package vwworker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Worker orders runs at one worker. Calls may be made side by side. An error is an ErrRejected when the worker
// answered that it has done nothing, an ErrGone when no worker listens, and otherwise means that the order
// may have been carried out, or may be later; it is an ErrBroken when the connection has ended.
type Worker interface {
	// Start starts a run. Repeating it for a run that is there changes nothing.
	Start(ctx context.Context, order StartOrder) (Answer, error)
	// Stop ends a run. A run that has not started yet is refused afterwards.
	Stop(ctx context.Context, order StopOrder) (Answer, error)
	// Hold extends the lease, takes note of ends, and lists what runs and what has ended.
	Hold(ctx context.Context, order HoldOrder) (Report, error)
}

// Clock is a time on a worker's own steady clock, in milliseconds.
type Clock int64

// Task identifies a task by its job, the step of the job and its index within the step.
type Task struct {
	Job   vwid.SubmissionID
	Step  int
	Index int
}

// String returns the task for logs.
func (t Task) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index)
}

// Run identifies one start of a task. A worker accepts only numbers above those of the task's earlier runs.
type Run struct {
	Task   Task
	Number int
}

// Life identifies one life of a worker, from its start to its end.
type Life struct {
	ID vwid.Worker
	// Born is when the life began, in milliseconds since the Unix epoch. A worker may start anew under the
	// same id.
	Born int64
}

// StartOrder asks for a run.
type StartOrder struct {
	Worker  vwid.Worker
	Run     Run
	Payload []byte
	// Until is when the lease of everything at the worker ends, if it would end before. An order that is
	// carried out later than this starts nothing.
	Until Clock
	// Token is the fencing token. A worker does nothing for one below the highest that it has seen.
	Token uint64
}

// StopOrder asks for the end of a run.
type StopOrder struct {
	Worker vwid.Worker
	Run    Run
	Token  uint64
}

// HoldOrder extends the lease and asks for the lists.
type HoldOrder struct {
	Worker vwid.Worker
	Token  uint64
	// Seen is the number of the last end that was taken note of.
	Seen uint64
	// Until extends the lease; zero leaves it as it is.
	Until Clock
	// Wait lets the worker hold the answer back until a run ends.
	Wait time.Duration
}

// Answer is what every answer of a worker tells.
type Answer struct {
	// Now is the worker's clock at the answer; zero when the answer does not tell it.
	Now Clock
}

// Report lists what a worker runs and what has ended.
type Report struct {
	Answer
	// Born tells which life answered.
	Born    int64
	Running []Run
	Ended   []Ended
}

// Ended is the end of one run. Numbers rise with each end of a life.
type Ended struct {
	Number uint64
	Run    Run
	How    How
}

// How tells how a run ended.
type How uint8

// The ways to end.
const (
	// Unknown is an end that this build does not know.
	Unknown How = iota
	// Done means that the task is complete.
	Done
	// Failed means that the task or the worker failed.
	Failed
	// Stopped follows a stop order.
	Stopped
	// Lapsed means that the lease had ended.
	Lapsed
)

var howNames = map[How]string{Unknown: "Unknown", Done: "Done", Failed: "Failed", Stopped: "Stopped", Lapsed: "Lapsed"}

// String returns the name for logs.
func (h How) String() string {
	return howNames[h]
}

// Reason tells why a worker has done nothing.
type Reason string

// The reasons.
const (
	// Fenced means that the worker has seen a higher token.
	Fenced Reason = "Fenced"
	// Superseded means that a run of the task with that number or a higher one has ended there.
	Superseded Reason = "Superseded"
	// Late means that the order arrived after its own end of the lease.
	Late Reason = "Late"
	// NoRoom means that the worker guards its capacity and has none left.
	NoRoom Reason = "NoRoom"
	// Unhealthy means that the worker takes no orders for now.
	Unhealthy Reason = "Unhealthy"
	// OtherLife means that the order was for another life of the worker.
	OtherLife Reason = "OtherLife"
	// Malformed means that the worker cannot read the order.
	Malformed Reason = "Malformed"
)

// ErrRejected is returned when a worker answered that it has done nothing.
type ErrRejected struct {
	Reason Reason
	// Now is the worker's clock at the answer; zero when the answer does not tell it.
	Now Clock
	// Message is what the answer said beside the reason.
	Message string
}

// Error implements error.
func (e ErrRejected) Error() string {
	text := "the worker rejected the order: " + string(e.Reason)
	if e.Message != "" {
		text += ": " + e.Message
	}
	return text
}

// RejectionOf returns the rejection that err carries, and false for another error.
func RejectionOf(err error) (ErrRejected, bool) {
	var rejected ErrRejected
	found := errors.As(err, &rejected)
	return rejected, found
}

// IsRejected reports whether a worker rejected an order for a reason.
func IsRejected(err error, reason Reason) bool {
	rejected, found := RejectionOf(err)
	return found && rejected.Reason == reason
}

// ErrGone is returned when nothing listens at the worker's address: its process has ended, and with it
// everything that it ran.
type ErrGone struct{ Err error }

// Error implements error.
func (e ErrGone) Error() string {
	return "no worker listens: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e ErrGone) Unwrap() error {
	return e.Err
}

// IsGone reports whether err tells that no worker listens.
func IsGone(err error) bool {
	var gone ErrGone
	return errors.As(err, &gone)
}

// ErrBroken is returned when the connection to the worker ended before the answer. Its process may have ended, and the next
// call may reach another life under the same id.
type ErrBroken struct{ Err error }

// Error implements error.
func (e ErrBroken) Error() string {
	return "the connection to the worker has ended: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e ErrBroken) Unwrap() error {
	return e.Err
}

// IsBroken reports whether err tells that the connection to the worker ended.
func IsBroken(err error) bool {
	var broken ErrBroken
	return errors.As(err, &broken)
}
