package vwlink

import (
	"sync/atomic"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// defaultQueuedBytes bounds what the links of an endpoint hold in memory for peers that read slowly.
	defaultQueuedBytes = 4 * vwmessage.MaxEnvelope
	// linkQueueShare is the part of that which one link may have, so that one peer does not keep the messages of all others out.
	linkQueueShare = 1.0 / 2
)

// queueLimit bounds the bytes that wait for their peers on all links of an endpoint.
type queueLimit struct {
	total  atomic.Int64
	queued atomic.Int64
}

func makeQueueLimit() *queueLimit {
	q := &queueLimit{}
	q.set(defaultQueuedBytes)
	return q
}

// set changes the limit. Smaller ones than the largest message are raised to it.
func (q *queueLimit) set(total vwunit.Bytes) {
	q.total.Store(max(int64(total), vwmessage.MaxEnvelope))
}

// allows reports whether a link with so many queued bytes may queue another message. One whose peer reads may always have one.
func (q *queueLimit) allows(queued int) bool {
	total := q.total.Load()
	return queued == 0 || q.queued.Load() <= total && float64(queued) <= linkQueueShare*float64(total)
}

// add adds to the queued bytes; a negative number takes from them.
func (q *queueLimit) add(bytes int) {
	q.queued.Add(int64(bytes))
}
