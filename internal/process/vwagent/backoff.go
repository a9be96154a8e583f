package vwagent

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is short, because most links end by the restart of an entry or the loss of connection state.
	minBackoff = 50 * time.Millisecond
	// maxBackoff bounds how long a restarted entry waits for its agents.
	maxBackoff = 500 * time.Millisecond
)

// backoff computes the waits between dials: exponential, with jitter, so that agents that lost the same entry
// do not all dial it at the same moment.
type backoff struct{ next time.Duration }

func (b *backoff) reset() {
	b.next = 0
}

func (b *backoff) wait() time.Duration {
	b.next = min(max(2*b.next, minBackoff), maxBackoff)
	return b.next/2 + rand.N(b.next/2+1)
}
