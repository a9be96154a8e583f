package vwstore

import (
	"errors"
	"fmt"
)

// ErrCorrupt means that a file was damaged after it was synced. The store does not open, because
// entries that this member has acknowledged may be missing.
type ErrCorrupt struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e ErrCorrupt) Error() string {
	return fmt.Sprintf("file %s of the data directory is corrupt at offset %d: %s. This member must not start from it. "+
		"While a majority of the other members is running, move the data directory away and start this member with an empty one; "+
		"it then joins as a new member. Otherwise restore the directory from a copy of the disk.", e.File, e.Offset, e.Reason)
}

// IsCorrupt reports whether err is an ErrCorrupt.
func IsCorrupt(err error) bool {
	var found ErrCorrupt
	return errors.As(err, &found)
}

// ErrUnusable means that a write or a sync has failed. The content of the disk is unknown until the
// process restarts and reads it again; a second sync could report success for lost bytes.
type ErrUnusable struct{ Cause error }

// Error implements error.
func (e ErrUnusable) Error() string {
	return fmt.Sprintf("the data directory cannot be used until this process restarts: %v. "+
		"Check the disk for errors and free space, then restart.", e.Cause)
}

// Unwrap returns the first failure.
func (e ErrUnusable) Unwrap() error {
	return e.Cause
}

// IsUnusable reports whether err is an ErrUnusable.
func IsUnusable(err error) bool {
	var found ErrUnusable
	return errors.As(err, &found)
}

// ErrLocked means that another process uses the data directory.
type ErrLocked struct{ File string }

// Error implements error.
func (e ErrLocked) Error() string {
	return fmt.Sprintf("another process holds the lock file %s; two processes must not share a data directory", e.File)
}

// IsLocked reports whether err is an ErrLocked.
func IsLocked(err error) bool {
	var found ErrLocked
	return errors.As(err, &found)
}
