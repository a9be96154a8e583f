package vwagent

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/request/vwstart"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// registration is the state of an agent under one incarnation, under which control has one registration of it. The
// control goroutine owns it.
type registration struct {
	agent       *Agent
	incarnation vwid.Incarnation
	endpoint    Endpoint
	// linkGroup runs the links and workGroup the calls to the backend server.
	linkGroup *vwgroup.Group
	workGroup *vwgroup.Group

	lease      Lease
	records    *vwstart.Records
	lastExpiry time.Time
	granter    *vwdispatch.Granter
	// dirty is set when credits must be decided again.
	dirty bool
	// appliedPolicy identifies the policy that the granter uses.
	appliedPolicy policyKey

	// recordedFresh and recordedVersion are the state of the lease that was last recorded in the event log.
	recordedFresh   bool
	recordedVersion vwid.ConfigVersion

	// readingRules is set while control is asked for the rules, and readRulesAt is when it may be asked again.
	readingRules bool
	readRulesAt  time.Time

	choice  entryChoice
	targets map[string]*target
	// entriesByAddress holds the entries that lease replies or Options.FindEntries list, and lastListedAt is when any
	// were last listed.
	entriesByAddress map[string]listedEntry
	lastListedAt     time.Time
	// refreshedAt is when the entries to link to were last chosen.
	refreshedAt time.Time
	// incarnationByAddress holds the incarnation of the entry that each address last led to.
	incarnationByAddress map[string]vwid.Incarnation
	// links holds the newest link to each entry incarnation.
	links map[vwid.Incarnation]*link

	waiting []waitingTask
	running map[taskKey]*runningTask

	// expired is set once the registration has expired; no task starts from then on.
	expired     bool
	ackDeadline time.Time
	// receivedStarts counts the Start messages of entries.
	receivedStarts uint64
}

// taskKey identifies a task across submissions.
type taskKey struct {
	submission vwid.SubmissionID
	task       vwid.TaskID
}

// policyKey identifies the policy of one service under one configuration.
type policyKey struct {
	version vwid.ConfigVersion
	service vwid.Service
}

func makeRegistration(a *Agent, incarnation vwid.Incarnation, endpoint Endpoint) *registration {
	return &registration{
		agent:       a,
		incarnation: incarnation,
		endpoint:    endpoint,
		linkGroup:   vwgroup.Make(a.group.Context()),
		workGroup:   vwgroup.Make(a.group.Context()),
		lease:       a.options.MakeLease(),
		records: vwstart.Make(vwstart.Limits{
			Records: a.settings.MaxRecords, Bytes: a.settings.ResultBytes, Tombstones: a.settings.Tombstones,
		}),
		granter: vwdispatch.MakeGranter(vwdispatch.GranterSettings{
			OverCommit:      a.settings.OverCommit,
			StandingCredits: a.settings.Standing,
			DataCentre:      a.settings.DataCentre,
		}),
		targets:              map[string]*target{},
		entriesByAddress:     map[string]listedEntry{},
		incarnationByAddress: map[string]vwid.Incarnation{},
		links:                map[vwid.Incarnation]*link{},
		running:              map[taskKey]*runningTask{},
	}
}

// close ends the links and the running tasks and waits for their goroutines. It must not run in the
// control goroutine while that serves events.
func (r *registration) close() {
	_ = r.workGroup.Stop()
	_ = r.linkGroup.Stop()
	if err := r.endpoint.Close(); err != nil {
		r.agent.logger.Warn("closing the endpoint failed", "Error", err.Error())
	}
}

// refusalReason returns why no task may start now, or an empty string if tasks may start.
func (r *registration) refusalReason(now time.Time) string {
	backend := &r.agent.backend
	switch {
	case r.expired:
		return "the registration of the agent has ended"
	case r.agent.stopping:
		return "the agent is stopping"
	case backend.leaving:
		return "the backend server is leaving"
	case !backend.reachable:
		return "no backend server is announced"
	}
	rules, fresh := r.lease.Rules(now)
	if !fresh {
		return "the configuration lease of the agent is not fresh"
	}
	if rules.IsOut(r.agent.settings.DataCentre) {
		return "data centre " + string(r.agent.settings.DataCentre) + " is out of service"
	}
	return ""
}

