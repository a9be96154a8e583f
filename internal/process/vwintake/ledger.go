package vwintake

import (
	"net/netip"
	"time"

	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Kind is a kind of holding.
type Kind int

const (
	// Bodies are the bodies of requests until they are decoded.
	Bodies Kind = iota
	// Waiting are the payloads of jobs that wait or run.
	Waiting
	// Heads are the heads of requests beyond what each connection may hold.
	Heads
	kinds
)

// Holding is what one request holds.
type Holding struct {
	kind    Kind
	address netip.Addr
	bytes   vwunit.Bytes
	// arriving is set while the holding may still lose to others, and evicted once it has lost.
	arriving, evicted bool
	// progress is the time of the last progress, and since is what has come after it.
	progress time.Time
	since    vwunit.Bytes
	// place is that in the order of the last progress.
	place place[*Holding]
	// stop ends the arrival of an evicted holding.
	stop func()
}

// Reason tells why a holding was refused.
type Reason string

// These are the reasons of refusals.
const (
	// NoRoom means that the budget is exhausted.
	NoRoom Reason = "full"
	// AddressShare and KindShare mean that the client address or the kind of holding has its share.
	AddressShare Reason = "address"
	KindShare    Reason = "kind"
	// Connections means that a connection without a request made room for another.
	Connections Reason = "connections"
	// Slow means that a connection whose body arrived, or whose answer was read, more slowly than others made room for another.
	Slow Reason = "slow"
	// Late means that the time of the caller ended before its body was whole.
	Late Reason = "late"
	// Stalled means that a body made no progress in time, which is shorter while others lack room.
	Stalled Reason = "stalled"
)

// ledger decides who may hold how much. A body that makes no progress loses its place to one that needs it.
type ledger struct {
	settings Settings
	held     vwunit.Bytes
	// large is the sum of the holdings that are not small.
	large     vwunit.Bytes
	byKind    [kinds]vwunit.Bytes
	byAddress map[netip.Addr]vwunit.Bytes
	// arriving holds the holdings that may lose to others in the order of their last progress.
	arriving order[*Holding]
}

func makeLedger(settings Settings) *ledger {
	return &ledger{settings: settings, byAddress: map[netip.Addr]vwunit.Bytes{}}
}

// begin makes a holding that has no bytes yet. It loses to others until it is kept or released.
func (l *ledger) begin(h *Holding, now time.Time) {
	h.arriving, h.progress, h.place.element = true, now, h
	l.arriving.append(&h.place)
}

// grow lets a holding have so many bytes in all, or returns why not. The evicted holdings have lost their bytes, and their arrival
// has to be ended.
func (l *ledger) grow(h *Holding, bytes vwunit.Bytes, now time.Time) (refusal Reason, evicted []*Holding) {
	for {
		var helps func(*Holding) bool
		if refusal, helps = l.check(h, bytes); refusal == "" {
			l.set(h, bytes)
			return "", evicted
		}
		victim := l.findStalled(h, helps, now)
		if victim == nil {
			return refusal, evicted
		}
		l.release(victim)
		victim.evicted = true
		evicted = append(evicted, victim)
	}
}

// check returns why a holding cannot have so many bytes, or an empty reason, and which holdings would make room by their end.
func (l *ledger) check(h *Holding, bytes vwunit.Bytes) (Reason, func(*Holding) bool) {
	more := bytes - h.bytes
	if l.held+more > l.settings.Total {
		return NoRoom, func(victim *Holding) bool { return victim.bytes > 0 }
	}
	if bytes <= l.settings.Small {
		return "", nil
	}
	moreLarge := bytes - l.largeBytes(h.bytes)
	isLarge := func(victim *Holding) bool { return victim.bytes > l.settings.Small }
	switch {
	case l.large+moreLarge > l.settings.Total-l.settings.Reserve:
		return NoRoom, isLarge
	case l.byKind[h.kind]+more > l.settings.PerKind:
		return KindShare, func(victim *Holding) bool { return victim.bytes > 0 && victim.kind == h.kind }
	case l.byAddress[h.address]+moreLarge > l.settings.PerAddress:
		return AddressShare, func(victim *Holding) bool { return isLarge(victim) && victim.address == h.address }
	}
	return "", nil
}

// largeBytes returns what a holding of so many bytes counts among those that are not small.
func (l *ledger) largeBytes(bytes vwunit.Bytes) vwunit.Bytes {
	if bytes <= l.settings.Small {
		return 0
	}
	return bytes
}

// set changes the bytes of a holding.
func (l *ledger) set(h *Holding, bytes vwunit.Bytes) {
	more := bytes - h.bytes
	l.held += more
	l.byKind[h.kind] += more
	if moreLarge := l.largeBytes(bytes) - l.largeBytes(h.bytes); moreLarge != 0 {
		l.large += moreLarge
		if l.byAddress[h.address] += moreLarge; l.byAddress[h.address] == 0 {
			delete(l.byAddress, h.address)
		}
	}
	h.bytes = bytes
}

// findStalled returns the holding that has made no progress for longest, if it has made none for too long and its end helps. Only a
// few are looked at.
func (l *ledger) findStalled(h *Holding, helps func(*Holding) bool, now time.Time) *Holding {
	next := l.arriving.oldest
	for range maxVictims {
		if next == nil || now.Sub(next.element.progress) < l.settings.StallTime {
			return nil
		}
		if victim := next.element; victim != h && helps(victim) {
			return victim
		}
		next = next.after
	}
	return nil
}

// maxVictims bounds the time of a decision.
const maxVictims = 100

// advance records that bytes of a holding have come.
func (l *ledger) advance(h *Holding, bytes vwunit.Bytes, now time.Time) {
	if h.since += bytes; h.since < l.settings.ProgressBytes || !h.arriving {
		return
	}
	h.since, h.progress = 0, now
	l.arriving.remove(&h.place)
	l.arriving.append(&h.place)
}

// keep ends the arrival of a holding and leaves it so many bytes of a kind, or returns why it cannot have more than before.
func (l *ledger) keep(h *Holding, kind Kind, bytes vwunit.Bytes) (refusal Reason) {
	l.end(h)
	l.byKind[h.kind] -= h.bytes
	h.kind = kind
	l.byKind[h.kind] += h.bytes
	if bytes > h.bytes {
		if refusal, _ = l.check(h, bytes); refusal != "" {
			return refusal
		}
	}
	l.set(h, bytes)
	return ""
}

// release ends a holding. It may be called again.
func (l *ledger) release(h *Holding) {
	l.end(h)
	l.set(h, 0)
}

// end ends the arrival of a holding.
func (l *ledger) end(h *Holding) {
	h.arriving = false
	l.arriving.remove(&h.place)
}
