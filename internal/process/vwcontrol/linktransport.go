package vwcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// dialTimeout is short, because vwraft retransmits lost messages.
	dialTimeout = 500 * time.Millisecond
	// sendQueueLength bounds the packets that wait for a link to one member.
	sendQueueLength = 64
)

// LinkTransport implements Transport over the links of vwlink.
type LinkTransport struct {
	pool   *vwlink.Pool
	group  *vwgroup.Group
	handle atomic.Pointer[func([]byte)]

	mu     sync.Mutex
	queues map[string]chan []byte
}

// MakeLinkTransport returns a transport that dials through pool until ctx ends. Incoming replication messages must be
// passed to HandleReplication.
func MakeLinkTransport(ctx context.Context, pool *vwlink.Pool) *LinkTransport {
	return &LinkTransport{pool: pool, group: vwgroup.Make(ctx), queues: map[string]chan []byte{}}
}

// Receive implements Transport.
func (t *LinkTransport) Receive(handle func(data []byte)) {
	t.handle.Store(&handle)
}

// HandleReplication passes a message that arrived on any link to the function set by Receive.
func (t *LinkTransport) HandleReplication(message *vwmessage.Replication) {
	if handle := t.handle.Load(); handle != nil {
		(*handle)(message.Message)
	}
}

// Send implements Transport. It drops the packet if the queue is full or the member cannot be reached.
func (t *LinkTransport) Send(to vwraft.Voter, data []byte) {
	select {
	case t.queue(to.Address) <- data:
	default:
	}
}

// queue returns the send queue of an address, and starts its sender on first use.
func (t *LinkTransport) queue(address string) chan []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[address]
	if !ok {
		queue = make(chan []byte, sendQueueLength)
		t.queues[address] = queue
		t.group.Run(func(ctx context.Context) { t.sendLoop(ctx, address, queue) })
	}
	return queue
}

func (t *LinkTransport) sendLoop(ctx context.Context, address string, queue chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-queue:
			t.sendOverLink(ctx, address, data)
		}
	}
}

func (t *LinkTransport) sendOverLink(ctx context.Context, address string, data []byte) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := t.pool.Get(dialCtx, address)
	if err != nil {
		return
	}
	// The error is ignored, because vwraft retransmits lost messages.
	_ = session.Send(ctx, &vwmessage.Replication{Message: data})
}

// Close stops the senders.
func (t *LinkTransport) Close() error {
	return t.group.Stop()
}
