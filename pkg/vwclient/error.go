package vwclient

import (
	"errors"
	"fmt"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// ErrRefused is returned when an entry answered with a problem document. The verdict of the returned
// error, which vwverdict.Of tells, covers all attempts; that of the Problem covers the last one.
type ErrRefused struct {
	Problem  *vwapi.Problem
	Attempts int
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("%s (%s, attempts: %d)", e.Problem.Error(), e.Problem.Code, e.Attempts)
}

// Unwrap returns the problem document.
func (e *ErrRefused) Unwrap() error { return e.Problem }

// IsRefused reports whether an entry answered err with a problem document.
func IsRefused(err error) bool {
	var target *ErrRefused
	return errors.As(err, &target)
}

// ErrUnanswered is returned when no attempt got a whole answer.
type ErrUnanswered struct {
	Attempts int
	Err      error
}

// Error implements error.
func (e *ErrUnanswered) Error() string {
	return fmt.Sprintf("no whole answer (attempts: %d): %v", e.Attempts, e.Err)
}

// Unwrap returns what ended the last attempt.
func (e *ErrUnanswered) Unwrap() error { return e.Err }

// IsUnanswered reports whether err means that no attempt got a whole answer.
func IsUnanswered(err error) bool {
	var target *ErrUnanswered
	return errors.As(err, &target)
}

// ErrTooLarge is the cause of an ErrUnanswered when an answer exceeds Settings.MaxAnswer.
type ErrTooLarge struct{ Limit int64 }

// Error implements error.
func (e *ErrTooLarge) Error() string {
	return fmt.Sprintf("the answer exceeds the client's limit of %d bytes", e.Limit)
}

// IsTooLarge reports whether err means that an answer exceeds Settings.MaxAnswer.
func IsTooLarge(err error) bool {
	var target *ErrTooLarge
	return errors.As(err, &target)
}

// IsNotRun reports whether err says that nothing has run and nothing will.
func IsNotRun(err error) bool { return hasVerdict(err, vwverdict.NotRun) }

// IsMayHaveRun reports whether err leaves open what has run.
func IsMayHaveRun(err error) bool { return hasVerdict(err, vwverdict.MayHaveRun) }

// IsRan reports whether err is the failure of something that ran.
func IsRan(err error) bool { return hasVerdict(err, vwverdict.Ran) }

func hasVerdict(err error, verdict vwverdict.Verdict) bool {
	return err != nil && vwverdict.Of(err) == verdict
}

// HasCode reports whether err is a problem document with one of the codes of vwapi.
func HasCode(err error, code string) bool {
	var problem *vwapi.Problem
	return errors.As(err, &problem) && problem.Code == code
}
