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
	// when a slot becomes free. Only waiting tasks get them.
	OverCommit int
	// DataCentre is the agent's own data centre.
	DataCentre vwid.DataCentre
	// Weights are the shares of the teams. A team that is not named has the weight 1.
	Weights map[vwid.Team]float64
}

// Action is a decision of a Granter about one entry. One of Grant and Recall is zero.
type Action struct {
	Entry  vwid.Incarnation
	Grant  int
	Recall int
}

// Granter divides the slots of one worker as credits among the entries.
type Granter struct {
	settings    GranterSettings
	entries     map[vwid.Incarnation]*entryState
	order       []*entryState
	running     int
	outstanding int
	virtual     float64
	stopped     bool
	actions     []Action
}

// entryState is an entry as an agent sees it.
type entryState struct {
	incarnation vwid.Incarnation
	dataCentre  vwid.DataCentre
	demand      []vwmessage.TeamDemand
	// unmet is the number of waiting tasks for which no credit is granted yet.
	unmet int
	// outstanding is the number of credits that the entry holds, and recalling how many of them
	// are asked back.
	outstanding int
	recalling   int
	// share is the entry's weight by the teams that wait at it, and virtual the credits that it
	// got divided by that weight.
	share   float64
	virtual float64
	grant   int
}

// MakeGranter returns a Granter that knows no entries.
func MakeGranter(settings GranterSettings) *Granter {
	return &Granter{settings: settings, entries: map[vwid.Incarnation]*entryState{}}
}

// AddEntry makes an entry known. A known one is left as it is.
func (g *Granter) AddEntry(entry vwid.Incarnation, dataCentre vwid.DataCentre) {
	if g.entries[entry] != nil {
		return
	}
	e := &entryState{incarnation: entry, dataCentre: dataCentre, virtual: g.virtual}
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
	g.outstanding -= e.outstanding
	delete(g.entries, entry)
	for i, other := range g.order {
		if other == e {
			g.order = append(g.order[:i], g.order[i+1:]...)
			break
		}
	}
	g.weigh()
}

// SetDemand records what waits at an entry.
func (g *Granter) SetDemand(entry vwid.Incarnation, demand vwmessage.Demand) {
	e := g.entries[entry]
	if e == nil {
		return
	}
	e.demand = append(e.demand[:0], demand.Teams...)
	waiting := 0
	for _, team := range e.demand {
		waiting += team.Waiting
	}
	// An entry uses the credits that it holds before it reports demand, so those that are still
	// outstanding are on the way to it and will meet a part of the demand.
	idle := e.unmet == 0
	e.unmet = max(0, waiting-e.outstanding)
	if idle && e.unmet > 0 {
		e.virtual = max(e.virtual, g.virtual)
	}
	g.weigh()
}

// SetWeights replaces the shares of the teams.
func (g *Granter) SetWeights(weights map[vwid.Team]float64) {
	g.settings.Weights = weights
	g.weigh()
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

// Freed records that n running tasks ended.
func (g *Granter) Freed(n int) {
	g.running = max(0, g.running-n)
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
func (g *Granter) Decide(_ time.Time) []Action {
	g.actions = g.actions[:0]
	slots, overCommit := g.settings.Slots, g.settings.OverCommit
	if g.stopped {
		slots, overCommit = 0, 0
	}
	g.meetDemand(slots + overCommit)
	g.spread(slots)
	for _, e := range g.order {
		if e.grant > 0 {
			g.actions = append(g.actions, Action{Entry: e.incarnation, Grant: e.grant})
			e.grant = 0
		}
	}
	g.recall(slots + overCommit)
	return g.actions
}

// meetDemand grants credits to entries with waiting tasks, by their shares.
func (g *Granter) meetDemand(limit int) {
	for g.running+g.outstanding < limit {
		var best *entryState
		for _, e := range g.order {
			if e.unmet > 0 && (best == nil || e.virtual < best.virtual) {
				best = e
			}
		}
		if best == nil {
			return
		}
		g.virtual = max(g.virtual, best.virtual)
		best.virtual += 1 / best.share
		best.unmet--
		g.give(best)
	}
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
		g.give(best)
	}
}

// fewer reports whether e is to get an idle credit before other.
func (g *Granter) fewer(e, other *entryState) bool {
	if e.outstanding != other.outstanding {
		return e.outstanding < other.outstanding
	}
	return e.dataCentre == g.settings.DataCentre && other.dataCentre != g.settings.DataCentre
}

func (g *Granter) give(e *entryState) {
	e.grant++
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
	for {
		best := g.richest(excess > 0)
		if best == nil || (need <= 0 && excess <= 0) {
			return
		}
		count := min(best.outstanding, max(need, excess))
		best.recalling = count
		need -= count
		excess -= count
		g.actions = append(g.actions, Action{Entry: best.incarnation, Recall: count})
	}
}

// richest returns the entry with the most credits that can be recalled, or nil.
func (g *Granter) richest(anyEntry bool) *entryState {
	var best *entryState
	for _, e := range g.order {
		if e.recalling > 0 || e.outstanding == 0 || (e.unmet > 0 && !anyEntry) {
			continue
		}
		if best == nil || e.outstanding > best.outstanding {
			best = e
		}
	}
	return best
}

func (g *Granter) release(entry vwid.Incarnation, n int) {
	if e := g.entries[entry]; e != nil {
		n = min(n, e.outstanding)
		e.outstanding -= n
		g.outstanding -= n
	}
}

// weigh divides the weight of each team over the entries at which it waits, by the number of its
// tasks there. The entries' shares follow the teams' shares, wherever their callers connect.
func (g *Granter) weigh() {
	for _, e := range g.order {
		e.share = 0
		for _, d := range e.demand {
			if d.Waiting > 0 {
				e.share += g.weight(d.Team) * float64(d.Waiting) / float64(g.waiting(d.Team))
			}
		}
		if e.share <= 0 {
			e.share = 1
		}
	}
}

func (g *Granter) weight(team vwid.Team) float64 {
	if weight := g.settings.Weights[team]; weight > 0 {
		return weight
	}
	return 1
}

func (g *Granter) waiting(team vwid.Team) int {
	sum := 0
	for _, e := range g.order {
		for _, d := range e.demand {
			if d.Team == team {
				sum += d.Waiting
			}
		}
	}
	return sum
}
