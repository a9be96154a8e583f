package vwcontrol

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// retryInterval is much shorter than an election, so that requests continue soon after a new leader is elected.
const retryInterval = 50 * time.Millisecond

// Retry returns a Caller that repeats a request while its errors have the verdict NotRun and ctx has not ended, so that
// requests wait for a new leader. It does not repeat after ErrStopped. ctx should have a deadline.
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
