package vwintake

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Budget is the budget of a process. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ledger *ledger
	// decoding is held while a body that is not small is decoded.
	decoding sync.Mutex
	refused  [len(reasons)]atomic.Uint64
}

// reasons are all reasons of refusals.
var reasons = [...]Reason{NoRoom, AddressShare, KindShare, Connections, Slow, Late, Stalled}

// Reasons returns all reasons of refusals.
func Reasons() []Reason {
	return reasons[:]
}

// Make returns an empty budget.
func Make(settings Settings) *Budget {
	return &Budget{ledger: makeLedger(settings)}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() vwunit.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.held
}

// Total returns the number of bytes that may be held.
func (b *Budget) Total() vwunit.Bytes {
	return b.ledger.settings.Total
}

// Refused returns the number of requests that were refused for a reason.
func (b *Budget) Refused(reason Reason) uint64 {
	for i := range reasons {
		if reasons[i] == reason {
			return b.refused[i].Load()
		}
	}
	return 0
}

// count counts a refusal.
func (b *Budget) count(reason Reason) {
	for i := range reasons {
		if reasons[i] == reason {
			b.refused[i].Add(1)
		}
	}
}

// refuse counts a refusal and returns its error.
func (b *Budget) refuse(reason Reason) error {
	b.count(reason)
	return ErrRefused{Reason: reason, RetryAfter: retryAfter}
}

// addressOf returns the address of a client. Those that cannot be read share one.
func addressOf(text string) netip.Addr {
	client, _ := netip.ParseAddrPort(text)
	return client.Addr()
}

// open begins a holding for a request.
func (b *Budget) open(r *http.Request, stop func(), bytes vwunit.Bytes) (*Holding, error) {
	h := &Holding{kind: Bodies, address: addressOf(r.RemoteAddr), stop: stop}
	if err := b.begin(h, bytes); err != nil {
		b.Release(h)
		return nil, err
	}
	return h, nil
}

// begin begins a holding of so many bytes.
func (b *Budget) begin(h *Holding, bytes vwunit.Bytes) error {
	now := time.Now()
	b.mu.Lock()
	b.ledger.begin(h, now)
	refusal, evicted := b.ledger.grow(h, bytes, now)
	b.mu.Unlock()
	return b.conclude(refusal, evicted)
}

// grow lets a holding have so many bytes in all.
func (b *Budget) grow(h *Holding, bytes vwunit.Bytes) error {
	b.mu.Lock()
	if h.evicted {
		b.mu.Unlock()
		return b.refuse(Stalled)
	}
	refusal, evicted := b.ledger.grow(h, bytes, time.Now())
	b.mu.Unlock()
	return b.conclude(refusal, evicted)
}

// conclude stops the arrivals of evicted holdings and counts a refusal.
func (b *Budget) conclude(refusal Reason, evicted []*Holding) error {
	for _, victim := range evicted {
		victim.stop()
	}
	if refusal != "" {
		return b.refuse(refusal)
	}
	return nil
}

// advance records that bytes of a holding have come.
func (b *Budget) advance(h *Holding, bytes vwunit.Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.arriving {
		b.ledger.advance(h, bytes, time.Now())
	}
}

// finish ends the arrival of a holding. It reports whether the holding was evicted before.
func (b *Budget) finish(h *Holding) (evicted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.end(h)
	return h.evicted
}

// Keep leaves a holding whose body has arrived the bytes that wait on. It returns ErrRefused if they are more than the body and there
// is no room for them.
func (b *Budget) Keep(h *Holding, bytes vwunit.Bytes) error {
	b.mu.Lock()
	refusal := b.ledger.keep(h, Waiting, bytes)
	b.mu.Unlock()
	return b.conclude(refusal, nil)
}

// Release gives back what a holding has. It does nothing for nil and when it is called again.
func (b *Budget) Release(h *Holding) {
	if h == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.release(h)
}

// Decode calls decode for a body. Bodies that are not small are decoded one at a time, as decoded they may take many times their
// size.
func (b *Budget) Decode(body []byte, decode func() error) error {
	if vwunit.Bytes(len(body)) > b.ledger.settings.Small {
		b.decoding.Lock()
		defer b.decoding.Unlock()
	}
	return decode()
}
