package vwstore

import (
	"errors"
	"fmt"
	"syscall"
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

// ErrFull means that the disk has no room. Nothing of the current batch is stored, and what was stored before is intact.
// The caller may repeat the whole batch, from Install or Append on, once there is room.
type ErrFull struct{ Cause error }

// Error implements error.
func (e ErrFull) Error() string {
	return fmt.Sprintf("the disk of the data directory is full: %v", e.Cause)
}

// Unwrap returns the failed operation.
func (e ErrFull) Unwrap() error {
	return e.Cause
}

// IsFull reports whether err is an ErrFull.
func IsFull(err error) bool {
	var found ErrFull
	return errors.As(err, &found)
}

// asFull returns an ErrFull for an error of a FileSystem that refused an operation for lack of room, and any other error
// as it is. After a failed sync it is not known what is stored, whatever the reason.
func asFull(err error) error {
	if !IsUnusable(err) && isNoRoom(err) {
		return ErrFull{Cause: err}
	}
	return err
}

// failedSync returns the error of a sync as ErrUnusable.
func failedSync(err error) error {
	if err == nil {
		return nil
	}
	return ErrUnusable{Cause: err}
}

// isNoRoom reports whether an operation of a FileSystem was refused because there is no room or the quota is used up.
func isNoRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// ErrUnusable means that a sync has failed, or a write for another reason than a full disk. The content of the disk is unknown until the
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
