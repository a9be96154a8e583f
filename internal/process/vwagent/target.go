package vwagent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

const (
	// dialTimeout bounds one dial. A dial to an unresponsive host must not delay the next one for long.
	dialTimeout = 2 * time.Second
	// unlistedTimeout is how long an entry is kept that lease replies no longer list, because the lists of
	// different entries may differ for a moment.
	unlistedTimeout = 5 * time.Second
	// stableLinkTime is how long a link must last to reset the backoff of the next dial.
	stableLinkTime = 2 * time.Second
	// refreshInterval is the longest time between two refreshes of the targets while no list comes. A refresh ranks all known
	// entries, which takes longer than the rest of a tick in a large fleet.
	refreshInterval = 500 * time.Millisecond
)

// target is an entry's address to which the agent keeps one link.
type target struct {
	address string
	stop    context.CancelFunc
	// link is the newest link; the control goroutine owns it.
	link *link
}

// listedEntry is an entry that a lease reply or Options.FindEntries listed.
type listedEntry struct {
	entry    vwmessage.EntryAddress
	listedAt time.Time
}

// refreshTargetsIfDue refreshes the targets after refreshInterval, and at once while a link drains.
func (r *registration) refreshTargetsIfDue(now time.Time) {
	if now.Sub(r.refreshedAt) >= refreshInterval || r.hasDrainingLink() {
		r.refreshTargets()
	}
}

func (r *registration) hasDrainingLink() bool {
	for _, l := range r.links {
		if l.draining {
			return true
		}
	}
	return false
}

// refreshTargets starts and stops links to match the known entries.
func (r *registration) refreshTargets() {
	r.refreshedAt = time.Now()
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
			// The entry has dropped the credits of this link; a new link starts with none.
			r.retire(t.link)
		}
	}
}

// drainTarget drains the link to an address, and removes the address once nothing of the entry is left here and the entry
// has handled all results.
func (r *registration) drainTarget(t *target) {
	if l := t.link; l != nil {
		if !l.draining {
			l.draining = true
			r.sendLeaving(l)
			if r.agent.runner != nil {
				r.agent.runner.onDraining(time.Now(), l)
			}
		}
		if r.hasWorkOf(l) || !l.drained {
			r.confirmDrained(l)
			return
		}
	}
	delete(r.targets, t.address)
	delete(r.incarnationByAddress, t.address)
	r.retire(t.link)
	t.stop()
}

// hasWorkOf reports whether a task or run of the entry of a link has not ended.
func (r *registration) hasWorkOf(l *link) bool {
	for _, running := range r.running {
		if running.entry == l.entry {
			return true
		}
	}
	return r.agent.runner != nil && r.agent.runner.hasRunsOf(l.entry)
}

// confirmDrained asks the entry of a draining link without work whether it has handled all messages. Closing the link drops
// those that are queued, and an entry that misses a result may start the task again elsewhere.
func (r *registration) confirmDrained(l *link) {
	if l.confirming || r.hasWorkOf(l) {
		return
	}
	l.confirming = true
	before := l.handledWork
	request := vwmessage.LeaseRequest{Incarnation: r.incarnation, Held: r.lease.Held()}
	r.agent.group.Run(func(ctx context.Context) {
		limited, cancel := context.WithTimeout(ctx, r.agent.timing.Silence)
		defer cancel()
		l.confirm(limited, request)
		r.agent.post(eventFunc(func(time.Time) {
			l.confirming, l.drained = false, l.handledWork == before
		}))
	})
}

// entryChoice holds the choice among the listed entries, which takes long in a large fleet.
type entryChoice struct {
	listed []vwmessage.EntryAddress
	chosen []vwmessage.EntryAddress
}

