// Package vwcommand holds what the commands of vanillawind share: their output for people and programs,
// and their exit codes.
package vwcommand

import (
	"errors"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwloadtest"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwclient"
)

// The exit codes of all commands. Scripts rely on them.
const (
	// ExitFine means that the command did what it says.
	ExitFine = 0
	// ExitFailed means that it could not, for example because a file or a server could not be reached.
	ExitFailed = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage = 2
	// ExitRefused means that a file or request was read and refused, and nothing has run or changed, or that
	// a load test found a promise or target that was not kept.
	ExitRefused = 3
	// ExitMayHaveRun means that a call failed and that nobody can tell what it has done.
	ExitMayHaveRun = 4
	// ExitRan means that a call ran and failed.
	ExitRan = 5
)

// ErrUsage is returned for a wrong command line.
type ErrUsage struct{ Err error }

// Error implements error.
func (e ErrUsage) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e ErrUsage) Unwrap() error { return e.Err }

// IsErrUsage reports whether err says that the command line was wrong.
func IsErrUsage(err error) bool {
	var usage ErrUsage
	return errors.As(err, &usage)
}

// ErrRefused is returned when input was refused and the reasons were already written.
type ErrRefused struct{ Message string }

// Error implements error.
func (e ErrRefused) Error() string { return e.Message }

// IsErrRefused reports whether err says that input was refused.
func IsErrRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused) || vwrule.IsErrRules(err) || vwsettings.IsErrSettings(err) || vwloadtest.IsErrBroken(err) ||
		(vwclient.IsRefused(err) && vwclient.IsNotRun(err))
}

// ExitCode returns the exit code for the outcome of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitFine
	case IsErrUsage(err):
		return ExitUsage
	case IsErrRefused(err):
		return ExitRefused
	case vwclient.IsRefused(err), vwclient.IsUnanswered(err):
		return exitOfCall(err)
	default:
		return ExitFailed
	}
}

// exitOfCall returns the exit code for a call of an entry. One that reached no entry has failed.
func exitOfCall(err error) int {
	switch {
	case vwclient.IsRan(err):
		return ExitRan
	case vwclient.IsMayHaveRun(err):
		return ExitMayHaveRun
	}
	return ExitFailed
}

// Message returns err without the trace of the places that it passed.
func Message(err error) string {
	return trace.UserMessage(err)
}
