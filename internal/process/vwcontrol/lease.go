package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// stallLimit is how long the member may have been unable to handle renewals, for example by a slow
// sync, before it gives all holders a full period again.
const stallLimit = time.Second

// leases is the leader's memory of who renewed when.
type leases struct {
	// since is the start of the leadership, or the end of a stall. Renewals before it are unknown.
	since   time.Time
	renewed map[vwid.Incarnation]time.Time
	// ending are the registrations whose Expire is in the log but not yet applied. They get no lease.
	ending map[vwid.Incarnation]bool
}

func (l *leases) restart(now time.Time) {
	l.since = now
	l.renewed = map[vwid.Incarnation]time.Time{}
	l.ending = map[vwid.Incarnation]bool{}
}

// postpone gives all holders a full period from now on.
func (l *leases) postpone(now time.Time) {
	l.since = now
}

func (l *leases) renew(incarnation vwid.Incarnation, now time.Time) {
	l.renewed[incarnation] = now
}

// observe takes over what an applied command says about registrations.
func (l *leases) observe(command vwstate.Command, now time.Time) {
	if command.Register != nil {
		l.renew(command.Register.Registration.Incarnation, now)
	}
	if command.Expire != nil {
		for _, incarnation := range command.Expire.Incarnations {
			delete(l.renewed, incarnation)
		}
	}
}

// lapsed reports whether a registration was not renewed for a full period of this leadership.
func (l *leases) lapsed(incarnation vwid.Incarnation, now time.Time, period time.Duration) bool {
	last := l.since
	if at := l.renewed[incarnation]; at.After(last) {
		last = at
	}
	return now.Sub(last) > period && !l.ending[incarnation]
}

// expireRegistrations proposes the end of registrations that were not renewed.
func (c *core) expireRegistrations() {
	var lapsed []vwid.Incarnation
	for _, registration := range c.state.RegistrationsWhere(func(r *vwstate.Registration) bool {
		return !r.Ended() && r.Role != vwstate.RoleControl && c.leases.lapsed(r.Incarnation, c.now, c.settings.Registration)
	}) {
		lapsed = append(lapsed, registration.Incarnation)
	}
	if len(lapsed) == 0 {
		return
	}
	for _, incarnation := range lapsed {
		c.leases.ending[incarnation] = true
	}
	c.settings.Logger.Info("registrations expire", "incarnations", lapsed)
	command := vwstate.Command{Expire: &vwstate.Expire{Incarnations: lapsed}}
	c.proposeCommand(command, func(_ vwmessage.Body, err error) {
		if err != nil {
			c.settings.Logger.Warn("registrations not expired", "error", err)
		}
		if err != nil && !vwverdict.IsNotRun(err) {
			// The command may still be committed, so these registrations get no lease from this leadership.
			return
		}
		for _, incarnation := range lapsed {
			delete(c.leases.ending, incarnation)
		}
	})
}

// renew answers a lease request once this member is sure that it still leads and its state is current.
func (c *core) renew(request *vwmessage.LeaseRequest, answer Answer) {
	received := c.now
	c.whenCurrent(func(err error) {
		switch {
		case err != nil:
			answer(nil, err)
		case c.leases.ending[request.Incarnation]:
			// Whether the registration ends is not yet decided, so neither answer would be true.
			answer(nil, vwverdict.Errorf(vwverdict.NotRun, "the registration of %s is being ended", request.Incarnation))
		case request.Held > c.state.Version():
			answer(nil, vwverdict.Errorf(vwverdict.NotRun, "configuration version %d is held, but %d is the newest", request.Held, c.state.Version()))
		default:
			answer(c.grant(request, received), nil)
		}
	})
}

func (c *core) grant(request *vwmessage.LeaseRequest, received time.Time) *vwmessage.LeaseReply {
	config := c.state.Config()
	reply := &vwmessage.LeaseReply{Version: config.Version, RemainingMilliseconds: c.settings.Lease.Milliseconds()}
	if request.Held < config.Version {
		reply.Rules = config.Text
	}
	for _, incarnation := range append([]vwid.Incarnation{request.Incarnation}, request.Relayed...) {
		if !c.state.IsLive(incarnation) || c.leases.ending[incarnation] {
			reply.Expired = append(reply.Expired, incarnation)
			continue
		}
		c.leases.renew(incarnation, received)
	}
	if !c.state.IsLive(request.Incarnation) {
		reply.RemainingMilliseconds = 0
	}
	vwmessage.MakeEntryList(c.liveEntries(), c.memberAddresses()).Write(request, reply)
	return reply
}

// memberAddresses returns where the control members are reached, the voters first.
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
