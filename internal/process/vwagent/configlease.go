package vwagent

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// configLease is a Lease.
type configLease struct {
	version vwid.ConfigVersion
	rules   *vwrule.Rules
	until   time.Time
}

// MakeConfigLease returns a lease that is not fresh. Version zero is the empty configuration.
func MakeConfigLease() Lease {
	return &configLease{rules: vwrule.Empty()}
}

// Renew implements Lease.
func (l *configLease) Renew(sent time.Time, reply *vwmessage.LeaseReply) error {
	if reply.Version < l.version {
		return trace.BadParameter("version %d is below the held version %d", reply.Version, l.version)
	}
	if reply.Version > l.version {
		rules, err := vwrule.Parse("rules", reply.Rules)
		if err != nil {
			return trace.Wrap(err)
		}
		l.version, l.rules = reply.Version, rules
	}
	if until := sent.Add(time.Duration(reply.RemainingMilliseconds) * time.Millisecond); until.After(l.until) {
		l.until = until
	}
	return nil
}

// Held implements Lease.
func (l *configLease) Held() vwid.ConfigVersion {
	return l.version
}

// Rules implements Lease.
func (l *configLease) Rules(now time.Time) (*vwrule.Rules, bool) {
	return l.rules, now.Before(l.until)
}
