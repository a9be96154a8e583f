package vwdispatch

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// GranterSettings holds what a Granter must know at its start.
type GranterSettings struct {
	Slots int
	// OverCommit is how many credits may exceed the slots, so that a task is already at the agent
	// when a slot becomes free. They are granted only while many tasks wait.
	OverCommit int
	// Standing is how many credits an entry without waiting tasks holds at most; zero means
	// DefaultStanding, and a negative number none. The other idle slots stay with the agent, which can grant them to any entry
	// without a recall.
	Standing int
	// DataCentre is the agent's own data centre.
	DataCentre vwid.DataCentre
	// Policy gives the shares and priorities of the teams.
	Policy Policy
}

// standing is how long an entry must hold a credit before it is recalled for another entry. A credit
// that was just granted is usually used already. This is the hysteresis of the push thresholds in
// "Peer-to-Peer Caching Schemes to Address Flash Crowds", applied to the recall of credits.
const standing = 10 * time.Millisecond

// DefaultStanding is the default of GranterSettings.Standing.
const DefaultStanding = 1

// DefaultOverCommit is the over-commit that the policy benchmark supports.
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
	settings GranterSettings
	entries  map[vwid.Incarnation]*entryState
	order    []*entryState
	teams    map[vwid.Team]*teamShare
	// ranking lists teams by first use, so that decisions do not depend on the order of a map.
	ranking []*teamShare
	now     time.Time
	// retry is when a credit that is too young to recall will be old enough, zero when there is none.
	retry       time.Time
	running     int
	outstanding int
	virtual     float64
	stopped     bool
	actions     []Action
}

// MakeGranter returns a Granter that knows no entries.
func MakeGranter(settings GranterSettings) *Granter {
	if settings.Standing == 0 {
		settings.Standing = DefaultStanding
	}
	return &Granter{settings: settings, entries: map[vwid.Incarnation]*entryState{}, teams: map[vwid.Team]*teamShare{}}
}

// AddEntry makes an entry known. A known one is left as it is.
func (g *Granter) AddEntry(entry vwid.Incarnation, dataCentre vwid.DataCentre) {
	if g.entries[entry] != nil {
		return
	}
	e := &entryState{incarnation: entry, dataCentre: dataCentre}
	g.entries[entry] = e
	g.order = append(g.order, e)
}

// RemoveEntry forgets an entry. Its credits are free again; the caller must accept no more starts
// under them.
func (g *Granter) RemoveEntry(entry vwid.Incarnation) {
	e := g.entries[entry]
	if e == nil {
		return
	}
	e.clear()
	g.outstanding -= e.outstanding
	delete(g.entries, entry)
	for i, other := range g.order {
		if other == e {
			g.order = append(g.order[:i], g.order[i+1:]...)
			break
		}
	}
}

// SetDemand records what waits at an entry.
func (g *Granter) SetDemand(entry vwid.Incarnation, demand vwmessage.Demand) {
	e := g.entries[entry]
	if e == nil {
		return
	}
	e.clear()
	e.set(demand.Teams, g.share)
}

// SetPolicy replaces the shares and priorities of the teams.
func (g *Granter) SetPolicy(policy Policy) {
	g.settings.Policy = policy
	for _, team := range g.ranking {
		team.policy = policy.team(team.name)
	}
}

// Started records that an entry used n credits.
func (g *Granter) Started(entry vwid.Incarnation, n int) {
	g.running += n
	g.release(entry, n)
}

// Returned records that an entry gave n credits back, zero when it had none left. It ends a recall.
func (g *Granter) Returned(entry vwid.Incarnation, n int) {
	g.release(entry, n)
	if e := g.entries[entry]; e != nil {
		e.recalling = 0
	}
}

// Freed records that n tasks left their slots without a run.
func (g *Granter) Freed(n int) {
	g.running = max(0, g.running-n)
}

// Finished records that a task of the team ended after runTime. It corrects what the credit for the
// task was charged, so that shares hold for slot time and not for numbers of tasks.
func (g *Granter) Finished(team vwid.Team, runTime time.Duration) {
	g.Freed(1)
	if found := g.teams[team]; found != nil {
		found.settle(runTime)
	}
}

// SetSlots changes the number of slots. When it falls, credits above it are recalled.
func (g *Granter) SetSlots(n int) {
	g.settings.Slots = n
}

// Stop ends the granting of credits for good and recalls all.
func (g *Granter) Stop() {
	g.stopped = true
}

// Outstanding returns the number of credits that entries hold.
func (g *Granter) Outstanding() int {
	return g.outstanding
}

// Running returns the number of tasks that started and have not ended.
func (g *Granter) Running() int {
	return g.running
}

