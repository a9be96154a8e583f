package vwintake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

const (
	// connectionBytes is what an open connection takes: its buffers, the stack of its goroutine and its records, and what it has sent
	// and the process has not read. What it has not read of its answers comes to that.
	connectionBytes = 16*vwunit.KiB + receiveBytes
	// answerBytes is what a connection may leave unread of its answers unless its port says more.
	answerBytes = 4 * vwunit.KiB
	// connectionShare is the part of the memory of a process that connections may take.
	connectionShare = 1.0 / 4
	// freeHeadBytes is the part of a head that connectionBytes covers.
	freeHeadBytes = 4 << 10
	// freeHeadFields is the number of fields of a head that connectionBytes covers, and fieldBytes what each further one is counted as:
	// a decoded field takes about 100 bytes beside its text.
	freeHeadFields = 32
	fieldBytes     = 128
	// headWeight is how often the bytes of a head are held, as they came and as fields.
	headWeight = 2
	// writeTimeout bounds how long writeBytes of a response may take, so that a caller that does not read holds nothing for long.
	writeTimeout = 10 * time.Second
	writeBytes   = 16 << 10
	// slotPollInterval is the period at which a full listener looks for a connection that it may close.
	slotPollInterval = 20 * time.Millisecond
	// transferShare is the part of the connections that bodies which arrive, and answers which are read, for longer than the stall
	// time may keep from new connections.
	transferShare = 3.0 / 4
	// fastRate is the rate, in bytes a second, from which on a body or an answer keeps its connection for fastTime. A configuration of
	// the largest size passes a link of 2 Mbit/s in little more than that.
	fastRate = 32 << 10
	fastTime = 10 * time.Second
)

// Port are the limits of the connections to a port. Fields that are zero have defaults.
type Port struct {
	// Connections is the number of open connections, which the share of the memory may lower.
	Connections int
	// MemoryPart is the part of the memory for connections that those of this port may take; zero means all of it.
	MemoryPart float64
	// AnswerBytes is what a connection may leave unread of its answers before no further ones are written to it.
	AnswerBytes vwunit.Bytes
}

// limit returns the number of connections that a port may have within so much memory.
func (p *Port) limit(memory vwunit.Bytes) int {
	share := max(int(float64(memory)*p.MemoryPart/float64(connectionBytes+p.AnswerBytes)), minConnections)
	if p.Connections <= 0 {
		return share
	}
	return min(p.Connections, share)
}

// Listener limits the open connections of a server. When all are taken, one that has waited for a request for longest makes room for
// a new one, or else the slowest of those whose bodies arrive or whose answers are read.
type Listener struct {
	net.Listener
	budget *Budget
	port   Port
	// slots holds an element for each open connection.
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once

	mu sync.Mutex
	// waiting holds the connections that wait for a request, by the time since when.
	waiting order[*Conn]
	// transfers holds the connections whose bodies arrive or whose answers are read, by the time since when.
	transfers order[*Conn]
}

