package vwentry

import (
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
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
	request, err := ask(ctx, e, e.makeLeaseRequest)
	if err != nil {
		return
	}
	sent := time.Now()
	limited, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := e.control.Renew(limited, request)
	if err != nil {
		e.log.Warn("configuration lease not renewed", "error", err)
		return
	}
	e.post(func() { e.takeLease(sent, reply) })
}

func (e *Entry) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	outcome, err := e.control.Propose(ctx, vwstate.Command{Register: &vwstate.Register{Registration: vwstate.Registration{
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
		e.log.Error("registration refused; the entry must be restarted", "refusal", string(outcome.Refusal))
		return false
	}
	e.post(func() { e.registered = true })
	return true
}

func (e *Entry) makeLeaseRequest() *vwmessage.LeaseRequest {
	request := &vwmessage.LeaseRequest{Incarnation: e.incarnation, Held: e.applied}
	for _, w := range e.workers {
		if w.heard {
			request.Relayed = append(request.Relayed, w.Incarnation)
			w.heard = false
		}
	}
	slices.Sort(request.Relayed)
	return request
}

func (e *Entry) takeLease(sent time.Time, reply *vwmessage.LeaseReply) {
	if err := e.holder.Take(sent, reply); err != nil {
		e.log.Error("lease reply refused", "error", err)
		return
	}
	e.entries = reply.Entries
	e.expired = map[vwid.Incarnation]bool{}
	for _, incarnation := range reply.Expired {
		e.expired[incarnation] = true
	}
	if e.expired[e.incarnation] {
		e.loseOwnership()
	}
	if e.holder.version != e.applied {
		e.applyRules()
	}
}

// loseOwnership handles the end of the entry's own registration, for example after a long partition.
// Other entries may have taken its jobs over, so it must answer for none of them. It goes on as a new
// incarnation only by a restart of the process.
func (e *Entry) loseOwnership() {
	if !e.registered {
		return
	}
	e.log.Error("registration has ended; jobs are given up and the entry stops accepting")
	e.stopping = true
	for _, j := range e.jobs {
		if !j.Ended() && j.accepted {
			e.loseJob(j)
		}
	}
}

func (e *Entry) applyRules() {
	e.applied = e.holder.version
	e.rules = e.holder.rules
	e.queue.SetPolicy(e.makePolicy())
	e.log.Info("configuration in force", "version", uint64(e.applied))
	announce := &vwmessage.ConfigAnnounce{Version: e.applied}
	for _, w := range e.workers {
		if w.session != nil {
			_ = w.session.Send(e.group.Context(), announce)
		}
	}
}

// makePolicy gives each entry its part of the amounts that hold for the whole cluster.
func (e *Entry) makePolicy() vwdispatch.Policy {
	policy := vwdispatch.Policy{Teams: map[vwid.Team]vwdispatch.TeamPolicy{}, Out: map[vwid.DataCentre]bool{}}
	entries := max(len(e.entries), 1)
	for _, service := range e.rules.Services() {
		for _, team := range e.rules.Teams() {
			policy.Teams[team] = makeTeamPolicy(e.rules.Team(service, team).PerEntry(entries))
		}
	}
	policy.Default = makeTeamPolicy(e.rules.Team("", "").PerEntry(entries))
	for _, dataCentre := range e.rules.Out() {
		policy.Out[dataCentre] = true
	}
	return policy
}

func makeTeamPolicy(p vwrule.TeamPolicy) vwdispatch.TeamPolicy {
	return vwdispatch.TeamPolicy{
		Weight:     float64(p.Weight),
		Priority:   p.Priority,
		Quota:      p.Quota,
		InFlight:   p.Limits.InFlight,
		QueueTasks: p.Limits.QueueLength,
		QueueBytes: int(p.Limits.QueueBytes),
		Rate:       p.Limits.Rate,
	}
}

// relayLease answers an agent's request from the entry's own lease.
func (e *Entry) relayLease(request *vwmessage.LeaseRequest, reply vwlink.Reply) {
	now := time.Now()
	if w := e.workers[request.Incarnation]; w != nil {
		w.heard = true
	}
	answer := e.holder.Relay(now, request.Held)
	answer.Entries = e.entries
	if e.expired[request.Incarnation] {
		answer.Expired = []vwid.Incarnation{request.Incarnation}
		answer.RemainingMilliseconds = 0
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