// slots returns how many tasks may run at a time.
func (r *registration) slots() int {
	return min(r.agent.backend.slots, r.agent.settings.Slots)
}

// updateCredits grants and recalls credits if the state has changed.
func (r *registration) updateCredits(now time.Time) {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.updatePolicy(now)
	if r.refusalReason(now) == "" {
		r.granter.SetSlots(r.slots())
	} else {
		r.granter.SetSlots(0)
	}
	for _, action := range r.granter.Decide(now) {
		r.applyAction(action)
	}
	if at, needed := r.granter.NextDecision(); needed {
		r.agent.retryTimer.Reset(at.Sub(now))
	}
}

// updatePolicy passes the teams' shares and priorities to the granter when the rules or the service have
// changed.
func (r *registration) updatePolicy(now time.Time) {
	rules, fresh := r.lease.Rules(now)
	key := policyKey{r.lease.Held(), r.agent.backend.service}
	if !fresh || r.appliedPolicy == key {
		return
	}
	r.appliedPolicy = key
	r.granter.SetPolicy(vwdispatch.MakePolicy(rules, r.agent.backend.service, 1))
}

func (r *registration) applyAction(action vwdispatch.Action) {
	l := r.links[action.Entry]
	if l == nil {
		return
	}
	if action.Grant > 0 {
		l.credits += action.Grant
		l.send(&vwmessage.Credit{Service: r.agent.backend.service, Count: action.Grant, Team: action.Team})
	}
	if action.Recall > 0 {
		l.send(&vwmessage.CreditRecall{Count: action.Recall})
	}
}

// attach makes l the newest link to its entry. It reports false if the registration or the target of l has been
// replaced.
func (r *registration) attach(l *link) bool {
	if r != r.agent.current || r.targets[l.target.address] != l.target {
		return false
	}
	if older := r.links[l.entry]; older != nil {
		r.retire(older)
	}
	l.target.link = l
	r.links[l.entry] = l
	r.incarnationByAddress[l.target.address] = l.entry
	r.agent.record(vwevent.Event{Kind: vwevent.ConnectionOpened, Peer: l.session.Peer().Process})
	r.agent.logger.Info("link opened", "Entry", string(l.session.Peer().Process), "Address", l.target.address)
	l.queueRegister()
	if r.agent.runner != nil {
		r.agent.runner.attach(time.Now(), l)
	}
	return true
}

// onRegistered starts to grant credits over l. Before the entry has registered the agent over l it drops
// credits.
func (r *registration) onRegistered(l *link) {
	if l.retired || r != r.agent.current {
		return
	}
	if l.draining || r.expired || r.agent.stopping || r.agent.backend.leaving {
		r.sendLeaving(l)
		return
	}
	r.granter.AddEntry(l.entry, l.session.Peer().DataCentre)
	r.dirty = true
}

// sendLeaving tells an entry that no more credits follow. The entry drops those that it holds.
func (r *registration) sendLeaving(l *link) {
	l.credits = 0
	r.granter.RemoveEntry(l.entry)
	r.dirty = true
	l.send(&vwmessage.Leaving{})
}

// retire closes a link and stops the processing of its messages. Tasks of the link that wait for a slot are
// dropped: the fence reply on the next link omits them, so the entry can send them elsewhere.
func (r *registration) retire(l *link) {
	if l == nil || l.retired {
		return
	}
	l.retired = true
	r.agent.record(vwevent.Event{Kind: vwevent.ConnectionClosed, Peer: l.session.Peer().Process})
	if l.target.link == l {
		l.target.link = nil
	}
	if r.links[l.entry] == l {
		delete(r.links, l.entry)
		r.granter.RemoveEntry(l.entry)
	}
	r.dropWaiting(func(w *waitingTask) bool { return w.link == l })
	if r.agent.runner != nil {
		r.agent.runner.detach(time.Now(), l)
	}
	r.dirty = true
	_ = l.session.Close()
}
