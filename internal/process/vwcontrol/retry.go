package vwcontrol

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// retryInterval is short against an election, so that a request goes on soon after a new leader exists.
const retryInterval = 50 * time.Millisecond

// Retry returns a Caller that repeats a request as long as its errors have the verdict NotRun and
// ctx, which should have a deadline, has not ended. So requests wait for a new leader.
func Retry(caller Caller) Caller {
	return &retrier{caller: caller}
}

type retrier struct{ caller Caller }

// Call implements Caller.
func (r *retrier) Call(ctx context.Context, request vwmessage.Body) (vwmessage.Body, error) {
	for {
		reply, err := r.caller.Call(ctx, request)
		if !vwverdict.IsNotRun(err) || IsStopped(err) || vwgroup.Sleep(ctx, retryInterval) != nil {
			return reply, err
		}
	}
}
