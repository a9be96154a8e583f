// Package vwlinktest is an in-memory network of links for tests. It adds delay, refuses dials, and
// makes links go silent without closing them, by direction.
package vwlinktest

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// Fault is what happens to messages in one direction.
type Fault struct {
	// Delay is added to each message. Messages of one link keep their order.
	Delay time.Duration
	// Silent drops messages and refuses dials; open links stay open.
	Silent bool
}

// direction names a pair of processes by their link addresses.
type direction struct{ from, to string }

// Network connects endpoints by address.
type Network struct {
	group *vwgroup.Group

	mu        sync.Mutex
	endpoints map[string]*Endpoint
	faults    map[direction]Fault
	// isolated holds addresses and not pairs, because a process may restart while another is isolated.
	isolated map[string]bool
	standard Fault
	// rates are the bytes a second that an address receives over all its links, and busyUntil is when it will have received
	// what was sent to it so far.
	rates     map[string]int
	busyUntil map[string]time.Time
	timing    vwlink.Timing
	silenced  map[*pipe]bool
	pipes     map[*pipe]bool
}

// MakeNetwork returns a network on which each message takes delay.
func MakeNetwork(delay time.Duration) *Network {
	return &Network{
		group:     vwgroup.Make(context.Background()),
		endpoints: map[string]*Endpoint{},
		faults:    map[direction]Fault{},
		isolated:  map[string]bool{},
		standard:  Fault{Delay: delay},
		rates:     map[string]int{},
		busyUntil: map[string]time.Time{},
		timing:    vwlink.DefaultTiming,
		silenced:  map[*pipe]bool{},
		pipes:     map[*pipe]bool{},
	}
}

// Close ends all links.
func (n *Network) Close() error {
	n.mu.Lock()
	for p := range n.pipes {
		p.close()
	}
	n.mu.Unlock()
	return n.group.Stop()
}

// SetTiming gives all links that are opened from now on a timing.
func (n *Network) SetTiming(timing vwlink.Timing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timing = timing
}

// SetFault sets what happens to messages from one address to another.
func (n *Network) SetFault(from, to string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[direction{from, to}] = fault
}

// SetRate bounds the bytes a second that an address receives over all its links together, in the order in which they were
// sent.
func (n *Network) SetRate(address string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[address] = rate
}

// arrival returns when a message arrives that is sent now.
func (n *Network) arrival(p *pipe, envelope *vwmessage.Envelope) time.Time {
	delay := n.fault(p).Delay
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	rate := n.rates[p.to]
	if rate == 0 {
		return now.Add(delay)
	}
	received := now
	if busy := n.busyUntil[p.to]; busy.After(now) {
		received = busy
	}
	received = received.Add(time.Duration(envelope.Msgsize()) * time.Second / time.Duration(rate))
	n.busyUntil[p.to] = received
	return received.Add(delay)
}

// Isolate makes an address silent in both directions, or reachable again.
func (n *Network) Isolate(address string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = silent
}

// SilenceOpen makes all open links between two addresses silent for good, while new ones work.
func (n *Network) SilenceOpen(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pipes {
		if (p.from == a && p.to == b) || (p.from == b && p.to == a) {
			n.silenced[p] = true
		}
	}
}

// Reset closes all open links between two addresses; new ones work.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pipes {
		if (p.from == a && p.to == b) || (p.from == b && p.to == a) {
			p.close()
			delete(n.pipes, p)
		}
	}
}

// Kill closes an endpoint and all its links, as the death of its process does.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.endpoints, address)
	for p := range n.pipes {
		if p.from == address || p.to == address {
			p.close()
			delete(n.pipes, p)
		}
	}
}

func (n *Network) fault(p *pipe) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.faultBetween(p.from, p.to)
	fault.Silent = fault.Silent || n.silenced[p]
	return fault
}

func (n *Network) faultBetween(from, to string) Fault {
	fault, ok := n.faults[direction{from, to}]
	if !ok {
		fault = n.standard
	}
	fault.Silent = fault.Silent || n.isolated[from] || n.isolated[to]
	return fault
}

// Endpoint dials and accepts links of one process.
type Endpoint struct {
	network *Network
	address string
	hello   vwmessage.Hello
	accepts chan vwlink.Conn
	done    chan struct{}
	once    sync.Once
}

// MakeEndpoint adds a process of the current revision to the network. An address may be used again after Kill.
func (n *Network) MakeEndpoint(address string, hello vwmessage.Hello) *Endpoint {
	hello.Revision = vwmessage.CurrentRevision
	e := &Endpoint{network: n, address: address, hello: hello, accepts: make(chan vwlink.Conn, 64), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = e
	return e
}

// Address implements vwlink.Listener.
func (e *Endpoint) Address() string {
	return e.address
}

// Close implements vwlink.Listener.
func (e *Endpoint) Close() error {
	e.once.Do(func() { close(e.done) })
	e.network.Kill(e.address)
	return nil
}

// Accept implements vwlink.Listener.
func (e *Endpoint) Accept(ctx context.Context) (vwlink.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.done:
		return nil, vwlink.ErrClosed
	case conn := <-e.accepts:
		return conn, nil
	}
}