// Decide returns the credits to grant and to recall. The result is valid until the next call.
func (g *Granter) Decide(now time.Time) []Action {
	g.actions, g.now, g.retry = g.actions[:0], now, time.Time{}
	slots, limit := g.limits()
	for _, e := range g.order {
		e.stamp(now)
	}
	if g.unmet() >= overCommitBacklog*slots {
		g.meetDemand(limit)
	} else {
		g.meetDemand(slots)
	}
	g.spread(slots)
	for _, e := range g.order {
		g.actions = e.takeGrants(g.actions)
	}
	g.recall(limit)
	return g.actions
}

// limits returns how many tasks and credits there may be without and with over-commit. A worker
// without slots, as in a data centre that is out of service, grants nothing.
func (g *Granter) limits() (slots, limit int) {
	if g.stopped || g.settings.Slots <= 0 {
		return 0, 0
	}
	return g.settings.Slots, g.settings.Slots + g.settings.OverCommit
}

// unmet returns the number of tasks that wait for a credit of this worker.
func (g *Granter) unmet() int {
	sum := 0
	for _, e := range g.order {
		sum += e.unmet
	}
	return sum
}

// meetDemand grants credits for waiting tasks, by the shares of the teams over all entries and
// within a team to the entry whose task waits longest.
func (g *Granter) meetDemand(limit int) {
	for g.running+g.outstanding < limit {
		var team *teamShare
		for _, other := range g.ranking {
			if other.unmet > 0 && other.ahead(team) {
				team = other
			}
		}
		if team == nil {
			return
		}
		g.virtual = max(g.virtual, team.virtual)
		e, row := g.oldest(team)
		row.meet()
		e.unmet--
		g.hold(e)
	}
}

// oldest returns the entry at which the first task of the team arrived earliest.
func (g *Granter) oldest(team *teamShare) (*entryState, *demandRow) {
	var best *entryState
	var first *demandRow
	for _, e := range g.order {
		if row := e.row(team); row != nil && (first == nil || row.since.Before(first.since)) {
			best, first = e, row
		}
	}
	return best, first
}

// spread grants the credits of idle slots to the entries with the fewest, so that a task that
// arrives at any of them can leave at once.
func (g *Granter) spread(limit int) {
	if len(g.order) == 0 {
		return
	}
	for g.running+g.outstanding < limit {
		best := g.order[0]
		for _, e := range g.order[1:] {
			if g.fewer(e, best) {
				best = e
			}
		}
		if best.outstanding >= g.settings.Standing {
			return
		}
		best.grant++
		g.hold(best)
	}
}

// fewer reports whether e is to get an idle credit before other.
func (g *Granter) fewer(e, other *entryState) bool {
	if e.outstanding != other.outstanding {
		return e.outstanding < other.outstanding
	}
	return e.dataCentre == g.settings.DataCentre && other.dataCentre != g.settings.DataCentre
}

// hold counts one more credit that e holds.
func (g *Granter) hold(e *entryState) {
	e.granted = g.now
	e.outstanding++
	g.outstanding++
}

// recall asks entries without waiting tasks for credits that others need, and any entry for
// credits above the limit.
func (g *Granter) recall(limit int) {
	need, excess := 0, max(0, g.running+g.outstanding-limit)
	for _, e := range g.order {
		need += e.unmet
		excess -= e.recalling
	}
	for _, e := range g.order {
		need -= e.recalling
	}
	for need > 0 || excess > 0 {
		best := g.richest(excess > 0)
		if best == nil {
			return
		}
		count := min(best.outstanding, max(need, excess))
		best.recalling = count
		need -= count
		excess -= count
		g.actions = append(g.actions, Action{Entry: best.incarnation, Recall: count})
	}
}

// Retry returns when Decide is to be called again although nothing happens, and false when that is
// not needed.
func (g *Granter) Retry() (time.Time, bool) {
	return g.retry, !g.retry.IsZero()
}

// richest returns the entry with the most credits that can be recalled, or nil.
func (g *Granter) richest(anyEntry bool) *entryState {
	var best *entryState
	for _, e := range g.order {
		if e.recalling > 0 || e.outstanding == 0 || (e.unmet > 0 && !anyEntry) {
			continue
		}
		if age := g.now.Sub(e.granted); !anyEntry && age < standing {
			g.postpone(e.granted.Add(standing))
			continue
		}
		if best == nil || e.outstanding > best.outstanding {
			best = e
		}
	}
	return best
}

func (g *Granter) postpone(until time.Time) {
	if g.retry.IsZero() || until.Before(g.retry) {
		g.retry = until
	}
}

func (g *Granter) release(entry vwid.Incarnation, n int) {
	if e := g.entries[entry]; e != nil {
		n = min(n, e.outstanding)
		e.outstanding -= n
		g.outstanding -= n
	}
}

// share returns the team's state. Unused share is not saved up while nothing of the team waits.
func (g *Granter) share(name vwid.Team) *teamShare {
	found, ok := g.teams[name]
	if !ok {
		found = &teamShare{name: name, policy: g.settings.Policy.team(name)}
		g.teams[name] = found
		g.ranking = append(g.ranking, found)
	}
	if found.unmet == 0 {
		found.virtual = max(found.virtual, g.virtual)
	}
	return found
}
