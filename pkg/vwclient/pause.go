package vwclient

import (
	"context"
	"math/rand/v2"
	"time"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// pauses are the growing pauses between the attempts of one call.
type pauses struct {
	next time.Duration
	max  time.Duration
}

// wait sleeps before the next attempt, for a random part of the pause that is due but at least as long
// as the entry asked. It reports false at once when ctx ends before that.
func (p *pauses) wait(ctx context.Context, asked time.Duration) bool {
	pause := p.next/2 + rand.N(p.next/2+1)
	p.next = min(2*p.next, p.max)
	if asked > 0 {
		// Without the random part all refused callers would come back at the same moment.
		pause = max(pause, asked+rand.N(asked/4+1))
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) <= pause {
		return false
	}
	return vwgroup.Sleep(ctx, pause) == nil
}
