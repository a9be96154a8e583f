package vwagent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

type noBackend struct{}

func (noBackend) Run(context.Context, vwbackend.Task) ([]byte, error) { return nil, nil }

type noEndpoint struct{}

func (noEndpoint) Dial(context.Context, string) (vwlink.Conn, error) { return nil, vwlink.ErrClosed }
func (noEndpoint) Close() error                                      { return nil }

// Guards against processing a message that was received before its link was replaced, but whose event is
// applied afterwards. The order of such events cannot be forced from outside, so this test applies them itself.
func TestMessageOfReplacedLinkIsDropped(t *testing.T) {
	cases := map[string]struct {
		retired, formerIncarnation bool
		credits                    int
		crossed                    uint64
	}{
		"newest link":        {false, false, 0, 0},
		"replaced link":      {true, false, 1, 1},
		"former incarnation": {false, true, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, err := Make(Options{
				Settings:     Settings{Cluster: "c", Process: "p", DataCentre: "a", Entries: []string{"e"}},
				Backend:      noBackend{},
				MakeLease:    MakeConfigLease,
				MakeEndpoint: func(vwmessage.Hello) (Endpoint, error) { return noEndpoint{}, nil },
			})
			require.NoError(t, err)
			a.group = vwgroup.Make(t.Context())
			r := makeRegistration(a, "1", noEndpoint{})
			if !c.formerIncarnation {
				a.current = r
			}
			l := &link{registration: r, entry: "e-1", retired: c.retired, credits: 1}
			m := &receivedMessage{link: l, body: &vwmessage.CreditReturn{Count: 1}, reply: func(vwmessage.Body, error) {}}
			m.apply(a, time.Now())
			require.Equal(t, c.credits, l.credits)
			require.Equal(t, c.crossed, a.Counters().Crossed.Load())
			require.NoError(t, a.group.Stop())
		})
	}
}
