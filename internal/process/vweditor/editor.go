// Package vweditor changes the rules that control holds. Several operators may change them at the same time
// through different processes; an edit that another change overtakes is made anew on the newer rules.
package vweditor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// proposeAgainInterval is short against an election, so that a command goes on soon after it.
	proposeAgainInterval = 50 * time.Millisecond
	// maxEdits bounds how often an edit is made anew after other changes came first.
	maxEdits = 20
)

// Control is the replicated control state as an editor uses it.
type Control interface {
	Propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error)
	Read(ctx context.Context, query vwstate.Query) (vwstate.View, error)
}

// Change tells who asks for an edit. A resend has the same ID.
type Change struct {
	ID vwid.ChangeID
	By string
}

// Revision is what an edit makes of the rules.
type Revision struct {
	// Text are the rules.
	Text []byte
	// Source is the document that Text was translated from, if it was.
	Source []byte
}

// ErrUnreadable is returned when nobody can tell now which rules are the newest. Nothing has changed.
type ErrUnreadable struct{ Err error }

// Error implements error.
func (e ErrUnreadable) Error() string {
	return "control cannot be read: " + vwverdict.Reason(e.Err)
}

// Unwrap returns the cause.
func (e ErrUnreadable) Unwrap() error {
	return e.Err
}

// IsUnreadable reports whether err tells that the newest rules could not be read.
func IsUnreadable(err error) bool {
	var unreadable ErrUnreadable
	return errors.As(err, &unreadable)
}

// Read returns the newest rules, or an ErrUnreadable.
func Read(ctx context.Context, control Control) (vwstate.Config, error) {
	view, err := control.Read(ctx, vwstate.Query{Config: true})
	if err == nil && view.Config == nil {
		err = trace.NotFound("the answer holds no rules")
	}
	if err != nil {
		return vwstate.Config{}, vwverdict.Wrap(vwverdict.NotRun, ErrUnreadable{Err: err})
	}
	return *view.Config, nil
}

// Edit applies an edit to the newest rules and returns the version that it is in force with. An edit that
// changes nothing makes no version. Each try has a change id of its own, derived from the operator's, so that
// a resent change repeats the tries and gets their outcomes.
//
// An error of edit is returned as it is. Any other error carries the verdict of the change, and IsConflict tells
// whether other changes came first each time.
func Edit(ctx context.Context, control Control, change Change, edit func(vwstate.Config) (Revision, error)) (vwid.ConfigVersion, error) {
	for try := range maxEdits {
		config, err := Read(ctx, control)
		if err != nil {
			return 0, err
		}
		revision, err := edit(config)
		if err != nil {
			return 0, err
		}
		if bytes.Equal(revision.Text, config.Text) && bytes.Equal(revision.Source, config.Source) {
			return config.Version, nil
		}
		outcome, err := Propose(ctx, control, vwstate.Command{ChangeRules: &vwstate.ChangeRules{
			ChangeID: change.ID + vwid.ChangeID(fmt.Sprintf("/%d", try)),
			Base:     config.Version, Text: revision.Text, By: change.By, Source: revision.Source,
		}})
		if err != nil {
			return 0, err
		}
		if outcome.Refusal == vwstate.RefusalNone {
			return outcome.Version, nil
		}
	}
	return 0, vwverdict.Wrap(vwverdict.NotRun, trace.CompareFailed("other changes came first %d times", maxEdits))
}

// IsConflict reports whether an edit failed because other changes came first each time.
func IsConflict(err error) bool {
	return trace.IsCompareFailed(err)
}

// Propose proposes a command until control answers or ctx ends. When the leader is lost it is unknown
// whether the command got into the log, so it is sent again. That is right only for commands to
// which control gives their first outcome again: all but TakeOver.
func Propose(ctx context.Context, control Control, command vwstate.Command) (vwstate.Outcome, error) {
	for {
		outcome, err := control.Propose(ctx, command)
		if err == nil || ctx.Err() != nil || vwverdict.IsNotRun(err) {
			return outcome, err
		}
		if vwgroup.Sleep(ctx, proposeAgainInterval) != nil {
			return outcome, err
		}
	}
}
