// Package vwcontrol is a control member: one goroutine owns the replicated log (vwraft), its data
// directory (vwstore) and the state machine (vwstate). It lends the directory to a writer for each sync,
// so that it can go on with answers and renewals. Requests reach it in process, from another
// member that forwards them, or over a link.
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

// transferTimeout bounds how long a planned stop waits for another member to take the leadership.
const transferTimeout = time.Second

// Answer gives the reply to one request. It is called once, possibly from the member's own goroutine,
// and must not block.
type Answer func(reply vwmessage.Body, err error)

// request is something for the loop to do. A request without a body is only run.
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

// Status describes a member.
type Status struct {
	Self    vwraft.Voter
	Log     vwraft.Status
	Applied vwraft.Index
	Config  vwid.ConfigVersion
}

// Start opens the data directory and runs a member until Stop or a failure of the disk.
func Start(ctx context.Context, settings Settings, files vwstore.FileSystem, transport Transport) (*Member, error) {
	if err := settings.check(); err != nil {
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
	m.publish()
	transport.Receive(m.receive)
	m.group.Run(c.writer.run)
	m.group.Go(m.run)
	return m, nil
}

// receive queues a packet of another member. One that finds no room is dropped, as on the network.
func (m *Member) receive(data []byte) {
	select {
	case m.packets <- data:
	default:
	}
}

// Serve answers a Propose, Read or LeaseRequest message. It does not block.
func (m *Member) Serve(body vwmessage.Body, answer Answer) {
	if err := m.post(request{body: body, answer: answer}); err != nil {
		answer(nil, err)
	}
}

func (m *Member) post(r request) error {
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

// Status returns the status after the last event.
func (m *Member) Status() Status {
	return *m.status.Load()
}

// Watch calls notify with every new configuration version that this member applies. It must not block.
func (m *Member) Watch(notify func(vwid.ConfigVersion)) error {
	return m.post(request{run: func() { m.core.watchers = append(m.core.watchers, notify) }})
}

// SetInitial replaces the addresses through which the member finds a cluster that does not know it.
func (m *Member) SetInitial(addresses []string) error {
	return m.post(request{run: func() { m.core.settings.Initial = addresses }})
}

// Wait waits for the end of the member, and returns the failure that ended it.
func (m *Member) Wait() error {
	return m.group.Wait()
}

// Stop ends the member. A leader first hands its leadership over, so that no election is needed.
func (m *Member) Stop() error {
	handed := make(chan struct{})
	if err := m.post(request{run: func() { m.core.handOver(handed) }}); err == nil {
		select {
		case <-handed:
		case <-m.group.Context().Done():
		case <-time.After(transferTimeout):
		}
	}
	return m.group.Stop()
}

// Kill ends the member at once, as a crash does.
func (m *Member) Kill() error {
	return m.group.Stop()
}

// run is the goroutine that owns core.
func (m *Member) run(ctx context.Context) error {
	ticker := time.NewTicker(m.core.settings.Tick)
	defer ticker.Stop()
	for {
		if err := m.handleNext(ctx, ticker.C); err != nil || ctx.Err() != nil {
			return m.end(err)
		}
		m.drain()
		if err := m.core.settle(); err != nil {
			return m.end(err)
		}
		m.publish()
	}
}

// handleNext waits for one event. Behind a stuck disk it waits for nothing but the end of the sync, so
// that the others elect a leader that can commit.
func (m *Member) handleNext(ctx context.Context, ticks <-chan time.Time) error {
	packets, requests := m.packets, m.requests
	if m.core.writer.stuck(time.Now()) {
		ticks, packets, requests = nil, nil, nil
	}
	select {
	case <-ctx.Done():
	case <-ticks:
	case err := <-m.core.writer.done:
		return m.core.finishSync(err)
	case data := <-packets:
		m.core.handlePacket(data)
	case r := <-requests:
		m.handle(r)
	}
	return nil
}

// drain handles what has arrived in the meantime, so that one sync covers all of it.
func (m *Member) drain() {
	for range cap(m.requests) {
		select {
		case data := <-m.packets:
			m.core.handlePacket(data)
		case r := <-m.requests:
			m.handle(r)
		default:
			return
		}
	}
}

func (m *Member) handle(r request) {
	if r.run != nil {
		r.run()
		return
	}
	m.core.serve(r.body, r.answer, true)
}

func (m *Member) publish() {
	status := m.core.status()
	m.status.Store(&status)
}

// end refuses further requests and answers the waiting ones.
func (m *Member) end(cause error) error {
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
