// Package vwlease keeps the configuration lease of a process. The control leader leases the current
// version of the rules to entries, and entries relay what remains of their lease to agents. A process
// without a fresh lease starts nothing, so a version is in effect everywhere one lease duration after it
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
// counts from Sent and the reply holds the rules only when they are newer than Held.
type Request struct {
	Held vwid.ConfigVersion
	Sent time.Time
}

// Grant is the part of a reply that renews the lease.
type Grant struct {
	Version vwid.ConfigVersion
	// Remaining counts from the moment at which the request was sent. Zero or less grants nothing.
	Remaining time.Duration
	// Text is the text of the rules when Version is above the version that the request named.
	Text []byte
}

// Lease is the configuration that a process holds and the time until which it may act on it. It does not
// change. The zero Lease holds version 0 and is never fresh.
type Lease struct {
	version vwid.ConfigVersion
	rules   *vwrule.Rules
	text    []byte
	until   time.Time
}

// IsFresh reports whether the process may start tasks at now.
func (l *Lease) IsFresh(now time.Time) bool {
	return now.Before(l.until)
}

// staleness is how long after the end of a configuration lease best-effort jobs go on under its rules. While control
// is down, stopping all service would help nobody; the rules are then at most that old.
const staleness = time.Minute

// IsRecent reports whether best-effort jobs may run under the lease: it is fresh or ended lately. Version 0 is never
// recent, since nothing was ever granted.
func (l *Lease) IsRecent(now time.Time) bool {
	return l.version > 0 && now.Before(l.until.Add(staleness))
}

// Version returns the version of the rules.
func (l *Lease) Version() vwid.ConfigVersion {
	return l.version
}

// Rules returns the rules. They permit everything at version 0.
func (l *Lease) Rules() *vwrule.Rules {
	return l.rules
}

// extend returns the lease with a later end. An earlier end changes nothing: each grant stands on its own,
// so a reply that arrives late must not shorten what a newer one granted.
func (l *Lease) extend(until time.Time) *Lease {
	longer := *l
	if until.After(l.until) {
		longer.until = until
	}
	return &longer
}
