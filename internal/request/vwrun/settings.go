package vwrun

import (
	"time"

	"github.com/gravitational/trace"
)

// Settings holds the timing parameters of a Tracker. The guarantee that a run has ended depends on LeaseDuration and
// MaxClockDrift, so LeaseDuration must not exceed what the worker grants.
type Settings struct {
	// LeaseDuration is how long a run may go on after the last order that extended the worker's lease.
	LeaseDuration time.Duration
	// RenewInterval is the longest time between two orders that extend the lease while runs exist.
	RenewInterval time.Duration
	// AnswerTimeout is how long an order may take, in addition to its own wait, before it counts as unanswered.
	AnswerTimeout time.Duration
	// ReportTimeout is the time since the last report after which a poll is sent when a run should have ended and a hold
	// is in flight. An answer normally takes a few milliseconds, and callers wait for the ends that it reports.
	ReportTimeout time.Duration
	// StopTimeout is how long the end of a stopped run may take. After that the lease is no longer extended until
	// the run has ended, so that a run whose stop orders are lost ends with the lease.
	StopTimeout time.Duration
	// A run is overdue after OverdueFactor times its expected time plus OverdueMargin. On a normal day one run in ten
	// thousand takes four times its expected time, and most of these are short.
	OverdueFactor float64
	OverdueMargin time.Duration
	// MaxClockDrift is the fraction by which the worker's clock may be slower than the agent's.
	MaxClockDrift float64
}

// DefaultSettings returns settings for workers that grant leases of at least 500 ms, for example of a second. A lease
// spans four renewal intervals, which is meant to outlast three lost orders in a row.
func DefaultSettings() Settings {
	return Settings{
		LeaseDuration: 500 * time.Millisecond,
		RenewInterval: 125 * time.Millisecond,
		AnswerTimeout: 120 * time.Millisecond,
		ReportTimeout: 40 * time.Millisecond,
		StopTimeout:   100 * time.Millisecond,
		MaxClockDrift: 0.02,

		OverdueFactor: 4,
		OverdueMargin: 100 * time.Millisecond,
	}
}

// minLease is the shortest lease that leaves time for two renewals and their answers, in addition to the
// agent's tick interval (40 ms).
const minLease = 200 * time.Millisecond

// ForGrantedLease adapts the settings to workers that grant leases of at most granted: shorter leases get a shorter
// RenewInterval, AnswerTimeout and ReportTimeout, while StopTimeout stays. It returns an error when granted is too short
// to renew a lease in time.
func (s Settings) ForGrantedLease(granted time.Duration) (Settings, error) {
	if granted >= s.LeaseDuration {
		return s, nil
	}
	if granted < minLease {
		return s, trace.BadParameter("workers grant leases of %v, but runs need at least %v", granted, minLease)
	}
	s.LeaseDuration = granted
	s.RenewInterval = min(s.RenewInterval, granted/4)
	s.AnswerTimeout = min(s.AnswerTimeout, granted/5)
	s.ReportTimeout = min(s.ReportTimeout, s.AnswerTimeout)
	return s, s.Check()
}

// Check returns an error when one lost order would end the lease.
func (s Settings) Check() error {
	switch {
	case s.RenewInterval <= 0 || s.AnswerTimeout <= 0 || s.ReportTimeout <= 0 || s.StopTimeout <= 0:
		return trace.BadParameter("RenewInterval, AnswerTimeout, ReportTimeout and StopTimeout must be positive")
	case s.LeaseDuration < 2*(s.RenewInterval+s.AnswerTimeout):
		return trace.BadParameter("the lease (%v) must outlast two orders of %v each", s.LeaseDuration, s.RenewInterval+s.AnswerTimeout)
	case s.OverdueFactor < 1 || s.OverdueMargin < 0:
		return trace.BadParameter("OverdueFactor must be at least 1 and OverdueMargin not negative")
	case s.MaxClockDrift < 0 || s.MaxClockDrift >= 0.5:
		return trace.BadParameter("MaxClockDrift must be at least 0 and below 0.5, not %v", s.MaxClockDrift)
	}
	return nil
}

// MaxTimeToEnd returns the longest time from the moment at which an agent gives up a run to the certain end of that
// run, whether or not the worker answers.
func (s Settings) MaxTimeToEnd() time.Duration {
	return s.StopTimeout + time.Duration(float64(s.LeaseDuration)/(1-s.MaxClockDrift))
}
