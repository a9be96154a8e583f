package vwlease

import (
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Relay returns the grant for a process that holds a version and renews through this one. It reports
// false when this process has no fresh lease or is behind the other; in the second case it renews at once.
//
// The other process counts from the moment at which it sent its request, which is before now, so its lease
// ends no later than this one.
func (h *Holder) Relay(now time.Time, held vwid.ConfigVersion) (Grant, bool) {
	own := h.Current()
	if held > own.version {
		h.Announce(held)
		return Grant{}, false
	}
	// Messages carry milliseconds; rounding down keeps the other lease within this one.
	remaining := own.until.Sub(now).Truncate(time.Millisecond)
	if remaining <= 0 {
		return Grant{}, false
	}
	grant := Grant{Version: own.version, Remaining: remaining}
	if held < own.version {
		grant.Text = own.text
	}
	return grant, true
}
