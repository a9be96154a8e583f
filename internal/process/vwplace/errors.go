package vwplace

import (
	"errors"
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// ErrActive is returned for a job whose id belongs to a job that has not ended.
type ErrActive struct{ JobID vwid.SubmissionID }

// Error implements error.
func (e ErrActive) Error() string {
	return fmt.Sprintf("job %s has not ended", e.JobID)
}

// IsActive reports whether err is an ErrActive.
func IsActive(err error) bool {
	var active ErrActive
	return errors.As(err, &active)
}

// ErrBusy is returned for a job when the queue is full.
type ErrBusy struct{ RetryAfter time.Duration }

// Error implements error.
func (e ErrBusy) Error() string {
	return "too many jobs wait; come back after " + e.RetryAfter.Round(time.Millisecond).String()
}

// IsBusy reports whether err is an ErrBusy.
func IsBusy(err error) bool {
	var busy ErrBusy
	return errors.As(err, &busy)
}

// ErrStopping is returned for a job that cannot end before the entry stops.
type ErrStopping struct{ RetryAfter time.Duration }

// Error implements error.
func (e ErrStopping) Error() string {
	return "the entry stops before the job can end; use another entry"
}

// IsStopping reports whether err is an ErrStopping.
func IsStopping(err error) bool {
	var stopping ErrStopping
	return errors.As(err, &stopping)
}
