package vwdispatch

import (
	"errors"
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Limit names a limit of the policy.
type Limit string

// The limits that Enqueue checks.
const (
	LimitQueueTasks Limit = "queue tasks"
	LimitQueueBytes Limit = "queue bytes"
	LimitTeamTasks  Limit = "team tasks"
	LimitTeamBytes  Limit = "team bytes"
	LimitTeamRate   Limit = "team rate"
	LimitInFlight   Limit = "team in flight"
)

// ErrLimit refuses a job that would exceed a limit.
type ErrLimit struct {
	Team  vwid.Team
	Limit Limit
	Max   float64
}

// Error implements error.
func (e ErrLimit) Error() string {
	return fmt.Sprintf("team %q would exceed the limit on %s of %g", e.Team, e.Limit, e.Max)
}

// IsLimit reports whether err refuses a job because of a limit.
func IsLimit(err error) bool {
	var target ErrLimit
	return errors.As(err, &target)
}

// ErrDeadline refuses a job that cannot end before its deadline.
type ErrDeadline struct {
	SubmissionID vwid.SubmissionID
	Deadline     time.Time
	Expected     time.Time
}

// Error implements error.
func (e ErrDeadline) Error() string {
	return fmt.Sprintf("submission %s would end %s after its deadline", e.SubmissionID, e.Expected.Sub(e.Deadline))
}

// IsDeadline reports whether err refuses a job because of its deadline.
func IsDeadline(err error) bool {
	var target ErrDeadline
	return errors.As(err, &target)
}

// ErrDuplicate refuses a job whose submission already has tasks in the queue.
type ErrDuplicate struct{ SubmissionID vwid.SubmissionID }

// Error implements error.
func (e ErrDuplicate) Error() string {
	return fmt.Sprintf("submission %s is already queued", e.SubmissionID)
}

// IsDuplicate reports whether err refuses a job that is already queued.
func IsDuplicate(err error) bool {
	var target ErrDuplicate
	return errors.As(err, &target)
}

func refuse(err error) error {
	return vwverdict.Wrap(vwverdict.NotRun, err)
}
