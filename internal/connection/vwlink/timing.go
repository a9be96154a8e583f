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
	// Phase shifts the times of pings. The pings of all links of a process go out at the same times, so that they wake it
	// once, and processes with different phases do not ping their common peers all at the same time. The two ends may differ
	// in it.
	Phase time.Duration
}

// UntilNext returns the time until the next regular event with the given interval. All regular events with the same
// interval and phase coincide.
func (t Timing) UntilNext(now time.Time, interval time.Duration) time.Duration {
	passed := time.Duration(now.UnixNano()%int64(interval)) - t.Phase%interval
	return interval - (passed+interval)%interval
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

// Dialled is a Conn that knows whether this end has dialled it. The end that has sends the pings, and the other one answers
// them. Where it is not known, both ends send pings.
type Dialled interface {
	IsDialled() bool
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
