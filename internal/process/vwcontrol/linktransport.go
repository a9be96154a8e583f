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
	// dialTimeout is short, since the log repeats what was lost.
	dialTimeout = 500 * time.Millisecond
	// sendQueue bounds the packets that wait for a link to one member.
	sendQueue = 64
)

// LinkTransport is the Transport over the links of vwlink.
type LinkTransport struct {
	pool   *vwlink.Pool
	group  *vwgroup.Group
	handle atomic.Pointer[func([]byte)]

	mu     sync.Mutex
	queues map[string]chan []byte
}

// MakeLinkTransport returns a transport that dials through pool until ctx ends. What comes in must
// reach it through HandleReplication.
func MakeLinkTransport(ctx context.Context, pool *vwlink.Pool) *LinkTransport {
	return &LinkTransport{pool: pool, group: vwgroup.Make(ctx), queues: map[string]chan []byte{}}
}

// Receive implements Transport.
func (t *LinkTransport) Receive(handle func(data []byte)) {
	t.handle.Store(&handle)
}

// HandleReplication hands over a message that came in on any link.
func (t *LinkTransport) HandleReplication(message *vwmessage.Replication) {
	if handle := t.handle.Load(); handle != nil {
		(*handle)(message.Message)
	}
}

// Send implements Transport. Packets for a member that cannot be reached are dropped.
func (t *LinkTransport) Send(to vwraft.Voter, data []byte) {
	select {
	case t.queue(to.Address) <- data:
	default:
	}
}

// queue returns the queue of an address, and starts its sender on the first use.
func (t *LinkTransport) queue(address string) chan []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[address]
	if !ok {
		queue = make(chan []byte, sendQueue)
		t.queues[address] = queue
		t.group.Run(func(ctx context.Context) { t.run(ctx, address, queue) })
	}
	return queue
}

func (t *LinkTransport) run(ctx context.Context, address string, queue chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-queue:
			t.transmit(ctx, address, data)
		}
	}
}

func (t *LinkTransport) transmit(ctx context.Context, address string, data []byte) {
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := t.pool.Get(dialling, address)
	if err != nil {
		return
	}
	// A lost packet is repeated by the log, so there is nobody to tell.
	_ = session.Send(ctx, &vwmessage.Replication{Message: data})
}

// Close ends the senders.
func (t *LinkTransport) Close() error {
	return t.group.Stop()
}
