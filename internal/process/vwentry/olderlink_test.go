package vwentry

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

// agentConn is a link to an agent on which nothing arrives.
type agentConn struct{ number uint64 }

func (agentConn) Peer() vwlink.Peer { return vwlink.Peer{Process: "agent", Incarnation: "i"} }

func (agentConn) Send(context.Context, vwmessage.Envelope) error { return nil }

func (agentConn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
	<-ctx.Done()
	return vwmessage.Envelope{}, ctx.Err()
}

func (agentConn) Close() error { return nil }

func (c agentConn) Number() uint64 { return c.number }

// A link whose first message comes after that of a newer link must not take its place: the entry would send tasks over a link
// that the agent has given up, and ignore what arrives over the other one.
func TestOlderLinkDoesNotReplaceANewerOne(t *testing.T) {
	cases := map[string]struct {
		open    func(e *Entry, session *vwlink.Session)
		current func(e *Entry) *vwlink.Session
	}{
		"best-effort jobs": {
			func(e *Entry, session *vwlink.Session) { e.bestEffort.open(time.Now(), session, &vwmessage.Resume{}) },
			func(e *Entry) *vwlink.Session { return e.bestEffort.sessions["i"] },
		},
		"durable jobs": {
			func(e *Entry, session *vwlink.Session) {
				e.openLink(session, vwstate.Registration{Incarnation: "i", Process: "agent"})
			},
			func(e *Entry) *vwlink.Session { return e.agents["i"].session },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := Make(DefaultSettings(), "e", vwcontroltest.Make(time.Millisecond).Client(), nil, slog.New(slog.DiscardHandler))
			older, newer := vwlink.MakeSession(agentConn{1}, e), vwlink.MakeSession(agentConn{2}, e)
			c.open(e, newer)
			c.open(e, older)
			require.Same(t, newer, c.current(e))
			require.True(t, older.Ended(), "the agent must learn that the link is of no use")
			require.False(t, newer.Ended())
			require.Equal(t, int64(1), e.counters.Stray.Load())
			e.closeLink(newer, nil)
			again := vwlink.MakeSession(agentConn{1}, e)
			c.open(e, again)
			require.NotSame(t, again, c.current(e), "nor after the end of the newer one")
			newest := vwlink.MakeSession(agentConn{3}, e)
			c.open(e, newest)
			require.Same(t, newest, c.current(e))
			e.Kill()
		})
	}
}
