package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Lease is the configuration lease of an agent. Only the control goroutine may use it.
type Lease interface {
	// Renew extends the lease by the reply to a request sent at sent. It ignores lower versions.
	Renew(sent time.Time, reply *vwmessage.LeaseReply) error
	// Expire ends the lease at now. Only replies to requests that are sent later renew it.
	Expire(now time.Time)
	// Held returns the newest version whose rules are known.
	Held() vwid.ConfigVersion
	// Rules returns the rules of that version, and false when the lease is not fresh.
	Rules(now time.Time) (*vwrule.Rules, bool)
	// RecentRules returns the same rules and whether they are recent enough for best-effort jobs.
	RecentRules(now time.Time) (*vwrule.Rules, bool)
}
