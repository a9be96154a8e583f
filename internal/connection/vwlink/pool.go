package vwlink

import (
	"context"
	"sync"

	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// EndHandler hears of the end of a session.
type EndHandler interface {
	HandleEnd(session *Session, cause error)
}

// Serve accepts links and runs a session over each until ctx ends.
func Serve(ctx context.Context, listener Listener, handler Handler) error {
	group := vwgroup.Make(ctx)
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			_ = group.Stop()
			return err
		}
		session := MakeSession(conn, handler)
		group.Run(func(ctx context.Context) { runSession(ctx, session, handler) })
	}
}

func runSession(ctx context.Context, session *Session, handler Handler) {
	err := session.Run(ctx)
	if listener, ok := handler.(EndHandler); ok {
		listener.HandleEnd(session, err)
	}
}

// Pool keeps one session to each address that it was asked for, and dials a new one after the old
// one ended.
type Pool struct {
	dialer  Dialer
	handler Handler
	group   *vwgroup.Group

	mu    sync.Mutex
	slots map[string]*poolSlot
}

// poolSlot holds the session to one address. The turn is a lock that a caller can stop waiting for,
// because it is held during a dial.
type poolSlot struct {
	turn    chan struct{}
	session *Session
}

// MakePool returns a pool whose sessions deliver messages to handler and end with ctx.
func MakePool(ctx context.Context, dialer Dialer, handler Handler) *Pool {
	return &Pool{dialer: dialer, handler: handler, group: vwgroup.Make(ctx), slots: map[string]*poolSlot{}}
}

// Get returns a live session to address. An error has verdict NotRun.
func (p *Pool) Get(ctx context.Context, address string) (*Session, error) {
	slot := p.slot(address)
	select {
	case slot.turn <- struct{}{}:
		defer func() { <-slot.turn }()
	case <-ctx.Done():
		return nil, vwverdict.Wrap(vwverdict.NotRun, ctx.Err())
	}
	if slot.session != nil && !slot.session.Ended() {
		return slot.session, nil
	}
	conn, err := p.dialer.Dial(ctx, address)
	if err != nil {
		return nil, vwverdict.Wrap(vwverdict.NotRun, err)
	}
	session := MakeSession(conn, p.handler)
	if !p.group.Run(func(ctx context.Context) { runSession(ctx, session, p.handler) }) {
		_ = conn.Close()
		return nil, vwverdict.Wrap(vwverdict.NotRun, ErrClosed)
	}
	slot.session = session
	return session, nil
}

func (p *Pool) slot(address string) *poolSlot {
	p.mu.Lock()
	defer p.mu.Unlock()
	slot, ok := p.slots[address]
	if !ok {
		slot = &poolSlot{turn: make(chan struct{}, 1)}
		p.slots[address] = slot
	}
	return slot
}

// Close ends all sessions.
func (p *Pool) Close() error {
	return p.group.Stop()
}

// Ended reports whether the session has ended.
func (s *Session) Ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
