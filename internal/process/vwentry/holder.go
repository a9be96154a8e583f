package vwentry

import (
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// holder is the entry's configuration lease. A start needs a fresh one.
type holder struct {
	version vwid.ConfigVersion
	text    []byte
	rules   *vwrule.Rules
	until   time.Time
}

// Take takes a reply to a request that was sent at the given time. The lease counts from that moment, so
// the clocks of the two processes need not agree. A reply with a lower version is ignored.
func (h *holder) Take(sent time.Time, reply *vwmessage.LeaseReply) error {
	if reply.Version < h.version {
		return nil
	}
	if reply.Version > h.version {
		rules, err := vwrule.Parse("rules", reply.Rules)
		if err != nil {
			return trace.Wrap(err)
		}
		h.version, h.text, h.rules = reply.Version, reply.Rules, rules
	}
	until := sent.Add(time.Duration(reply.RemainingMilliseconds) * time.Millisecond)
	if until.After(h.until) {
		h.until = until
	}
	return nil
}

// Fresh reports whether the lease holds.
func (h *holder) Fresh(now time.Time) bool {
	return now.Before(h.until)
}

// Relay returns the lease that the entry can grant to an agent: what remains of its own.
func (h *holder) Relay(now time.Time, held vwid.ConfigVersion) *vwmessage.LeaseReply {
	reply := &vwmessage.LeaseReply{Version: h.version, RemainingMilliseconds: max(0, h.until.Sub(now).Milliseconds())}
	if held < h.version {
		reply.Rules = h.text
	}
	return reply
}
