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
)

// sendingConn is a link to an agent that keeps the kinds of the messages sent over it.
type sendingConn struct {
	agentConn
	kinds []vwmessage.Kind
}

func (c *sendingConn) Send(_ context.Context, envelope vwmessage.Envelope) error {
	c.kinds = append(c.kinds, envelope.Kind)
	return nil
}

// An entry must show an agent that it has opened a link, also if it has no work for it: the agent stops the runs of an entry that
// does not.
func TestEntryShowsThatItHasOpenedALink(t *testing.T) {
	e := Make(DefaultSettings(), "e", vwcontroltest.Make(time.Millisecond).Client(), nil, slog.New(slog.DiscardHandler))
	defer e.Kill()
	conn := &sendingConn{agentConn: agentConn{1}}
	e.bestEffort.open(time.Now(), vwlink.MakeSession(conn, e), &vwmessage.Resume{})
	require.Equal(t, []vwmessage.Kind{vwmessage.KindWant}, conn.kinds)
}
