package vwlease

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// leaderRulesFile replaces the file name in parse errors of rules that the leader sent.
const leaderRulesFile = "rules of the leader"

// Holder holds and renews the configuration lease of one process. It is safe for concurrent use.
type Holder struct {
	maxRemaining  time.Duration
	renewInterval time.Duration
	current       atomic.Pointer[Lease]

	mu sync.Mutex
	// lastRequest is when the last request was made; it is zero before the first one.
	lastRequest time.Time
	// expiredAt is when Expire was last called.
	expiredAt time.Time
	// highestAnnounced is the highest version passed to Announce.
	highestAnnounced vwid.ConfigVersion
	// announcedAtRequest is the value of highestAnnounced when the last request was made.
	announcedAtRequest vwid.ConfigVersion
}

// Make returns a holder of version 0 without a fresh lease. Longer grants are capped at maxRemaining, and
// renewInterval is the time between renewals.
func Make(maxRemaining, renewInterval time.Duration) *Holder {
	h := &Holder{maxRemaining: maxRemaining, renewInterval: renewInterval}
	h.current.Store(&Lease{rules: vwrule.Empty()})
	return h
}

// Current returns the lease. A caller that needs the rules together with their freshness must take both from
// the same Lease, because a concurrent Renew may replace the rules between two calls.
func (h *Holder) Current() *Lease {
	return h.current.Load()
}

// IsFresh reports whether the process may start tasks at now.
func (h *Holder) IsFresh(now time.Time) bool {
	return h.Current().IsFresh(now)
}

// Version returns the version of the rules. It never decreases.
func (h *Holder) Version() vwid.ConfigVersion {
	return h.Current().Version()
}

// Rules returns the rules of the current version.
func (h *Holder) Rules() *vwrule.Rules {
	return h.Current().Rules()
}

// UntilNextRequest returns how long after now the next request is due. It is zero before the first request and when a
// newer version was announced since the last one.
func (h *Holder) UntilNextRequest(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastRequest.IsZero() || h.highestAnnounced > h.Version() && h.highestAnnounced > h.announcedAtRequest {
		return 0
	}
	return max(0, h.lastRequest.Add(h.renewInterval).Sub(now))
}

// Request returns a request for a renewal. Now must be read before the request is sent, because the lease
// runs from it.
func (h *Holder) Request(now time.Time) Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRequest, h.announcedAtRequest = now, h.highestAnnounced
	return Request{Held: h.Version(), Sent: now}
}

// Announce records that a version exists and reports whether a renewal is due at once: a version above
// the held one was announced after the last request.
func (h *Holder) Announce(version vwid.ConfigVersion) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.highestAnnounced = max(h.highestAnnounced, version)
	return h.highestAnnounced > h.Version() && h.highestAnnounced > h.announcedAtRequest
}

// Expire ends the lease after a suspension of the machine, which the clock does not count. Grants that answer a request sent
// before now do not renew it.
func (h *Holder) Expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiredAt = now
	if held := h.Current(); held.expiresAt.After(now) {
		expired := *held
		expired.expiresAt = now
		h.current.Store(&expired)
	}
}

// Renew applies the grant that answers a request and reports whether the version has changed. A grant of a
// lower version is ignored. When the rules of a newer version cannot be parsed, it returns an ErrRules and
// does not extend the lease, because the older rules could start tasks in a data centre that the newer ones
// take out of service.
func (h *Holder) Renew(request Request, grant Grant) (bool, error) {
	var newer *Lease
	if grant.Remaining > 0 && grant.Version > max(h.Version(), request.Held) {
		var err error
		// A text of thousands of routes takes long, and the other methods must not wait for it.
		if newer, err = parseGrant(grant, h.Rules()); err != nil {
			return false, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.Current()
	if grant.Version < held.version || grant.Remaining <= 0 {
		return false, nil
	}
	expiresAt := request.Sent.Add(min(grant.Remaining, h.maxRemaining))
	if request.Sent.Before(h.expiredAt) {
		// Newer rules are of use, but the lease may have ended.
		expiresAt = h.expiredAt
	}
	if grant.Version == held.version {
		h.current.Store(held.extend(expiresAt))
		return false, nil
	}
	if newer == nil {
		return false, trace.BadParameter("the request named version %d, but version %d is held", request.Held, held.version)
	}
	newer.expiresAt = held.expiresAt
	h.current.Store(newer.extend(expiresAt))
	return true, nil
}

// parseGrant returns a lease with the rules of a grant, which has expired.
func parseGrant(grant Grant, held *vwrule.Rules) (*Lease, error) {
	rules, err := vwrule.ParseNext(leaderRulesFile, grant.Text, held)
	if err != nil {
		return nil, trace.Wrap(err, "version %d", grant.Version)
	}
	return &Lease{version: grant.Version, rules: rules, relayText: vwrule.RemoveRoutes(grant.Text)}, nil
}
