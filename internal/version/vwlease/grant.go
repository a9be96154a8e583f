// Package vwlease implements the configuration lease of a process. The control leader leases the current
// version of the rules to entries, and entries grant agents the remaining time of their own lease. A process
// without a fresh lease starts no tasks, so a version is in effect everywhere one lease duration after it
// was accepted.
//
// The package reads no clock: callers pass times of time.Now, whose monotonic reading makes durations
// independent of steps of the wall clock.
package vwlease

import (
	"time"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Request is a request for a renewal. Its sender keeps it until the reply arrives, because the lease
// runs from Sent and the reply holds the rules only when they are newer than Held.
type Request struct {
	Held vwid.ConfigVersion
	Sent time.Time
}

// Grant is the part of a reply that renews the lease.
type Grant struct {
	Version vwid.ConfigVersion
	// Remaining is counted from Request.Sent. Zero or less grants nothing.
	Remaining time.Duration
	// Text is the text of the rules. It is empty unless Version is above Request.Held.
	Text []byte
}

// Lease holds the configuration of a process and the time until which the process may act on it. It is
// immutable. The zero Lease holds version 0 and is never fresh.
type Lease struct {
	version vwid.ConfigVersion
	rules   *vwrule.Rules
	// relayText is the text of the rules without routes.
	relayText []byte
	expiresAt time.Time
}

// IsFresh reports whether the process may start tasks at now.
func (l *Lease) IsFresh(now time.Time) bool {
	return now.Before(l.expiresAt)
}

// bestEffortGrace is how long best-effort jobs continue under the rules of an expired lease, so that an outage of
// control does not stop all service at once. The rules are then at most that old.
const bestEffortGrace = time.Minute

// AllowsBestEffort reports whether best-effort jobs may run under the lease: it is fresh or expired less than
// bestEffortGrace ago. Version 0 never does, because it holds no rules from the leader.
func (l *Lease) AllowsBestEffort(now time.Time) bool {
	return l.version > 0 && now.Before(l.expiresAt.Add(bestEffortGrace))
}

// Version returns the version of the rules.
func (l *Lease) Version() vwid.ConfigVersion {
	return l.version
}

// Rules returns the rules. They permit everything at version 0.
func (l *Lease) Rules() *vwrule.Rules {
	return l.rules
}

// extend returns a copy of the lease that expires at the later of expiresAt and its current expiry. Replies may be
// reordered, so a late reply to an older request must not shorten a newer grant.
func (l *Lease) extend(expiresAt time.Time) *Lease {
	extended := *l
	if expiresAt.After(l.expiresAt) {
		extended.expiresAt = expiresAt
	}
	return &extended
}
