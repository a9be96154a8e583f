package vwsignal

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a command that a hangup stops although it handles hangups, and one that misses a signal while it shuts
// down.
func TestSignals(t *testing.T) {
	cases := map[string]struct {
		signals []os.Signal
		handles bool
		stops   bool
	}{
		"interrupt":                   {signals: []os.Signal{os.Interrupt}, handles: true, stops: true},
		"terminate":                   {signals: []os.Signal{syscall.SIGTERM}, handles: true, stops: true},
		"hangup":                      {signals: []os.Signal{syscall.SIGHUP}, handles: true},
		"hangup of a plain command":   {signals: []os.Signal{syscall.SIGHUP}, stops: true},
		"terminate of plain command":  {signals: []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, stops: true},
		"hangups in the shutdown":     {signals: []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP}, handles: true, stops: true},
		"terminate twice, and hangup": {signals: []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}, handles: true, stops: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			signals := Make(stop)
			var handled []os.Signal
			if c.handles {
				signals.Handle(func(s os.Signal) { handled = append(handled, s) })
			}
			for _, s := range c.signals {
				signals.Deliver(s)
			}
			require.Equal(t, c.stops, ctx.Err() != nil)
			if c.handles {
				require.Equal(t, c.signals, handled)
			}
		})
	}
}

// A command that runs without signals, as in tests, must be able to ask for them.
func TestNoSignalsInContext(t *testing.T) {
	require.Nil(t, FromContext(t.Context()))
	FromContext(t.Context()).Handle(func(os.Signal) {})
}
