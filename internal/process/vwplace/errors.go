package vwplace

import (
	"errors"
	"fmt"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// ErrActive refuses a job whose id is that of a job that has not ended.
type ErrActive struct{ JobID vwid.SubmissionID }

// Error implements error.
func (e ErrActive) Error() string {
	return fmt.Sprintf("job %s has not ended", e.JobID)
}

// IsActive reports whether err refuses the id of a job that has not ended.
func IsActive(err error) bool {
	var active ErrActive
	return errors.As(err, &active)
}

// ErrBusy refuses a job because too many wait.
type ErrBusy struct{ RetryAfter time.Duration }

// Error implements error.
func (e ErrBusy) Error() string {
	return "too many jobs wait; come back after " + e.RetryAfter.String()
}

// IsBusy reports whether err refuses a job because too many wait.
func IsBusy(err error) bool {
	var busy ErrBusy
	return errors.As(err, &busy)
}
