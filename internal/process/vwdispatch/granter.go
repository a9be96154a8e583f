package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// GranterSettings holds the settings of a Granter.
type GranterSettings struct {
	Slots int
	// OverCommit is by how many the credits and running tasks together may exceed the slots, so that a
	// task is already at the agent when a slot becomes free. It applies only while many tasks wait.
	OverCommit int
	// StandingCredits is the maximum number of credits that an entry without waiting tasks holds; zero means
	// DefaultStandingCredits, and a negative number none. The agent keeps the other idle slots and can grant
	// them to any entry without a recall.
	StandingCredits int
	// DataCentre is the agent's own data centre.
	DataCentre vwid.DataCentre
	// Policy gives the shares and priorities of the teams.
	Policy Policy
}

// minCreditAge is how long after the last grant to an entry none of its credits is recalled for another
// entry. This avoids recalling a credit that was just granted, which is usually used already; cf. the
// hysteresis of the push thresholds in "Peer-to-Peer Caching Schemes to Address Flash Crowds".
const minCreditAge = 10 * time.Millisecond

// DefaultStandingCredits is the default of GranterSettings.StandingCredits.
const DefaultStandingCredits = 1

// DefaultOverCommit is the over-commit that the policy benchmark uses.
const DefaultOverCommit = 1

// overCommitBacklog is how many tasks must wait per slot before credits may exceed the slots. With
// fewer, the task that waits at the agent would often find a free slot at another worker.
const overCommitBacklog = 3

// Action is a decision of a Granter about one entry. One of Grant and Recall is zero.
type Action struct {
	Entry vwid.Incarnation
	// Team is the team whose waiting tasks the credits are granted for, empty for standing credits.
	Team   vwid.Team
	Grant  int
	Recall int
}

// Granter divides the slots of one worker as credits among the entries.
type Granter struct {
	settings   GranterSettings
	entries    map[vwid.Incarnation]*entryState
	entryOrder []*entryState
	teams      map[vwid.Team]*teamShare
	// teamOrder lists teams by first use, so that decisions do not depend on the order of a map.
	teamOrder []*teamShare
	now       time.Time
	// retryAt is when the next postponed recall becomes possible, zero when there is none.
	retryAt            time.Time
	runningTasks       int
	outstandingCredits int
	virtualTime        float64
	stopped            bool
	actions            []Action
}

// MakeGranter returns a Granter without entries.
func MakeGranter(settings GranterSettings) *Granter {
	if settings.StandingCredits == 0 {
		settings.StandingCredits = DefaultStandingCredits
	}
	return &Granter{settings: settings, entries: map[vwid.Incarnation]*entryState{}, teams: map[vwid.Team]*teamShare{}}
}

// AddEntry adds an entry. One that is already present is not changed.
func (g *Granter) AddEntry(entry vwid.Incarnation, dataCentre vwid.DataCentre) {
	if g.entries[entry] != nil {
		return
	}
	e := &entryState{incarnation: entry, dataCentre: dataCentre}
	g.entries[entry] = e
	g.entryOrder = append(g.entryOrder, e)
}

// RemoveEntry removes an entry and releases its credits. The caller must accept no more starts under
// them.
func (g *Granter) RemoveEntry(entry vwid.Incarnation) {
	e := g.entries[entry]
	if e == nil {
		return
	}
	e.clearDemand()
	g.outstandingCredits -= e.outstandingCredits
	delete(g.entries, entry)
	for i, other := range g.entryOrder {
		if other == e {
			g.entryOrder = append(g.entryOrder[:i], g.entryOrder[i+1:]...)
			break
		}
	}
}

// SetDemand replaces the recorded demand of an entry.
func (g *Granter) SetDemand(entry vwid.Incarnation, demand vwmessage.Demand) {
	e := g.entries[entry]
	if e == nil {
		return
	}
	e.clearDemand()
	e.setDemand(demand.Teams, g.shareOf)
}

