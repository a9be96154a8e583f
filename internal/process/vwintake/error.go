package vwintake

import (
	"fmt"
	"time"
)

// retryAfter is when a caller may try again. Room is made within the stall time.
const retryAfter = time.Second

// ErrRefused is returned for a request that the process has no room for. The request has had no effect.
type ErrRefused struct {
	Reason Reason
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

// Error implements error.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("this process has no room for the request at the moment (%s)", e.Reason)
}
