// Package vwcontrol implements a control member. One goroutine owns the replicated log (vwraft), its data directory
// (vwstore) and the state machine (vwstate). A writer goroutine has the directory during each sync, so that the member
// keeps serving requests and renewals. Requests arrive in process, forwarded by another member, or over a link.
package vwcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// stopNoticeHeartbeats is for how many heartbeats a stopping member still answers.
const stopNoticeHeartbeats = 3

// transferTimeout bounds how long Stop waits for another member to take the leadership.
const transferTimeout = time.Second

// Answer receives the reply to one request. It is called once, possibly on the member's own goroutine, and must not
// block.
type Answer func(reply vwmessage.Body, err error)

// request is queued for the member's goroutine. If run is set it is called, and body and answer are unused.
type request struct {
	body   vwmessage.Body
	answer Answer
	run    func()
}

// Member is one running control member.
type Member struct {
	group   *vwgroup.Group
	core    *core
	status  atomic.Pointer[Status]
	packets chan []byte

	mu       sync.RWMutex
	stopped  bool
	requests chan request
}

// Status is a snapshot of a member's raft status, applied index and configuration version.
type Status struct {
	Self    vwraft.Voter
	Log     vwraft.Status
	Applied vwraft.Index
	Config  vwid.ConfigVersion
	// DiskFull means that the member finds no room on its disk. It then acknowledges nothing that it cannot store.
	DiskFull bool
	// Voters is the number of voters and AnsweringVoters that of those that have answered within an election timeout, with
	// the leader. Both are zero on members that do not lead.
	Voters          int
	AnsweringVoters int
}

// Start opens the data directory and runs a member until Stop, Kill, the end of ctx or a failure of the disk.
func Start(ctx context.Context, settings Settings, files vwstore.FileSystem, transport Transport) (*Member, error) {
	if err := settings.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	m := &Member{
		group:    vwgroup.Make(ctx),
		packets:  make(chan []byte, settings.MaxWaiting),
		requests: make(chan request, settings.MaxWaiting),
	}
	c, err := makeCore(settings, files, transport)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.core = c
	m.publishStatus()
	transport.Receive(m.receive)
	m.group.Run(c.writer.run)
	m.group.Go(m.runLoop)
	return m, nil
}

// receive queues a packet from another member. It drops the packet if the queue is full, as the network may do.
func (m *Member) receive(data []byte) {
	select {
	case m.packets <- data:
	default:
	}
}

// Serve queues a Propose, Read or LeaseRequest message and calls answer with the reply. It does not block.
func (m *Member) Serve(body vwmessage.Body, answer Answer) {
	if err := m.enqueue(request{body: body, answer: answer}); err != nil {
		answer(nil, err)
	}
}

func (m *Member) enqueue(r request) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.stopped {
		return vwverdict.Wrap(vwverdict.NotRun, ErrStopped)
	}
	select {
	case m.requests <- r:
		return nil
	default:
		return vwverdict.Wrap(vwverdict.NotRun, vwraft.ErrBusy)
	}
}

// Call implements Caller in process.
func (m *Member) Call(ctx context.Context, body vwmessage.Body) (vwmessage.Body, error) {
	type result struct {
		reply vwmessage.Body
		err   error
	}
	answered := make(chan result, 1)
	m.Serve(body, func(reply vwmessage.Body, err error) { answered <- result{reply: reply, err: err} })
	select {
	case <-ctx.Done():
		return nil, vwverdict.Wrap(vwverdict.MayHaveRun, ctx.Err())
	case r := <-answered:
		return r.reply, r.err
	}
}

// Client returns the in-process client of this member.
func (m *Member) Client() Client {
	return MakeClient(Retry(m))
}

// Status returns the status after the last handled event.
func (m *Member) Status() Status {
	return *m.status.Load()
}

// Watch calls notify with every new configuration version that this member applies. notify must not block.
func (m *Member) Watch(notify func(vwid.ConfigVersion)) error {
	return m.enqueue(request{run: func() { m.core.configWatchers = append(m.core.configWatchers, notify) }})
}