// SetPolicy replaces the shares and priorities of the teams.
func (g *Granter) SetPolicy(policy Policy) {
	g.settings.Policy = policy
	for _, team := range g.teamOrder {
		team.policy = policy.team(team.name)
	}
}

// CreditsUsed records that an entry used n credits.
func (g *Granter) CreditsUsed(entry vwid.Incarnation, n int) {
	g.runningTasks += n
	g.releaseCredits(entry, n)
}

// CreditsReturned records that an entry returned n credits, zero when it had none left. It ends a recall.
func (g *Granter) CreditsReturned(entry vwid.Incarnation, n int) {
	g.releaseCredits(entry, n)
	if e := g.entries[entry]; e != nil {
		e.recalledCredits = 0
	}
}

// SlotsFreed records that n started tasks released their slots without a run.
func (g *Granter) SlotsFreed(n int) {
	g.runningTasks = max(0, g.runningTasks-n)
}

// Finished records that a task of the team ended after runTime. It corrects the charge for the task's
// credit, so that shares apply to slot time and not to numbers of tasks.
func (g *Granter) Finished(team vwid.Team, runTime time.Duration) {
	g.SlotsFreed(1)
	if found := g.teams[team]; found != nil {
		found.correctCharge(runTime)
	}
}

// SetSlots changes the number of slots. After a decrease, Decide recalls the excess credits.
func (g *Granter) SetSlots(n int) {
	g.settings.Slots = n
}

// Stop ends the granting of credits permanently. Decide then recalls all credits.
func (g *Granter) Stop() {
	g.stopped = true
}

// Outstanding returns the number of credits that entries hold.
func (g *Granter) Outstanding() int {
	return g.outstandingCredits
}

// Running returns the number of tasks that started and have not ended.
func (g *Granter) Running() int {
	return g.runningTasks
}

// Decide returns the credits to grant and to recall. The result is valid until the next call.
func (g *Granter) Decide(now time.Time) []Action {
	g.actions, g.now, g.retryAt = g.actions[:0], now, time.Time{}
	slots, limit := g.limits()
	for _, e := range g.entryOrder {
		e.setArrivals(now)
	}
	if g.unmetDemand() >= overCommitBacklog*slots {
		g.grantDemand(limit)
	} else {
		g.grantDemand(slots)
	}
	g.grantStanding(slots)
	for _, e := range g.entryOrder {
		g.actions = e.takeGrants(g.actions)
	}
	g.recall(limit)
	return g.actions
}

// limits returns the maximum number of running tasks and credits together, without and with
// over-commit. Both are zero for a worker without slots, as in a data centre that is out of service.
func (g *Granter) limits() (slots, limit int) {
	if g.stopped || g.settings.Slots <= 0 {
		return 0, 0
	}
	return g.settings.Slots, g.settings.Slots + g.settings.OverCommit
}

// unmetDemand returns the number of tasks that wait for a credit of this worker.
func (g *Granter) unmetDemand() int {
	sum := 0
	for _, e := range g.entryOrder {
		sum += e.unmetDemand
	}
	return sum
}

// grantDemand grants credits for waiting tasks, by the shares of the teams over all entries and
// within a team to the entry whose first waiting task arrived earliest.
func (g *Granter) grantDemand(limit int) {
	for g.runningTasks+g.outstandingCredits < limit {
		var team *teamShare
		for _, other := range g.teamOrder {
			if other.unmetDemand > 0 && other.ranksBefore(team) {
				team = other
			}
		}
		if team == nil {
			return
		}
		g.virtualTime = max(g.virtualTime, team.virtualTime)
		e, row := g.oldestDemand(team)
		row.addGrant()
		e.unmetDemand--
		g.addOutstanding(e)
	}
}

// oldestDemand returns the entry, and its row, whose first waiting task of the team arrived earliest.
func (g *Granter) oldestDemand(team *teamShare) (*entryState, *demandRow) {
	var best *entryState
	var first *demandRow
	for _, e := range g.entryOrder {
		if row := e.unmetRow(team); row != nil && (first == nil || row.firstArrival.Before(first.firstArrival)) {
			best, first = e, row
		}
	}
	return best, first
}

