package vwentry

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// proposeAgainInterval is short against an election, so that a command goes on soon after it.
const proposeAgainInterval = 50 * time.Millisecond

// propose proposes a command until control answers or ctx ends. When the leader is lost it is unknown
// whether the command got into the log, so it is sent again. That is right only for commands to
// which control gives their first outcome again: all but TakeOver.
func (e *Entry) propose(ctx context.Context, command vwstate.Command) (vwstate.Outcome, error) {
	for {
		outcome, err := e.control.Propose(ctx, command)
		if err == nil || ctx.Err() != nil || vwverdict.IsNotRun(err) {
			return outcome, err
		}
		if vwgroup.Sleep(ctx, proposeAgainInterval) != nil {
			return outcome, err
		}
	}
}
