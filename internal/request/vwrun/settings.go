package vwrun

import (
	"time"

	"github.com/gravitational/trace"
)

// Settings are the times by which a Book works. The agent's promise that a run has ended rests on Lease and
// Drift, so Lease must not exceed what the worker grants.
type Settings struct {
	// Lease is how long a run may go on after the last order that extended the worker's lease.
	Lease time.Duration
	// Renew is the longest time between two orders that extend the lease while runs exist.
	Renew time.Duration
	// Answer is how long an order may take, beside the wait that it asks for, before it counts as unanswered.
	Answer time.Duration
	// Quiet is how long an order for the list may be without an answer while an end is due, before another one
	// asks for the list at once. An answer takes a few milliseconds, and ends that wait for it hold up callers.
	Quiet time.Duration
	// Stop is how long the end of a stopped run may take. After that the lease is no longer extended until
	// the run has ended, so that a lost stop order cannot leave a run behind.
	Stop time.Duration
	// A run is overdue when it goes on for OverdueFactor times its expected time and OverdueMargin more. On a calm
	// day one run in ten thousand takes four times what was expected, most of them short ones.
	OverdueFactor float64
	OverdueMargin time.Duration
	// Drift is by which share the worker's clock may be slower than the agent's.
	Drift float64
}

// DefaultSettings returns settings for workers that grant leases of a second. Three orders in a row may be
// lost before a lease ends.
func DefaultSettings() Settings {
	return Settings{
		Lease:  500 * time.Millisecond,
		Renew:  125 * time.Millisecond,
		Answer: 120 * time.Millisecond,
		Quiet:  40 * time.Millisecond,
		Stop:   100 * time.Millisecond,
		Drift:  0.02,

		OverdueFactor: 4,
		OverdueMargin: 100 * time.Millisecond,
	}
}

// shortestLease is the shortest lease that leaves time for two renewals, each with an answer, beside the 40 ms between
// two looks of an agent at its runs.
const shortestLease = 200 * time.Millisecond

// Within returns settings for workers that grant leases of at most granted. Shorter leases are renewed more often, and
// orders count as unanswered sooner.
func (s Settings) Within(granted time.Duration) (Settings, error) {
	if granted >= s.Lease {
		return s, nil
	}
	if granted < shortestLease {
		return s, trace.BadParameter("workers grant leases of %v, but runs need at least %v", granted, shortestLease)
	}
	s.Lease = granted
	s.Renew = min(s.Renew, granted/4)
	s.Answer = min(s.Answer, granted/5)
	s.Quiet = min(s.Quiet, s.Answer)
	return s, s.Check()
}

// Check returns an error when one lost order would end the lease.
func (s Settings) Check() error {
	switch {
	case s.Renew <= 0 || s.Answer <= 0 || s.Quiet <= 0 || s.Stop <= 0:
		return trace.BadParameter("Renew, Answer, Quiet and Stop must be positive")
	case s.Lease < 2*(s.Renew+s.Answer):
		return trace.BadParameter("the lease (%v) must outlast two orders of %v each", s.Lease, s.Renew+s.Answer)
	case s.OverdueFactor < 1 || s.OverdueMargin < 0:
		return trace.BadParameter("OverdueFactor must be at least 1 and OverdueMargin not negative")
	case s.Drift < 0 || s.Drift >= 0.5:
		return trace.BadParameter("the drift must be from 0 to 0.5, not %v", s.Drift)
	}
	return nil
}

// Longest returns the longest time from the moment at which an agent no longer keeps a run to the certain end
// of that run, however its worker answers.
func (s Settings) Longest() time.Duration {
	return s.Stop + time.Duration(float64(s.Lease)/(1-s.Drift))
}
