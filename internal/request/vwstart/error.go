package vwstart

import (
	"errors"
	"fmt"

	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// ErrFenced refuses a start whose epoch is fenced or cancelled.
type ErrFenced struct {
	SubmissionID vwid.SubmissionID
	// Epoch is the refused epoch. KnownEpoch is the one that fences it, or the highest cancelled one.
	Epoch, KnownEpoch vwid.Epoch
	Cancelled         bool
}

// Error implements error.
func (e *ErrFenced) Error() string {
	if e.Cancelled {
		return fmt.Sprintf("submission %s is cancelled at epoch %d", e.SubmissionID, e.KnownEpoch)
	}
	return fmt.Sprintf("epoch %d of submission %s is fenced by epoch %d", e.Epoch, e.SubmissionID, e.KnownEpoch)
}

// IsFenced reports whether err refuses a fenced or cancelled epoch.
func IsFenced(err error) bool {
	var target *ErrFenced
	return errors.As(err, &target)
}

// IsOutdated reports whether err refuses an epoch because a later owner with a higher epoch is known.
func IsOutdated(err error) bool {
	var target *ErrFenced
	return errors.As(err, &target) && !target.Cancelled
}

// ErrAlreadyStarted refuses a second start of a task. Its verdict NotRun applies to the second start
// only: the task itself runs or has run, so it must not be reported to an entry as not run.
type ErrAlreadyStarted struct {
	SubmissionID vwid.SubmissionID
	TaskID       vwid.TaskID
}

// Error implements error.
func (e *ErrAlreadyStarted) Error() string {
	return fmt.Sprintf("task %s of submission %s was already started", e.TaskID, e.SubmissionID)
}

// IsAlreadyStarted reports whether err refuses a second start.
func IsAlreadyStarted(err error) bool {
	var target *ErrAlreadyStarted
	return errors.As(err, &target)
}

// ErrTooMany refuses a start because the limit of start records is reached.
type ErrTooMany struct{ Limit int }

// Error implements error.
func (e *ErrTooMany) Error() string {
	return fmt.Sprintf("the agent already keeps %d start records", e.Limit)
}

// IsTooMany reports whether err refuses a start because the limit of start records is reached.
func IsTooMany(err error) bool {
	var target *ErrTooMany
	return errors.As(err, &target)
}

// ErrForgotten refuses a start of a submission whose records were, or may have been, dropped after
// acknowledgement or expiry. Its verdict is MayHaveRun, because an earlier start of the task cannot be
// excluded.
type ErrForgotten struct{ SubmissionID vwid.SubmissionID }

// Error implements error.
func (e *ErrForgotten) Error() string {
	return fmt.Sprintf("the start records of submission %s are no longer kept", e.SubmissionID)
}

// IsForgotten reports whether err refuses a start because its records were or may have been dropped.
func IsForgotten(err error) bool {
	var target *ErrForgotten
	return errors.As(err, &target)
}

func wrapNotRun(err error) error {
	return vwverdict.Wrap(vwverdict.NotRun, err)
}
