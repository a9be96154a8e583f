package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Lease holds the configuration lease of the agent. It belongs to the control goroutine.
type Lease interface {
	// Renew takes a lease reply whose request was sent at sent. It ignores lower versions.
	Renew(sent time.Time, reply *vwmessage.LeaseReply) error
	// Held returns the newest version of which the rules are known.
	Held() vwid.ConfigVersion
	// Rules returns the rules of that version, and false when the lease is not fresh.
	Rules(now time.Time) (*vwrule.Rules, bool)
	// RecentRules returns them and whether best-effort jobs may run under them.
	RecentRules(now time.Time) (*vwrule.Rules, bool)
}
