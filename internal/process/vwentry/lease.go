package vwentry

import (
	"context"
	"slices"
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vweditor"
	"vanillawind.example/vanillawind/internal/process/vwspread"
	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// leaseDuration is the longest lease that an entry accepts.
	leaseDuration = 2 * time.Second
	renewInterval = 500 * time.Millisecond
	// renewTimeout leaves time for two more renewals before the lease expires.
	renewTimeout    = 600 * time.Millisecond
	refreshInterval = time.Second
	// controlTimeout bounds registrations, reads from control, the fetch of an ended job's answer from its owner, and
	// the end of the registration in Stop.
	controlTimeout = 2 * time.Second
)

// keepLease registers the entry and renews its configuration lease, together with the registrations of the
// agents that sent a registration or a lease request since the last renewal.
func (e *Entry) keepLease(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		e.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.renewNow:
		}
	}
}

func (e *Entry) renew(ctx context.Context) {
	registered, err := runOnLoop(ctx, e, func() bool { return e.registered })
	if err != nil {
		return
	}
	if !registered && !e.register(ctx) {
		return
	}
	message, err := runOnLoop(ctx, e, e.makeLeaseRequest)
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
	e.post(func() { e.handleLeaseReply(request, reply) })
}

// expireLease ends the lease after a suspension of the machine, so that the entry starts nothing under it and grants agents
// nothing of it, and renews it at once.
func (e *Entry) expireLease(now time.Time) {
	e.holder.Expire(now)
	e.spread.Store(e.spread.Load().Expire())
	e.renewSoon()
}

// renewSoon triggers a renewal before the next interval.
func (e *Entry) renewSoon() {
	select {
	case e.renewNow <- struct{}{}:
	default:
	}
}

func (e *Entry) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
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
		// An earlier attempt, whose outcome was lost, registered this incarnation, and that registration
		// has expired since.
		e.log.Error("registration refused", "refusal", string(outcome.Refusal))
		e.post(e.handleRegistrationLoss)
		return false
	}
	e.post(func() { e.registered = true })
	return true
}

func (e *Entry) makeLeaseRequest() *vwmessage.LeaseRequest {
	return &vwmessage.LeaseRequest{Incarnation: e.incarnation, Relayed: e.takeSeenAgents(), EntriesDigest: e.entries.Digest, FetchesRules: true, InRotation: e.takesCallers(time.Now())}
}

// takeSeenAgents returns the agents that sent a registration or a lease request since the last call.
func (e *Entry) takeSeenAgents() []vwid.Incarnation {
	var agents []vwid.Incarnation
	for _, w := range e.agents {
		if w.seenSinceRenewal {
			agents = append(agents, w.Incarnation)
			w.seenSinceRenewal = false
		}
	}
	slices.Sort(agents)
	return agents
}

func (e *Entry) handleLeaseReply(request vwlease.Request, reply *vwmessage.LeaseReply) {
	if slices.Contains(reply.Expired, e.incarnation) {
		e.handleRegistrationLoss()
		return
	}
	if len(reply.RulesParts) > 0 && reply.Version > e.holder.Version() {
		e.rulesFetch.setTarget(rulesTarget{request: request, grant: reply.Grant(), parts: reply.RulesParts})
	} else if _, err := e.holder.Renew(request, reply.Grant()); err != nil {
		e.log.Error("lease reply refused", "error", err)
		return
	}
	e.recordLease(time.Now())
	e.entries = e.entries.Read(reply)
	e.observeRotation(time.Now(), vwspread.Rotation{Near: reply.EntriesNear, DataCentres: reply.EntryDataCentres})
	e.expiredRegistrations = map[vwid.Incarnation]bool{}
	for _, incarnation := range reply.Expired {
		e.expiredRegistrations[incarnation] = true
	}
	e.applyChangedRules()
}

func (e *Entry) applyChangedRules() {
	if e.holder.Version() != e.appliedVersion || len(e.entries.Entries) != e.appliedEntryCount {
		e.applyRules()
	}
}

// handleRegistrationLoss abandons the recorded jobs after the entry's own registration has ended, for example
// after a long partition: other entries may have taken them over, so this entry must not answer them.
func (e *Entry) handleRegistrationLoss() {
	if e.hasLostRegistration() {
		return
	}
	e.log.Error("registration has ended; abandoning the jobs of this entry")
	e.stopping = true
	for _, j := range e.jobs {
		if !j.Ended() && j.hasRecord {
			e.abandonJob(j)
		}
	}
	close(e.lost)
}

func (e *Entry) hasLostRegistration() bool {
	select {
	case <-e.lost:
		return true
	default:
		return false
	}
}

