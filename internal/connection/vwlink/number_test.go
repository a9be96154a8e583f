package vwlink

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// idleConn is a link on which nothing arrives.
type idleConn struct{ Conn }

func (idleConn) Receive(context.Context) (vwmessage.Envelope, error) {
	return vwmessage.Envelope{}, ErrClosed
}

func (idleConn) Close() error { return nil }

// listenerOf accepts links in order, and then ends.
type listenerOf struct {
	Listener
	conns []Conn
}

func (l *listenerOf) Accept(context.Context) (Conn, error) {
	if len(l.conns) == 0 {
		return nil, ErrClosed
	}
	conn := l.conns[0]
	l.conns = l.conns[1:]
	return conn, nil
}

// endRecorder records the numbers of the sessions that have ended, by their links.
type endRecorder struct {
	HandlerFunc
	ended chan *Session
}

func (r endRecorder) HandleEnd(session *Session, _ error) { r.ended <- session }

// Sessions must be numbered in the order in which their links were accepted, in whatever order their goroutines run: an entry
// takes the one with the higher number for the newer one.
func TestSessionsAreNumberedAsTheirLinksAreAccepted(t *testing.T) {
	const count = 50
	conns := make([]Conn, count)
	for i := range conns {
		conns[i] = &struct {
			idleConn
			index int
		}{index: i}
	}
	recorder := endRecorder{ended: make(chan *Session, count)}
	require.ErrorIs(t, Serve(t.Context(), &listenerOf{conns: conns}, recorder), ErrClosed)
	numbers := map[Conn]uint64{}
	for range count {
		session := <-recorder.ended
		numbers[session.conn] = session.Number()
	}
	for i := 1; i < count; i++ {
		require.Less(t, numbers[conns[i-1]], numbers[conns[i]], "link %d", i)
	}
}

// A link must be numbered before its peer learns that it is open, because the peer may open the next one at once.
func TestStreamIsNumberedWhenItIsMade(t *testing.T) {
	first := makeStreamConn(Peer{}, DefaultTiming, false, nil, nil, nil, makeQueueLimit())
	second := makeStreamConn(Peer{}, DefaultTiming, false, nil, nil, nil, makeQueueLimit())
	late := MakeSession(first, nil)
	require.Less(t, late.Number(), second.Number())
	require.Equal(t, first.Number(), late.Number())
}