// Dial implements vwlink.Dialer.
func (e *Endpoint) Dial(ctx context.Context, address string) (vwlink.Conn, error) {
	n := e.network
	n.mu.Lock()
	target, ok := n.endpoints[address]
	there, back := n.faultBetween(e.address, address), n.faultBetween(address, e.address)
	n.mu.Unlock()
	if !ok {
		return nil, trace.ConnectionProblem(nil, "nothing listens at %s", address)
	}
	if there.Silent || back.Silent {
		<-ctx.Done()
		return nil, trace.ConnectionProblem(ctx.Err(), "dialling %s", address)
	}
	if err := vwgroup.Sleep(ctx, there.Delay+back.Delay); err != nil {
		return nil, err
	}
	accepted, err := vwlink.CheckHello(target.hello, e.hello)
	if err != nil {
		return nil, err
	}
	dialled, err := vwlink.CheckHello(e.hello, target.hello)
	if err != nil {
		return nil, err
	}
	forth, reverse := n.makePipe(e.address, address), n.makePipe(address, e.address)
	select {
	case target.accepts <- makeConn(accepted, forth, reverse, false):
	case <-target.done:
		return nil, trace.ConnectionProblem(nil, "%s is closing", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return makeConn(dialled, reverse, forth, true), nil
}

type delivery struct {
	at       time.Time
	envelope vwmessage.Envelope
}

// pipe is one direction of one link.
type pipe struct {
	network  *Network
	from, to string
	queue    chan delivery
	out      chan vwmessage.Envelope
	done     chan struct{}
	once     sync.Once
}

// pipeCapacity is far above what a test queues, so that Send does not wait.
const pipeCapacity = 1 << 14

func (n *Network) makePipe(from, to string) *pipe {
	p := &pipe{
		network: n, from: from, to: to,
		queue: make(chan delivery, pipeCapacity),
		out:   make(chan vwmessage.Envelope),
		done:  make(chan struct{}),
	}
	n.mu.Lock()
	n.pipes[p] = true
	n.mu.Unlock()
	n.group.Run(p.deliver)
	return p
}

func (p *pipe) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.done:
			return
		case next := <-p.queue:
			if err := vwgroup.Sleep(ctx, time.Until(next.at)); err != nil {
				return
			}
			if p.network.fault(p).Silent {
				continue
			}
			select {
			case p.out <- next.envelope:
			case <-p.done:
				return
			case <-ctx.Done():
				return
			}
		}
	}
}

func (p *pipe) close() {
	p.once.Do(func() { close(p.done) })
}

type conn struct {
	peer    vwlink.Peer
	in, out *pipe
	dialled bool
	done    chan struct{}
	once    sync.Once
}

func makeConn(peer vwlink.Peer, in, out *pipe, dialled bool) *conn {
	return &conn{peer: peer, in: in, out: out, dialled: dialled, done: make(chan struct{})}
}

// IsDialled implements vwlink.Dialled.
func (c *conn) IsDialled() bool {
	return c.dialled
}

// Peer implements vwlink.Conn.
func (c *conn) Peer() vwlink.Peer {
	return c.peer
}

// Timing implements vwlink.Timed.
func (c *conn) Timing() vwlink.Timing {
	c.out.network.mu.Lock()
	defer c.out.network.mu.Unlock()
	return c.out.network.timing
}

// Send implements vwlink.Conn.
func (c *conn) Send(_ context.Context, envelope vwmessage.Envelope) error {
	select {
	case <-c.done:
		return vwlink.ErrClosed
	case <-c.out.done:
		return vwlink.ErrClosed
	default:
	}
	select {
	case c.out.queue <- delivery{at: c.out.network.arrival(c.out, &envelope), envelope: envelope}:
		return nil
	default:
		return trace.LimitExceeded("%d messages are queued", pipeCapacity)
	}
}

// Receive implements vwlink.Conn.
func (c *conn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
	select {
	case <-ctx.Done():
		return vwmessage.Envelope{}, ctx.Err()
	case <-c.done:
		return vwmessage.Envelope{}, vwlink.ErrClosed
	case <-c.in.done:
		return vwmessage.Envelope{}, vwlink.ErrClosed
	case envelope := <-c.in.out:
		return envelope, nil
	}
}

// Close implements vwlink.Conn. The peer learns of it unless the link is silent.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	if !c.out.network.fault(c.out).Silent {
		c.in.close()
		c.out.close()
	}
	return nil
}