// SetInitial replaces Settings.Initial, the addresses that discovery probes.
func (m *Member) SetInitial(addresses []string) error {
	return m.enqueue(request{run: func() { m.core.settings.Initial = addresses }})
}

// Wait blocks until the member has ended, and returns the error that ended it.
func (m *Member) Wait() error {
	return m.group.Wait()
}

// Stop ends the member. A leader first transfers its leadership, so that the others need not wait for an election
// timeout. If there are more voters than needed, the member answers the next heartbeats with a notice that it stops, so that
// the leader removes it at once.
func (m *Member) Stop() error {
	transferred := make(chan struct{})
	if err := m.enqueue(request{run: func() { m.core.transferLeadership(transferred) }}); err == nil {
		select {
		case <-transferred:
		case <-m.group.Context().Done():
		case <-time.After(transferTimeout):
		}
	}
	m.announceStop()
	return m.group.Stop()
}

// announceStop sends the notice that this member stops, if there are more voters than needed.
func (m *Member) announceStop() {
	announced := make(chan bool, 1)
	err := m.enqueue(request{run: func() {
		m.core.stopping = len(m.core.node.Status().Membership.Voters) > m.core.settings.neededVoters()
		announced <- m.core.stopping
	}})
	if err != nil {
		return
	}
	select {
	case stopping := <-announced:
		if !stopping {
			return
		}
	case <-m.group.Context().Done():
		return
	}
	select {
	case <-m.group.Context().Done():
	case <-time.After(stopNoticeHeartbeats * m.core.settings.HeartbeatInterval):
	}
}

// Kill ends the member at once, without a transfer of the leadership.
func (m *Member) Kill() error {
	return m.group.Stop()
}

// runLoop runs on the goroutine that owns core.
func (m *Member) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(m.core.settings.Tick)
	defer ticker.Stop()
	for {
		if err := m.handleEvent(ctx, ticker.C); err != nil || ctx.Err() != nil {
			return m.terminate(err)
		}
		m.handleQueued()
		if err := m.core.runDueWork(); err != nil {
			return m.terminate(err)
		}
		m.publishStatus()
	}
}

// handleEvent waits for one event and handles it. While a sync is stuck it waits only for its end, so that the others
// elect a leader that can commit.
func (m *Member) handleEvent(ctx context.Context, ticks <-chan time.Time) error {
	packets, requests := m.packets, m.requests
	if m.core.writer.stuck(time.Now()) && !m.core.outage.active {
		ticks, packets, requests = nil, nil, nil
	}
	select {
	case <-ctx.Done():
	case <-ticks:
	case err := <-m.core.writer.results:
		return m.core.finishSync(err)
	case err := <-m.core.writer.full:
		m.core.beginOutage(err)
	case data := <-packets:
		m.core.handlePacket(data)
	case r := <-requests:
		m.handleRequest(r)
	}
	return nil
}

// handleQueued handles the packets and requests that are already queued, so that one sync covers all of them.
func (m *Member) handleQueued() {
	for range cap(m.requests) {
		select {
		case data := <-m.packets:
			m.core.handlePacket(data)
		case r := <-m.requests:
			m.handleRequest(r)
		default:
			return
		}
	}
}

func (m *Member) handleRequest(r request) {
	if r.run != nil {
		r.run()
		return
	}
	m.core.serve(r.body, r.answer, true)
}

func (m *Member) publishStatus() {
	status := m.core.status()
	m.status.Store(&status)
}

// terminate rejects further requests, fails the waiting ones with ErrStopped and closes the core.
func (m *Member) terminate(cause error) error {
	if cause != nil {
		m.core.settings.Logger.Error("control member stops", "error", cause)
	}
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	for {
		select {
		case r := <-m.requests:
			if r.answer != nil {
				r.answer(nil, vwverdict.Wrap(vwverdict.NotRun, ErrStopped))
			}
			continue
		default:
		}
		break
	}
	return trace.NewAggregate(cause, m.core.close())
}
