package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// maxLease is the longest lease that an agent accepts. It bounds how long tasks may still start in a data
// centre that was taken out of service.
const maxLease = 2 * time.Second

// configLease implements Lease with a vwlease.Holder.
type configLease struct {
	holder *vwlease.Holder
}

// MakeConfigLease returns a lease on version zero, the empty configuration. It is not fresh until it is
// renewed.
func MakeConfigLease() Lease {
	return &configLease{holder: vwlease.Make(maxLease, renewInterval)}
}

// Renew implements Lease.
func (l *configLease) Renew(sent time.Time, reply *vwmessage.LeaseReply) error {
	_, err := l.holder.Renew(vwlease.Request{Held: l.holder.Version(), Sent: sent}, reply.Grant())
	return err
}

// Expire implements Lease.
func (l *configLease) Expire(now time.Time) {
	l.holder.Expire(now)
}

// Held implements Lease.
func (l *configLease) Held() vwid.ConfigVersion {
	return l.holder.Version()
}

// Rules implements Lease.
func (l *configLease) Rules(now time.Time) (*vwrule.Rules, bool) {
	current := l.holder.Current()
	return current.Rules(), current.IsFresh(now)
}

// RecentRules implements Lease.
func (l *configLease) RecentRules(now time.Time) (*vwrule.Rules, bool) {
	current := l.holder.Current()
	return current.Rules(), current.AllowsBestEffort(now)
}
