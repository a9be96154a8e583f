package vwsignal

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a command that a hangup stops although it handles hangups, one that misses a signal while it shuts down,
// and one that a person cannot end.
func TestSignals(t *testing.T) {
	const hangup, terminate = syscall.SIGHUP, syscall.SIGTERM
	cases := map[string]struct {
		signals []os.Signal
		handles bool
		stops   bool
		// ends is whether the last signal must end the process.
		ends bool
	}{
		"interrupt":                     {signals: []os.Signal{os.Interrupt}, handles: true, stops: true},
		"terminate":                     {signals: []os.Signal{terminate}, handles: true, stops: true},
		"hangup":                        {signals: []os.Signal{hangup}, handles: true},
		"hangups in the shutdown":       {signals: []os.Signal{terminate, hangup, hangup}, handles: true, stops: true},
		"terminate twice, and hangup":   {signals: []os.Signal{hangup, terminate, terminate}, handles: true, stops: true},
		"interrupt twice":               {signals: []os.Signal{os.Interrupt, os.Interrupt}, handles: true, stops: true, ends: true},
		"interrupt in the shutdown":     {signals: []os.Signal{terminate, terminate, os.Interrupt}, handles: true, stops: true, ends: true},
		"tool: interrupt":               {signals: []os.Signal{os.Interrupt}, stops: true},
		"tool: terminate":               {signals: []os.Signal{terminate}, stops: true},
		"tool: terminate twice":         {signals: []os.Signal{terminate, terminate}, stops: true, ends: true},
		"tool: terminate and interrupt": {signals: []os.Signal{terminate, os.Interrupt}, stops: true, ends: true},
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
			last := len(c.signals) - 1
			for index, s := range c.signals {
				require.Equal(t, !c.ends || index < last, signals.Deliver(s))
			}
			require.Equal(t, c.stops, ctx.Err() != nil)
			if c.ends {
				c.signals = c.signals[:last]
			}
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
