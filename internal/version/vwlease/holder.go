package vwlease

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// rulesFile is the name that faults show for rules that came from the leader.
const rulesFile = "rules of the leader"

// Holder keeps the configuration lease of one process. It is safe for concurrent use.
type Holder struct {
	lease    time.Duration
	interval time.Duration
	current  atomic.Pointer[Lease]

	mu sync.Mutex
	// sent is when the last request was made; it is zero before the first one.
	sent time.Time
	// announced is the highest version that the process was told of.
	announced vwid.ConfigVersion
	// asked is the highest version that was announced when the last request was made.
	asked vwid.ConfigVersion
}

// Make returns a holder of version 0 without a fresh lease. Lease is the longest remaining time that it
// accepts in a grant, and interval is the time between renewals.
func Make(lease, interval time.Duration) *Holder {
	h := &Holder{lease: lease, interval: interval}
	h.current.Store(&Lease{rules: vwrule.Empty()})
	return h
}

// Current returns the lease. Code that needs the rules together with their freshness takes both from one
// Lease, because the next one may hold other rules.
func (h *Holder) Current() *Lease {
	return h.current.Load()
}

// Fresh reports whether the process may start tasks at now.
func (h *Holder) Fresh(now time.Time) bool {
	return h.Current().IsFresh(now)
}

// Version returns the version of the rules. It never falls.
func (h *Holder) Version() vwid.ConfigVersion {
	return h.Current().Version()
}

// Rules returns the rules of the current version.
func (h *Holder) Rules() *vwrule.Rules {
	return h.Current().Rules()
}

// Wait returns how long after now the next request is due. It is zero when none was made yet or when a
// newer version was announced since the last one.
func (h *Holder) Wait(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sent.IsZero() || h.announced > h.Version() && h.announced > h.asked {
		return 0
	}
	return max(0, h.sent.Add(h.interval).Sub(now))
}

// Request returns a request for a renewal. Now must be read before the request is sent, because the lease
// counts from it.
func (h *Holder) Request(now time.Time) Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent, h.asked = now, h.announced
	return Request{Held: h.Version(), Sent: now}
}

// Announce tells the holder that a version exists. It reports whether a renewal is due at once.
func (h *Holder) Announce(version vwid.ConfigVersion) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced = max(h.announced, version)
	return h.announced > h.Version() && h.announced > h.asked
}

// Renew takes the grant that answers a request and reports whether the version has changed. A grant of a
// lower version is ignored. When the rules of a newer version cannot be read, it returns an ErrRules and
// the lease runs out, because acting on the older rules could start tasks in a data centre that is out.
func (h *Holder) Renew(request Request, grant Grant) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.Current()
	if grant.Version < held.version || grant.Remaining <= 0 {
		return false, nil
	}
	until := request.Sent.Add(min(grant.Remaining, h.lease))
	if grant.Version == held.version {
		h.current.Store(held.extend(until))
		return false, nil
	}
	if grant.Version <= request.Held {
		return false, trace.BadParameter("the request named version %d, but version %d is held", request.Held, held.version)
	}
	return h.adopt(held, grant, until)
}

// adopt replaces the rules by those of a newer version.
func (h *Holder) adopt(held *Lease, grant Grant, until time.Time) (bool, error) {
	rules, err := vwrule.Parse(rulesFile, grant.Text)
	if err != nil {
		return false, trace.Wrap(err, "version %d", grant.Version)
	}
	newer := Lease{version: grant.Version, rules: rules, text: bytes.Clone(grant.Text), until: held.until}
	h.current.Store(newer.extend(until))
	return true, nil
}