func (e *Entry) applyRules() {
	changed, before := e.holder.Version() != e.appliedVersion, e.rules
	e.appliedVersion, e.appliedEntryCount = e.holder.Version(), len(e.entries.Entries)
	e.rules = e.holder.Rules()
	policy := vwdispatch.MakePolicy(e.rules, e.mainService(), max(len(e.entries.Entries), 1))
	policy.QueueTasks = lowerLimit(policy.QueueTasks, e.settings.QueueTasks)
	policy.QueueBytes = lowerLimit(policy.QueueBytes, int(e.settings.QueueBytes))
	e.queue.SetPolicy(policy)
	if !changed {
		return
	}
	e.bestEffort.apply(e.rules, e.appliedVersion)
	e.recordConfig(before, e.rules)
	e.log.Info("configuration in force", "version", uint64(e.appliedVersion))
	announce := &vwmessage.ConfigAnnounce{Version: e.appliedVersion}
	for _, w := range e.agents {
		if w.session != nil {
			_ = w.session.Send(e.group.Context(), announce)
		}
	}
}

// lowerLimit returns the lower of two limits, where zero stands for no limit.
func lowerLimit(one, other int) int {
	if one <= 0 || other <= 0 {
		return max(one, other)
	}
	return min(one, other)
}

// mainService returns the service whose policy the queue applies. The queue keeps one policy per team, so
// with several services the first declared one is used.
func (e *Entry) mainService() vwid.Service {
	if services := e.rules.Services(); len(services) > 0 {
		return services[0]
	}
	return ""
}

// relayLease answers an agent's request from the entry's own lease.
func (e *Entry) relayLease(request *vwmessage.LeaseRequest, reply vwlink.Reply) {
	now := time.Now()
	if w := e.agents[request.Incarnation]; w != nil {
		w.seenSinceRenewal = true
	}
	answer := &vwmessage.LeaseReply{}
	e.entries.Write(request, answer)
	if e.expiredRegistrations[request.Incarnation] {
		answer.Expired = []vwid.Incarnation{request.Incarnation}
	} else if grant, ok := e.holder.Relay(now, request.Held); ok {
		answer.SetGrant(grant)
	}
	reply(answer, nil)
}

// refreshRegistrations polls the registrations while an agent has no link or a recovery is in progress, to
// detect agents whose registration has ended.
func (e *Entry) refreshRegistrations(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		waiting, err := runOnLoop(ctx, e, e.awaitedRegistrations)
		if err != nil || waiting.isEmpty() {
			continue
		}
		view, err := e.readRegistrations(ctx)
		if err != nil {
			e.log.Warn("registrations not read", "error", err)
			continue
		}
		e.post(func() { e.handleRegistrations(waiting, view) })
	}
}

func (e *Entry) readRegistrations(ctx context.Context) (vwstate.View, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return e.control.Read(ctx, vwstate.Query{Registrations: true})
}

// awaitedRegistrations holds what waits for a list of registrations when the list is asked for: the agents without a link and
// the recoveries in progress. The list may be older than what came later, so it proves nothing about that.
type awaitedRegistrations struct {
	agents     map[vwid.Incarnation]bool
	recoveries map[*recovery]bool
}

func (w *awaitedRegistrations) isEmpty() bool {
	return len(w.agents) == 0 && len(w.recoveries) == 0
}

func (e *Entry) awaitedRegistrations() awaitedRegistrations {
	waiting := awaitedRegistrations{agents: map[vwid.Incarnation]bool{}, recoveries: map[*recovery]bool{}}
	for incarnation, w := range e.agents {
		if w.session == nil {
			waiting.agents[incarnation] = true
		}
	}
	if e.recoveringJobs == 0 {
		return waiting
	}
	for _, j := range e.jobs {
		if j.recovery != nil {
			waiting.recoveries[j.recovery] = true
		}
	}
	return waiting
}

// handleRegistrations handles a list of registrations that was asked for when waiting was made.
func (e *Entry) handleRegistrations(waiting awaitedRegistrations, view vwstate.View) {
	live := map[vwid.Incarnation]bool{}
	for i := range view.Registrations {
		if !view.Registrations[i].Ended() {
			live[view.Registrations[i].Incarnation] = true
		}
	}
	for incarnation, w := range e.agents {
		if w.session == nil && waiting.agents[incarnation] && !live[incarnation] {
			e.handleWorkerLoss(w)
		}
	}
	for _, j := range e.jobs {
		if j.recovery != nil && waiting.recoveries[j.recovery] {
			e.dropUnreachableAgents(j, live)
		}
	}
}

// Version returns the configuration version that the entry has applied, and 0 if ctx is done first.
func (e *Entry) Version(ctx context.Context) vwid.ConfigVersion {
	version, err := runOnLoop(ctx, e, func() vwid.ConfigVersion { return e.appliedVersion })
	if err != nil {
		return 0
	}
	return version
}
