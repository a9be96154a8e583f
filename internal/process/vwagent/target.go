package vwagent

import (
	"context"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// dialTimeout bounds one dial. A dial to a silent host must not delay the next one for long.
	dialTimeout = 2 * time.Second
	// nameTimeout keeps an entry that lease replies stopped naming, because replies of different
	// entries may differ for a moment.
	nameTimeout = 5 * time.Second
	// stableLink is how long a link must last for the next dial to follow without a longer wait.
	stableLink = 2 * time.Second
)

// target is an entry's address to which the agent keeps one link.
type target struct {
	address string
	stop    context.CancelFunc
	// link is the newest link; the control goroutine owns it.
	link *link
}

// namedEntry is an entry that a lease reply named.
type namedEntry struct {
	entry vwmessage.EntryAddress
	at    time.Time
}

// refreshTargets starts and stops links so that they fit the known entries.
func (r *registration) refreshTargets() {
	wanted := r.wanted()
	for address, t := range r.targets {
		if !wanted[address] {
			r.drainTarget(t)
		}
	}
	for address := range wanted {
		if t := r.targets[address]; t == nil {
			r.addTarget(address)
		} else if t.link != nil && t.link.draining {
			// The entry has given the credits of this link up; a new link begins afresh.
			r.retire(t.link)
		}
	}
}

// drainTarget gives up an address once no task of its link is left.
func (r *registration) drainTarget(t *target) {
	if l := t.link; l != nil {
		if !l.draining {
			l.draining = true
			r.sayLeaving(l)
		}
		for _, running := range r.running {
			if running.entry == l.entry {
				return
			}
		}
	}
	delete(r.targets, t.address)
	delete(r.reached, t.address)
	r.retire(t.link)
	t.stop()
}

// wanted returns the addresses to link to: the chosen ones of the entries that lease replies name,
// and the addresses of the settings while there is room.
func (r *registration) wanted() map[string]bool {
	settings := &r.agent.settings
	wanted := map[string]bool{}
	for _, entry := range ChooseEntries(settings.Process, settings.DataCentre, r.namedEntries(), settings.MaxEntries) {
		wanted[entry.Address] = true
	}
	for _, address := range settings.Entries {
		if len(wanted) < settings.MaxEntries {
			wanted[address] = true
		}
	}
	return wanted
}

// namedEntries returns the entries that lease replies name. One that they stop naming is kept for
// nameTimeout; without any replies all are kept.
func (r *registration) namedEntries() []vwmessage.EntryAddress {
	entries := make([]vwmessage.EntryAddress, 0, len(r.named))
	for address, named := range r.named {
		if r.namedAt.Sub(named.at) > nameTimeout {
			delete(r.named, address)
			continue
		}
		entries = append(entries, named.entry)
	}
	return entries
}

// isShadowed reports whether the entry behind an address has a link under another address. Two links to
// one entry would replace each other in turns.
func (r *registration) isShadowed(t *target) bool {
	entry, known := r.reached[t.address]
	if named, ok := r.named[t.address]; ok {
		entry, known = named.entry.Incarnation, true
	}
	l := r.links[entry]
	return known && l != nil && l.target != t
}

func (r *registration) addTarget(address string) {
	ctx, cancel := context.WithCancel(r.linkGroup.Context())
	t := &target{address: address, stop: cancel}
	r.targets[address] = t
	if !r.linkGroup.Run(func(context.Context) { r.keep(ctx, t) }) {
		cancel()
	}
}

// keep holds a link to the target until ctx ends.
func (r *registration) keep(ctx context.Context, t *target) {
	var wait backoff
	for ctx.Err() == nil {
		begun := time.Now()
		r.connect(ctx, t)
		if time.Since(begun) >= stableLink {
			wait.reset()
		}
		if vwgroup.Sleep(ctx, wait.wait()) != nil {
			return
		}
	}
}

// connect dials the target and serves the link until it ends.
func (r *registration) connect(ctx context.Context, t *target) {
	shadowed := false
	prepare := func(time.Time) {
		// Nothing more is processed from an older link from the moment of the dial.
		r.retire(t.link)
		shadowed = r.isShadowed(t)
	}
	if !r.agent.do(prepare) || shadowed {
		return
	}
	conn, err := r.dial(ctx, t.address)
	if err != nil {
		r.agent.logger.Debug("dialling failed", "Address", t.address, "Error", err.Error())
		return
	}
	if err := r.serve(ctx, t, conn); err != nil && ctx.Err() == nil {
		r.agent.logger.Info("link ended", "Address", t.address, "Error", err.Error())
	}
}

func (r *registration) dial(ctx context.Context, address string) (vwlink.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return r.endpoint.Dial(ctx, address)
}

// takeLease renews the configuration lease from the reply to a request sent at sent.
func (r *registration) takeLease(now, sent time.Time, l *link, reply *vwmessage.LeaseReply) {
	if l.retired || r != r.agent.current {
		r.agent.counters.Crossed.Add(1)
		return
	}
	for _, incarnation := range reply.Expired {
		if incarnation == r.incarnation {
			r.end(now)
			return
		}
	}
	if err := r.lease.Renew(sent, reply); err != nil {
		r.agent.logger.Warn("lease reply is of no use", "Entry", string(l.entry), "Error", err.Error())
	}
	l.entries = l.entries.Read(reply)
	if len(l.entries.Entries) > 0 {
		r.namedAt = now
	}
	for _, entry := range l.entries.Entries {
		r.named[entry.Address] = namedEntry{entry: entry, at: now}
	}
	r.recordLease(now)
	r.dirty = true
	r.refreshTargets()
}