// Limit returns a listener that keeps the limits of a port.
func (b *Budget) Limit(listener net.Listener, port Port) *Listener {
	if port.MemoryPart <= 0 {
		port.MemoryPart = 1
	}
	port.AnswerBytes = max(port.AnswerBytes, answerBytes)
	return &Listener{
		Listener: listener, budget: b, port: port, slots: make(chan struct{}, port.limit(b.ledger.settings.Sockets)), closed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.takeSlot(); err != nil {
		return nil, err
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	c := &Conn{Conn: conn, listener: l}
	c.wait()
	return c, nil
}

// takeSlot waits until there is room for a connection.
func (l *Listener) takeSlot() error {
	for {
		if victim, reason := l.takeVictim(time.Now()); victim != nil {
			if reason == Slow {
				victim.abort()
			} else {
				_ = victim.Close()
			}
			l.budget.count(reason)
		}
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.closed:
			return net.ErrClosed
		default:
		}
		select {
		case l.slots <- struct{}{}:
			return nil
		case <-l.closed:
			return net.ErrClosed
		case <-time.After(slotPollInterval):
		}
	}
}

// takeVictim takes a connection that makes room for a new one off its lists, if there has to be one. No request whose end comes from
// then on is served over it.
func (l *Listener) takeVictim(now time.Time) (victim *Conn, reason Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := len(l.slots) == cap(l.slots)
	if full {
		victim, reason = l.oldestWaiting(now), Connections
	}
	if victim == nil && (full || float64(l.transfers.size) > transferShare*float64(cap(l.slots))) {
		victim, reason = l.slowestTransfer(now), Slow
	}
	if victim != nil {
		victim.unlist()
	}
	return victim, reason
}

// oldestWaiting returns the connection that has waited for a request for longest, if that is at least the stall time.
func (l *Listener) oldestWaiting(now time.Time) *Conn {
	oldest := l.waiting.oldest
	if oldest == nil || now.Sub(oldest.element.since) < l.budget.ledger.settings.StallTime {
		return nil
	}
	return oldest.element
}

// slowestTransfer returns the connection with the lowest rate, of the slow ones among those that have taken longest.
func (l *Listener) slowestTransfer(now time.Time) (slowest *Conn) {
	slowestRate := 0.0
	next := l.transfers.oldest
	for range maxVictims {
		if next == nil {
			break
		}
		if rate, slow := next.element.rate(now); slow && (slowest == nil || rate < slowestRate) {
			slowest, slowestRate = next.element, rate
		}
		next = next.after
	}
	return slowest
}

// EndSlow closes the connections whose bodies arrive, or whose answers are read, so slowly that they could lose their place.
func (l *Listener) EndSlow() {
	for _, conn := range l.takeSlow(time.Now()) {
		conn.abort()
		l.budget.count(Slow)
	}
}

// takeSlow takes these connections off the lists.
func (l *Listener) takeSlow(now time.Time) (taken []*Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for next := l.transfers.oldest; next != nil; {
		conn := next.element
		next = next.after
		if _, slow := conn.rate(now); slow {
			conn.unlist()
			taken = append(taken, conn)
		}
	}
	return taken
}

// Close implements net.Listener. The connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	// head counts the bytes of the current head, and fields its lines. Only the reader of the connection uses them.
	head, fields int
	// holding is what the head takes beyond freeHeadBytes.
	holding *Holding

	// since is the time since when the connection has waited for a request, and waiting its place among those that do.
	// The mutex of the listener guards them.
	since   time.Time
	waiting place[*Conn]
	// transfers is the number of bodies that arrive and answers that are written, begun the time since when there is one, and transfer
	// the place among the connections that have one. The mutex of the listener guards them.
	transfers int
	begun     time.Time
	transfer  place[*Conn]
	// ending is set once the connection has lost its place or is closed. The mutex of the listener guards it.
	ending bool
	// moved is the number of bytes that were read and written since begun.
	moved atomic.Int64
	// unread is what the peer may not have read of what was written. Only the writer of the connection uses it.
	unread int
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, trace.NotImplemented("the connection has no descriptor")
	}
	return conn.SyscallConn()
}

// CloseWrite lets a server that closes the connection send all that it has written.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetState is the ConnState of servers of a Listener.
func SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.listener.budget.Release(c.holding)
		c.holding, c.head, c.fields = nil, 0, 0
		c.wait()
	case http.StateActive:
		// The whole head has come.
		c.head = -1
		if c.unlink() || c.holding != nil && c.listener.budget.finish(c.holding) {
			// The connection has made room for another, so its request has no effect. The server recovers from this.
			panic(http.ErrAbortHandler)
		}
	case http.StateClosed, http.StateHijacked:
		c.listener.budget.Release(c.holding)
	}
}