// grantStanding grants credits for idle slots to the entries with the fewest credits, so that a task
// that arrives at any entry can be sent at once.
func (g *Granter) grantStanding(limit int) {
	if len(g.entryOrder) == 0 {
		return
	}
	for g.runningTasks+g.outstandingCredits < limit {
		best := g.entryOrder[0]
		for _, e := range g.entryOrder[1:] {
			if g.prefersEntry(e, best) {
				best = e
			}
		}
		if best.outstandingCredits >= g.settings.StandingCredits {
			return
		}
		best.newStandingCredits++
		g.addOutstanding(best)
	}
}

// prefersEntry reports whether e is to get a standing credit before other.
func (g *Granter) prefersEntry(e, other *entryState) bool {
	if e.outstandingCredits != other.outstandingCredits {
		return e.outstandingCredits < other.outstandingCredits
	}
	return e.dataCentre == g.settings.DataCentre && other.dataCentre != g.settings.DataCentre
}

// addOutstanding counts one more credit that e holds.
func (g *Granter) addOutstanding(e *entryState) {
	e.lastGrant = g.now
	e.outstandingCredits++
	g.outstandingCredits++
}

// recall recalls credits. If entries have unmet demand, it recalls from entries that have none. Above
// the limit it recalls from any entry.
func (g *Granter) recall(limit int) {
	need, excess := 0, max(0, g.runningTasks+g.outstandingCredits-limit)
	for _, e := range g.entryOrder {
		need += e.unmetDemand
		excess -= e.recalledCredits
	}
	for _, e := range g.entryOrder {
		need -= e.recalledCredits
	}
	for need > 0 || excess > 0 {
		best := g.recallCandidate(excess > 0)
		if best == nil {
			return
		}
		count := min(best.outstandingCredits, max(need, excess))
		best.recalledCredits = count
		need -= count
		excess -= count
		g.actions = append(g.actions, Action{Entry: best.incarnation, Recall: count})
	}
}

// NextDecision returns when Decide must be called again even without an event, to make a postponed recall,
// and false when it need not be.
func (g *Granter) NextDecision() (time.Time, bool) {
	return g.retryAt, !g.retryAt.IsZero()
}

// recallCandidate returns the entry with the most credits that can be recalled now, or nil. With
// overLimit, entries with unmet demand and those within minCreditAge of a grant count too; otherwise
// a retry is scheduled for the latter.
func (g *Granter) recallCandidate(overLimit bool) *entryState {
	var best *entryState
	for _, e := range g.entryOrder {
		if e.recalledCredits > 0 || e.outstandingCredits == 0 || (e.unmetDemand > 0 && !overLimit) {
			continue
		}
		if age := g.now.Sub(e.lastGrant); !overLimit && age < minCreditAge {
			g.scheduleRetry(e.lastGrant.Add(minCreditAge))
			continue
		}
		if best == nil || e.outstandingCredits > best.outstandingCredits {
			best = e
		}
	}
	return best
}

func (g *Granter) scheduleRetry(until time.Time) {
	if g.retryAt.IsZero() || until.Before(g.retryAt) {
		g.retryAt = until
	}
}

func (g *Granter) releaseCredits(entry vwid.Incarnation, n int) {
	if e := g.entries[entry]; e != nil {
		n = min(n, e.outstandingCredits)
		e.outstandingCredits -= n
		g.outstandingCredits -= n
	}
}

// shareOf returns the team's state, created on first use. A team without waiting tasks does not save
// up unused share.
func (g *Granter) shareOf(name vwid.Team) *teamShare {
	found, ok := g.teams[name]
	if !ok {
		found = &teamShare{name: name, policy: g.settings.Policy.team(name)}
		g.teams[name] = found
		g.teamOrder = append(g.teamOrder, found)
	}
	if found.unmetDemand == 0 {
		found.virtualTime = max(found.virtualTime, g.virtualTime)
	}
	return found
}
