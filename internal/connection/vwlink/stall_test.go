package vwlink

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
)

// scriptedConn delivers one message after each of its delays, and then only waits.
type scriptedConn struct {
	Conn
	delays []time.Duration
}

func (c *scriptedConn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
	if len(c.delays) == 0 {
		<-ctx.Done()
		return vwmessage.Envelope{}, ctx.Err()
	}
	time.Sleep(c.delays[0])
	c.delays = c.delays[1:]
	return vwmessage.Seal(&vwmessage.ConfigAnnounce{Version: 1}, 0, false)
}

// A process that stood still must not act on messages that have waited in its buffers for longer than the silence
// time-out: their sender has given the link up and settled what it had sent. The watch of the session is not run,
// as after a stall it may come after the receiver.
func TestMessagesAfterStallAreNotHandled(t *testing.T) {
	cases := map[string]struct {
		delays []time.Duration
		// suspended is for how long the machine is suspended half a second after the session was made. The clock of the
		// process does not count it.
		suspended time.Duration
		handled   int
	}{
		"regular":                  {[]time.Duration{0, time.Second, time.Second, time.Second}, 0, 4},
		"after a stall":            {[]time.Duration{time.Second, 2 * time.Second, 0, 0}, 0, 1},
		"stalled at first":         {[]time.Duration{3 * time.Second, 0}, 0, 0},
		"after a suspension":       {[]time.Duration{0, time.Second, 0}, time.Second, 1},
		"after a short suspension": {[]time.Duration{0, time.Second, 0}, 900 * time.Millisecond, 3},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handled := 0
				var after []time.Duration
				opened := time.Now()
				s := MakeSession(&scriptedConn{delays: test.delays}, HandlerFunc(func(s *Session, _ vwmessage.Body, _ Reply) {
					handled++
					after = append(after, s.PreviousHeard().Sub(opened))
				}))
				s.heardSuspended.Store(0)
				s.suspended = func(now time.Time) time.Duration {
					if now.Sub(opened) < 500*time.Millisecond {
						return 0
					}
					return test.suspended
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				err := s.receive(ctx)
				require.Equal(t, test.handled, handled)
				require.Equal(t, handled < len(test.delays), IsSilent(err), "%v", err)
				if handled > 1 {
					require.Equal(t, test.delays[0], after[1], "a message was sent after the one before it came")
				}
			})
		})
	}
}