// Read implements net.Conn. A head beyond a few KB or fields is taken from the budget; without room the connection ends.
func (c *Conn) Read(text []byte) (int, error) {
	n, err := c.Conn.Read(text)
	c.moved.Add(int64(n))
	if c.head < 0 {
		return n, err
	}
	c.head += n
	c.fields += countFields(text[:n])
	if n == 0 || c.head <= freeHeadBytes && c.fields <= freeHeadFields {
		return n, err
	}
	if roomErr := c.takeHead(); roomErr != nil {
		_, _ = io.WriteString(c, headRefusal)
		// The server closes the connection without a response of its own after an error of this type.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: roomErr}
	}
	return n, err
}

// countFields returns the number of lines of a part of a head. What follows the head in the same part does not count.
func countFields(text []byte) int {
	if end := bytes.Index(text, []byte("\r\n\r\n")); end >= 0 {
		text = text[:end]
	}
	return bytes.Count(text, []byte("\n"))
}

// headRefusal is the response to a head that finds no room. No handler has seen its request.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func (c *Conn) takeHead() error {
	budget, size := c.listener.budget, vwunit.Bytes(headWeight*c.head+fieldBytes*c.fields)
	if c.holding != nil {
		budget.advance(c.holding, size)
		return budget.grow(c.holding, size)
	}
	c.holding = &Holding{kind: Heads, address: addressOf(c.RemoteAddr().String()), stop: func() { _ = c.Close() }}
	return budget.begin(c.holding, size)
}

// Write implements net.Conn. Each part has to be taken in time.
func (c *Conn) Write(text []byte) (int, error) {
	c.beginTransfer()
	defer c.endTransfer()
	written := 0
	for {
		part := text[written:min(written+writeBytes, len(text))]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := c.makeRoom(len(part)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		c.moved.Add(int64(n))
		if err != nil || written >= len(text) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.end()
		<-c.listener.slots
	})
	return c.Conn.Close()
}

// rate returns how many bytes a second the connection has moved in its transfer, and whether it may lose its place: after the stall
// time, or after fastTime if it is fast. The mutex of the listener must be held.
func (c *Conn) rate(now time.Time) (rate float64, slow bool) {
	taken := now.Sub(c.begun)
	if taken < c.listener.budget.ledger.settings.StallTime {
		return 0, false
	}
	rate = float64(c.moved.Load()) / max(taken.Seconds(), 1e-9)
	return rate, rate < fastRate || taken >= fastTime
}

// abort closes the connection and drops what the peer has not read, which the operating system would keep otherwise.
func (c *Conn) abort() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Close()
}

// beginTransfer records that a body begins to arrive or an answer to be written.
func (c *Conn) beginTransfer() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.transfers++; c.transfers > 1 || c.ending {
		return
	}
	c.begun, c.transfer.element = time.Now(), c
	c.moved.Store(0)
	l.transfers.append(&c.transfer)
}

// endTransfer records its end. It reports whether the connection has lost its place.
func (c *Conn) endTransfer() (ending bool) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.transfers--; c.transfers == 0 {
		l.transfers.remove(&c.transfer)
	}
	return c.ending
}

// wait puts the connection at the end of the list of those that wait for a request.
func (c *Conn) wait() {
	l := c.listener
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiting.listed || c.ending {
		return
	}
	c.since, c.waiting.element = now, c
	l.waiting.append(&c.waiting)
}

// unlink takes the connection off the list. It reports whether the connection has lost its place.
func (c *Conn) unlink() (ending bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.waiting.remove(&c.waiting)
	return c.ending
}

// end takes the connection off the lists for good.
func (c *Conn) end() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unlist()
}

// unlist takes the connection off the lists for good. The mutex of the listener must be held.
func (c *Conn) unlist() {
	c.listener.waiting.remove(&c.waiting)
	c.listener.transfers.remove(&c.transfer)
	c.ending = true
}
