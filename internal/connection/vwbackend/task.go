package vwbackend

import (
	"errors"
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Task is one call of the backend server.
type Task struct {
	Address      Address
	Service      vwid.Service
	SubmissionID vwid.SubmissionID
	TaskID       vwid.TaskID
	Epoch        vwid.Epoch
	Payload      []byte
	// Timeout bounds the call. Zero means no bound beside that of the context.
	Timeout time.Duration
}

// ErrStatus is a complete answer of the backend server with a status other than 200. Its verdict is Ran.
type ErrStatus struct {
	Status  int
	Message string
}

// Error implements error.
func (e *ErrStatus) Error() string {
	return fmt.Sprintf("the backend server answered with status %d: %s", e.Status, e.Message)
}

// IsStatus reports whether err is an answer with a status other than 200.
func IsStatus(err error) bool {
	var target *ErrStatus
	return errors.As(err, &target)
}

// ErrAnswerTooLarge ends a call whose answer exceeds the limit. Its verdict is MayHaveRun, because
// the rest of the answer was not read.
type ErrAnswerTooLarge struct{ Limit int64 }

// Error implements error.
func (e *ErrAnswerTooLarge) Error() string {
	return fmt.Sprintf("the answer of the backend server exceeds %d bytes", e.Limit)
}

// IsAnswerTooLarge reports whether err ends a call because of the size of the answer.
func IsAnswerTooLarge(err error) bool {
	var target *ErrAnswerTooLarge
	return errors.As(err, &target)
}

// ErrUnreachable ends a call for which no connection could be opened. Its verdict is NotRun.
type ErrUnreachable struct {
	Address Address
	Err     error
}

// Error implements error.
func (e *ErrUnreachable) Error() string {
	return fmt.Sprintf("the backend server at %s cannot be reached: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnreachable) Unwrap() error {
	return e.Err
}

// IsUnreachable reports whether err ends a call for which no connection could be opened.
func IsUnreachable(err error) bool {
	var target *ErrUnreachable
	return errors.As(err, &target)
}
