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
	return "too many jobs wait; come back after " + e.RetryAfter.String()
}

// IsBusy reports whether err is an ErrBusy.
func IsBusy(err error) bool {
	var busy ErrBusy
	return errors.As(err, &busy)
}
