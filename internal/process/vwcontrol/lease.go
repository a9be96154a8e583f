package vwcontrol

import (
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// stallLimit is how long the member may fail to handle renewals, for example during a slow sync, before all
// registrations are extended by a full period.
const stallLimit = time.Second

// registrationRenewals holds when each registration was added or last renewed, to expire the others.
type registrationRenewals struct {
	// trackedSince is the latest of the start of the leadership, the first commit of its term and the end of a stall.
	// A registration counts as renewed then.
	trackedSince time.Time
	lastRenewal  map[vwid.Incarnation]time.Time
	// pendingExpiry holds the registrations whose Expire command is proposed but not yet applied. They get no lease.
	pendingExpiry map[vwid.Incarnation]bool
}

// reset forgets all renewals when the leadership changes.
func (l *registrationRenewals) reset(now time.Time) {
	l.trackedSince = now
	l.lastRenewal = map[vwid.Incarnation]time.Time{}
	l.pendingExpiry = map[vwid.Incarnation]bool{}
}

// extendAll lets no registration expire for a full period from now on.
func (l *registrationRenewals) extendAll(now time.Time) {
	l.trackedSince = now
}

func (l *registrationRenewals) renew(incarnation vwid.Incarnation, now time.Time) {
	l.lastRenewal[incarnation] = now
}

// applyCommand records the registrations that an applied command adds, and removes those that it ends.
func (l *registrationRenewals) applyCommand(command vwstate.Command, now time.Time) {
	if command.Register != nil {
		l.renew(command.Register.Registration.Incarnation, now)
	}
	if command.Expire != nil {
		for _, incarnation := range command.Expire.Incarnations {
			delete(l.lastRenewal, incarnation)
		}
	}
}

// isExpired reports whether a registration was not renewed for a full period of this leadership, and its expiry is
// not yet proposed.
func (l *registrationRenewals) isExpired(incarnation vwid.Incarnation, now time.Time, period time.Duration) bool {
	last := l.trackedSince
	if at := l.lastRenewal[incarnation]; at.After(last) {
		last = at
	}
	return now.Sub(last) > period && !l.pendingExpiry[incarnation]
}

// expireRegistrations proposes the expiry of registrations that were not renewed.
func (c *core) expireRegistrations() {
	var expired []vwid.Incarnation
	for _, registration := range c.state.RegistrationsWhere(func(r *vwstate.Registration) bool {
		return !r.Ended() && r.Role != vwstate.RoleControl && c.renewals.isExpired(r.Incarnation, c.now, c.settings.RegistrationPeriod)
	}) {
		expired = append(expired, registration.Incarnation)
	}
	if len(expired) == 0 {
		return
	}
	for _, incarnation := range expired {
		c.renewals.pendingExpiry[incarnation] = true
	}
	c.settings.Logger.Info("proposing expiry of registrations", "incarnations", expired)
	command := vwstate.Command{Expire: &vwstate.Expire{Incarnations: expired}}
	c.proposeCommand(command, func(_ vwmessage.Body, err error) {
		if err != nil {
			c.settings.Logger.Warn("expiry of registrations not confirmed", "error", err)
		}
		if err != nil && !vwverdict.IsNotRun(err) {
			// The command may still be committed, so these registrations get no lease from this leadership.
			return
		}
		for _, incarnation := range expired {
			delete(c.renewals.pendingExpiry, incarnation)
		}
	})
}

// serveRenewal answers a lease request after a linearizable read has confirmed that this member still leads and has
// applied every committed entry.
func (c *core) serveRenewal(request *vwmessage.LeaseRequest, answer Answer) {
	received := c.now
	c.awaitReadIndex(func(err error) {
		switch {
		case err != nil:
			answer(nil, err)
		case c.renewals.pendingExpiry[request.Incarnation]:
			// The expiry may or may not be committed, so neither a grant nor "expired" would be correct.
			answer(nil, vwverdict.Errorf(vwverdict.NotRun, "the registration of %s is being ended", request.Incarnation))
		case request.Held > c.state.Version():
			answer(nil, vwverdict.Errorf(vwverdict.NotRun, "configuration version %d is held, but %d is the newest", request.Held, c.state.Version()))
		default:
			answer(c.grantLease(request, received), nil)
		}
	})
}

// grantLease renews the live registrations of a request as of the time at which it was received, and lists the others as
// expired.
func (c *core) grantLease(request *vwmessage.LeaseRequest, received time.Time) *vwmessage.LeaseReply {
	config := c.state.Config()
	reply := &vwmessage.LeaseReply{Version: config.Version, RemainingMilliseconds: c.settings.Lease.Milliseconds()}
	switch {
	case request.Held >= config.Version:
	case request.FetchesRules:
		reply.RulesParts = c.rulesParts.Update(config)
	default:
		reply.Rules = config.Text
	}
	for _, incarnation := range append([]vwid.Incarnation{request.Incarnation}, request.Relayed...) {
		if !c.state.IsLive(incarnation) || c.renewals.pendingExpiry[incarnation] {
			reply.Expired = append(reply.Expired, incarnation)
			continue
		}
		c.renewals.renew(incarnation, received)
	}
	if !c.state.IsLive(request.Incarnation) {
		reply.RemainingMilliseconds = 0
	}
	entries := c.liveEntries()
	vwmessage.MakeEntryList(entries, c.memberAddresses()).Write(request, reply)
	if at := slices.IndexFunc(entries, func(e vwmessage.EntryAddress) bool { return e.Incarnation == request.Incarnation }); at >= 0 {
		c.rotation.serve(received, &entries[at], request.InRotation, reply)
	}
	return reply
}

// memberAddresses returns the addresses of the control members, voters first.
func (c *core) memberAddresses() []string {
	membership := c.node.Status().Membership
	addresses := make([]string, 0, len(membership.Voters)+len(membership.Learners))
	for _, member := range membership.All() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func (c *core) liveEntries() []vwmessage.EntryAddress {
	var entries []vwmessage.EntryAddress
	for _, r := range c.state.RegistrationsWhere(func(r *vwstate.Registration) bool { return r.Role == vwstate.RoleEntry && !r.Ended() }) {
		entries = append(entries, vwmessage.EntryAddress{Incarnation: r.Incarnation, Process: r.Process, DataCentre: r.DataCentre, Address: r.Address})
	}
	return entries
}
