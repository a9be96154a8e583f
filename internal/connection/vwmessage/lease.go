package vwmessage

import (
	"time"

	"vanillawind.example/vanillawind/internal/version/vwlease"
)

// Grant returns the part of the reply that renews the configuration lease. Its text is empty if the reply has the parts of
// the text instead.
func (r *LeaseReply) Grant() vwlease.Grant {
	return vwlease.Grant{
		Version:   r.Version,
		Remaining: time.Duration(r.RemainingMilliseconds) * time.Millisecond,
		Text:      r.Rules,
	}
}

// SetGrant fills in the part of the reply that renews the configuration lease.
func (r *LeaseReply) SetGrant(grant vwlease.Grant) {
	r.Version, r.RemainingMilliseconds, r.Rules = grant.Version, grant.Remaining.Milliseconds(), grant.Text
}
