package vwlease

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Relay returns the grant for a process that holds the version held and renews its lease through this one. It
// returns false when less than a millisecond of this lease remains, and when held is above the own version; in
// the second case a renewal is due at once.
//
// The granted rules have no routes: only entries use them, and each entry relays each version to all agents, so that the
// text of many routes would fill its link to the network.
//
// The lease of the other process runs from the sending of its request, which is before now, so it expires no
// later than this one.
func (h *Holder) Relay(now time.Time, held vwid.ConfigVersion) (Grant, bool) {
	own := h.Current()
	if held > own.version {
		h.Announce(held)
		return Grant{}, false
	}
	// Messages carry milliseconds; rounding up would let the other lease outlast this one.
	remaining := own.expiresAt.Sub(now).Truncate(time.Millisecond)
	if remaining <= 0 {
		return Grant{}, false
	}
	grant := Grant{Version: own.version, Remaining: remaining}
	if held < own.version {
		grant.Text = own.relayText
	}
	return grant, true
}
