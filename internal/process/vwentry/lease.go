package vwentry

import (
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// leaseDuration is the longest lease that an entry accepts.
	leaseDuration = 2 * time.Second
	renewInterval = 500 * time.Millisecond
	// renewTimeout gives up a renewal early enough for two more before the lease ends.
	renewTimeout    = 600 * time.Millisecond
	refreshInterval = time.Second
	registerTimeout = 2 * time.Second
)

// keepLease registers the entry and renews its configuration lease, together with the registrations
// of the agents that were heard of since the last renewal.
func (e *Entry) keepLease(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		e.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.announced:
		}
	}
}

func (e *Entry) renew(ctx context.Context) {
	registered, err := ask(ctx, e, func() bool { return e.registered })
	if err != nil {
		return
	}
	if !registered && !e.register(ctx) {
		return
	}
	message, err := ask(ctx, e, e.makeLeaseRequest)
	if err != nil {
		return
	}
	request := e.holder.Request(time.Now())
	message.Held = request.Held
	limited, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := e.control.Renew(limited, message)
	if err != nil {
		e.log.Warn("configuration lease not renewed", "error", err)
		return
	}
	e.post(func() { e.takeLease(request, reply) })
}

func (e *Entry) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	outcome, err := vweditor.Propose(ctx, e.control, vwstate.Command{Register: &vwstate.Register{Registration: vwstate.Registration{
		Incarnation: e.incarnation,
		Process:     e.settings.Process,
		Role:        vwstate.RoleEntry,
		DataCentre:  e.settings.DataCentre,
		Rack:        e.settings.Rack,
		Address:     e.settings.LinkAddress,
	}}})
	if err != nil {
		e.log.Warn("entry not registered", "error", err)
		return false
	}
	if outcome.Refusal != vwstate.RefusalNone {
		// An earlier attempt whose outcome was lost has been registered and has expired since.
		e.log.Error("registration refused", "refusal", string(outcome.Refusal))
		e.post(e.loseOwnership)
		return false
	}
	e.post(func() { e.registered = true })
	return true
}

func (e *Entry) makeLeaseRequest() *vwmessage.LeaseRequest {
	return &vwmessage.LeaseRequest{Incarnation: e.incarnation, Relayed: e.takeHeard(), EntriesDigest: e.entries.Digest}
}

// takeHeard returns the agents that were heard of since the last call.
func (e *Entry) takeHeard() []vwid.Incarnation {
	var heard []vwid.Incarnation
	for _, w := range e.workers {
		if w.heard {
			heard = append(heard, w.Incarnation)
			w.heard = false
		}
	}
	slices.Sort(heard)
	return heard
}

func (e *Entry) takeLease(request vwlease.Request, reply *vwmessage.LeaseReply) {
	if slices.Contains(reply.Expired, e.incarnation) {
		e.loseOwnership()
		return
	}
	if _, err := e.holder.Renew(request, reply.Grant()); err != nil {
		e.log.Error("lease reply refused", "error", err)
		return
	}
	e.recordLease(time.Now())
	e.entries = e.entries.Read(reply)
	e.expired = map[vwid.Incarnation]bool{}
	for _, incarnation := range reply.Expired {
		e.expired[incarnation] = true
	}
	if e.holder.Version() != e.applied || len(e.entries.Entries) != e.appliedFor {
		e.applyRules()
	}
}

// loseOwnership handles the end of the entry's own registration, for example after a long partition.
// Other entries may have taken its jobs over, so it must answer for none of them.
func (e *Entry) loseOwnership() {
	if e.isLost() {
		return
	}
	e.log.Error("registration has ended; the entry gives up its jobs")
	e.stopping = true
	for _, j := range e.jobs {
		if !j.Ended() && j.accepted {
			e.loseJob(j)
		}
	}
	close(e.lost)
}

func (e *Entry) isLost() bool {
	select {
	case <-e.lost:
		return true
	default:
		return false
	}
}

func (e *Entry) applyRules() {
	changed, before := e.holder.Version() != e.applied, e.rules
	e.applied, e.appliedFor = e.holder.Version(), len(e.entries.Entries)
	e.rules = e.holder.Rules()
	policy := vwdispatch.MakePolicy(e.rules, e.mainService(), max(len(e.entries.Entries), 1))
	policy.QueueTasks = lower(policy.QueueTasks, e.settings.QueueTasks)
	policy.QueueBytes = lower(policy.QueueBytes, int(e.settings.QueueBytes))
	e.queue.SetPolicy(policy)
	if !changed {
		return
	}
	e.effort.apply(e.rules, e.applied)
	e.recordConfig(before, e.rules)
	e.log.Info("configuration in force", "version", uint64(e.applied))
	announce := &vwmessage.ConfigAnnounce{Version: e.applied}
	for _, w := range e.workers {
		if w.session != nil {
			_ = w.session.Send(e.group.Context(), announce)
		}
	}
}

// lower returns the lower of two limits, of which zero is none.
func lower(one, other int) int {
	if one <= 0 || other <= 0 {
		return max(one, other)
	}
	return min(one, other)
}

// mainService returns the service whose policy the queue follows. The queue keeps one policy for each
// team, so with several services the first declared one decides.
func (e *Entry) mainService() vwid.Service {
	if services := e.rules.Services(); len(services) > 0 {
		return services[0]
	}
	return ""
}

// relayLease answers an agent's request from the entry's own lease.
func (e *Entry) relayLease(request *vwmessage.LeaseRequest, reply vwlink.Reply) {
	now := time.Now()
	if w := e.workers[request.Incarnation]; w != nil {
		w.heard = true
	}
	answer := &vwmessage.LeaseReply{}
	e.entries.Write(request, answer)
	if e.expired[request.Incarnation] {
		answer.Expired = []vwid.Incarnation{request.Incarnation}
	} else if grant, ok := e.holder.Relay(now, request.Held); ok {
		answer.SetGrant(grant)
	}
	reply(answer, nil)
}

// refreshRegistrations reads the registrations while an agent is out of reach, to learn whether its
// registration has ended.
func (e *Entry) refreshRegistrations(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		needed, err := ask(ctx, e, e.needsRegistrations)
		if err != nil || !needed {
			continue
		}
		view, err := e.readRegistrations(ctx)
		if err != nil {
			e.log.Warn("registrations not read", "error", err)
			continue
		}
		e.post(func() { e.takeRegistrations(view) })
	}
}

func (e *Entry) readRegistrations(ctx context.Context) (vwstate.View, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return e.control.Read(ctx, vwstate.Query{Registrations: true})
}

func (e *Entry) needsRegistrations() bool {
	if e.settling > 0 {
		return true
	}
	for _, w := range e.workers {
		if w.session == nil {
			return true
		}
	}
	return false
}

func (e *Entry) takeRegistrations(view vwstate.View) {
	live := map[vwid.Incarnation]bool{}
	for i := range view.Registrations {
		if !view.Registrations[i].Ended() {
			live[view.Registrations[i].Incarnation] = true
		}
	}
	for _, w := range e.workers {
		if w.session == nil && !live[w.Incarnation] {
			e.loseWorker(w)
		}
	}
	for _, j := range e.jobs {
		if j.settlement != nil {
			e.settleGone(j, live)
		}
	}
}

// Version returns the configuration version that the entry acts under.
func (e *Entry) Version(ctx context.Context) vwid.ConfigVersion {
	version, err := ask(ctx, e, func() vwid.ConfigVersion { return e.applied })
	if err != nil {
		return 0
	}
	return version
}
