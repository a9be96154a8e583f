// Package vwverdict tells whether a request may have run. Every error that crosses a layer
// carries a Verdict, and only NotRun permits a free retry.
package vwverdict

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// MayHaveRun means that nobody can tell. It is the zero value, so that an unmarked error never permits a retry.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and never will.
	NotRun
	// Ran means that the request ran to its end, with success or failure.
	Ran
)

var verdictNames = map[Verdict]string{MayHaveRun: "MayHaveRun", NotRun: "NotRun", Ran: "Ran"}

// String returns the name that the HTTP interface uses.
func (v Verdict) String() string {
	if name, ok := verdictNames[v]; ok {
		return name
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for verdict, name := range verdictNames {
		if name == string(text) {
			*v = verdict
			return nil
		}
	}
	return trace.BadParameter("unknown verdict %q", text)
}

// Join returns the verdict of a whole whose parts have verdicts v and other: NotRun only when
// neither part ran, Ran only when both did.
func (v Verdict) Join(other Verdict) Verdict {
	if v == other {
		return v
	}
	return MayHaveRun
}

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	return e.Verdict.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Wrap marks err with a verdict. It returns nil for a nil err. An outer mark wins over an inner one.
func Wrap(verdict Verdict, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: verdict, Err: err}
}

// Errorf returns a new error with a verdict.
func Errorf(verdict Verdict, format string, args ...any) error {
	return &Error{Verdict: verdict, Err: trace.Errorf(format, args...)}
}

// Of returns the verdict that err carries, MayHaveRun when it carries none, and Ran for nil.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var marked *Error
	if errors.As(err, &marked) {
		return marked.Verdict
	}
	return MayHaveRun
}

// Reason returns the text of err without its verdict, for messages that carry the verdict in a field of
// its own or that are about another call than the one the verdict is about.
func Reason(err error) string {
	var marked *Error
	if errors.As(err, &marked) {
		return Reason(marked.Err)
	}
	return err.Error()
}

// IsNotRun reports whether err permits a free retry.
func IsNotRun(err error) bool {
	return err != nil && Of(err) == NotRun
}