// update returns the choice among the listed entries.
func (c *entryChoice) update(settings *Settings, listed []vwmessage.EntryAddress) []vwmessage.EntryAddress {
	slices.SortFunc(listed, func(a, b vwmessage.EntryAddress) int { return cmp.Compare(a.Address, b.Address) })
	if slices.Equal(listed, c.listed) {
		return c.chosen
	}
	c.listed = listed
	if settings.Position > 0 {
		c.chosen = ChooseEntriesByPosition(settings.Position, settings.DataCentre, listed, settings.MaxEntries)
	} else {
		c.chosen = ChooseEntries(settings.Process, settings.DataCentre, listed, settings.MaxEntries)
	}
	return c.chosen
}

// wanted returns the addresses to link to: the choice among the listed entries, and
// then addresses from the settings up to MaxEntries.
func (r *registration) wanted() map[string]bool {
	settings := &r.agent.settings
	wanted := map[string]bool{}
	for _, entry := range r.choice.update(settings, r.listedEntries()) {
		wanted[entry.Address] = true
	}
	for _, address := range settings.Entries {
		if len(wanted) < settings.MaxEntries {
			wanted[address] = true
		}
	}
	return wanted
}

// listedEntries returns the entries that lease replies or Options.FindEntries list. One that is no longer listed is
// kept for unlistedTimeout; without any new list all are kept.
func (r *registration) listedEntries() []vwmessage.EntryAddress {
	entries := make([]vwmessage.EntryAddress, 0, len(r.entriesByAddress))
	for address, listed := range r.entriesByAddress {
		if r.lastListedAt.Sub(listed.listedAt) > unlistedTimeout {
			delete(r.entriesByAddress, address)
			continue
		}
		entries = append(entries, listed.entry)
	}
	return entries
}

// isLinkedElsewhere reports whether the entry behind an address has a link under another address. Two links to
// one entry would keep replacing each other.
func (r *registration) isLinkedElsewhere(t *target) bool {
	entry, known := r.incarnationByAddress[t.address]
	if listed, ok := r.entriesByAddress[t.address]; ok {
		entry, known = listed.entry.Incarnation, true
	}
	l := r.links[entry]
	return known && l != nil && l.target != t
}

func (r *registration) addTarget(address string) {
	ctx, cancel := context.WithCancel(r.linkGroup.Context())
	t := &target{address: address, stop: cancel}
	r.targets[address] = t
	if !r.linkGroup.Run(func(context.Context) { r.maintainLink(ctx, t) }) {
		cancel()
	}
}

// maintainLink keeps a link to the target open until ctx ends.
func (r *registration) maintainLink(ctx context.Context, t *target) {
	var wait backoff
	for ctx.Err() == nil {
		begun := time.Now()
		r.connect(ctx, t)
		if time.Since(begun) >= stableLinkTime {
			wait.reset()
		}
		if vwgroup.Sleep(ctx, wait.wait()) != nil {
			return
		}
	}
}

// connect dials the target and serves the link until it ends.
func (r *registration) connect(ctx context.Context, t *target) {
	linkedElsewhere := false
	prepare := func(time.Time) {
		// An older link is retired before the dial, so that none of its messages is processed after it.
		r.retire(t.link)
		linkedElsewhere = r.isLinkedElsewhere(t)
	}
	if !r.agent.do(prepare) || linkedElsewhere {
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

// onLeaseReply renews the configuration lease and updates the listed entries from the reply to a request sent
// at sent.
func (r *registration) onLeaseReply(now, sent time.Time, l *link, reply *vwmessage.LeaseReply) {
	if l.retired || r != r.agent.current {
		r.agent.counters.Crossed.Add(1)
		return
	}
	for _, incarnation := range reply.Expired {
		if incarnation == r.incarnation {
			r.onExpired(now)
			return
		}
	}
	if err := r.lease.Renew(sent, reply); err != nil {
		r.agent.logger.Warn("lease reply was refused", "Entry", string(l.entry), "Error", err.Error())
	}
	l.entries = l.entries.Read(reply)
	if len(l.entries.Entries) > 0 {
		r.lastListedAt = now
	}
	for _, entry := range l.entries.Entries {
		r.entriesByAddress[entry.Address] = listedEntry{entry: entry, listedAt: now}
	}
	r.recordLease(now)
	r.dirty = true
	r.refreshTargets()
}
