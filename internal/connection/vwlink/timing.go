package vwlink

import (
	"time"

	"github.com/gravitational/trace"
)

// Timing is how a link shows that it is alive. Both ends must use the same.
type Timing struct {
	// Ping is how often a session sends something on an idle link.
	Ping time.Duration
	// Silence ends a session whose peer has sent nothing for so long. Devices between the two ends can
	// forget a connection without a word, so an open socket proves nothing.
	Silence time.Duration
}

// DefaultTiming tolerates three lost pings.
var DefaultTiming = Timing{Ping: 500 * time.Millisecond, Silence: 2 * time.Second}

// Check returns an error when one late ping would end a link.
func (t Timing) Check() error {
	if t.Ping <= 0 || t.Silence < 2*t.Ping {
		return trace.BadParameter("the silence timeout (%v) must be at least twice the ping interval (%v), which must be positive", t.Silence, t.Ping)
	}
	return nil
}

// Timed is a Conn whose link has a timing of its own. Others have the DefaultTiming.
type Timed interface {
	Timing() Timing
}

func timingOf(conn Conn) Timing {
	if timed, ok := conn.(Timed); ok {
		return timed.Timing()
	}
	return DefaultTiming
}
