package vwdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func demandOf(waiting int) vwmessage.Demand {
	return vwmessage.Demand{Service: service, Teams: []vwmessage.TeamDemand{{Team: "t", Waiting: waiting}}}
}

// Guards against an idle slot for which no entry holds a standing credit, and against a standing
// credit that stays with an idle entry while another entry has waiting tasks.
func TestStandingCredits(t *testing.T) {
	g := vwdispatch.MakeGranter(vwdispatch.GranterSettings{Slots: 8, StandingCredits: 4, DataCentre: "a"})
	g.AddEntry("x", "a")
	g.AddEntry("y", "b")
	require.Equal(t, []vwdispatch.Action{{Entry: "x", Grant: 4}, {Entry: "y", Grant: 4}}, g.Decide(start))
	g.CreditsUsed("x", 4)
	g.SetDemand("x", demandOf(3))
	require.Empty(t, g.Decide(start.Add(time.Millisecond)))
	later, ok := g.NextDecision()
	require.True(t, ok, "a postponed recall must be retried")
	require.Equal(t, []vwdispatch.Action{{Entry: "y", Recall: 3}}, g.Decide(later))
	require.Empty(t, g.Decide(later))
	g.CreditsReturned("y", 3)
	require.Equal(t, []vwdispatch.Action{{Entry: "x", Team: "t", Grant: 3}}, g.Decide(later))
	g.Stop()
	require.Equal(t, []vwdispatch.Action{{Entry: "x", Recall: 3}, {Entry: "y", Recall: 1}}, g.Decide(start))
}

// Guards against tasks that are sent to a worker whose data centre is out of service.
func TestNoSlotsNoCredits(t *testing.T) {
	g := vwdispatch.MakeGranter(vwdispatch.GranterSettings{Slots: 8, OverCommit: 2})
	g.AddEntry("x", "a")
	g.SetSlots(0)
	g.SetDemand("x", demandOf(100))
	require.Empty(t, g.Decide(start))
	g.SetSlots(8)
	require.Equal(t, []vwdispatch.Action{{Entry: "x", Team: "t", Grant: 10}}, g.Decide(start))
	g.SetSlots(0)
	require.Equal(t, []vwdispatch.Action{{Entry: "x", Recall: 10}}, g.Decide(start))
}

// Guards against a team that gets a larger share because its tasks wait at more entries.
func TestGrantsFollowTeams(t *testing.T) {
	g := vwdispatch.MakeGranter(vwdispatch.GranterSettings{Policy: vwdispatch.Policy{Teams: map[vwid.Team]vwdispatch.TeamPolicy{"t": {Weight: 3}}}})
	g.AddEntry("x", "a")
	g.AddEntry("y", "a")
	g.SetDemand("x", vwmessage.Demand{Teams: []vwmessage.TeamDemand{{Team: "t", Waiting: 500}, {Team: "u", Waiting: 500}}})
	g.SetDemand("y", vwmessage.Demand{Teams: []vwmessage.TeamDemand{{Team: "u", Waiting: 500, OldestMilliseconds: 1}}})
	g.SetSlots(80)
	// Team t has 3/4 of the weight and waits at x; the oldest task of u waits at y.
	require.Equal(t, []vwdispatch.Action{{Entry: "x", Team: "t", Grant: 60}, {Entry: "y", Team: "u", Grant: 20}}, g.Decide(start))
}

// Guards against a team that gets more slot time because its tasks take longer.
func TestGrantsFollowSlotTime(t *testing.T) {
	g := vwdispatch.MakeGranter(vwdispatch.GranterSettings{Slots: 1})
	g.AddEntry("x", "a")
	runTime := map[vwid.Team]time.Duration{"t": 300 * time.Millisecond, "u": 50 * time.Millisecond}
	used := map[vwid.Team]time.Duration{}
	g.SetDemand("x", vwmessage.Demand{Teams: []vwmessage.TeamDemand{{Team: "t", Waiting: 5000}, {Team: "u", Waiting: 5000}}})
	for range 2000 {
		actions := g.Decide(start)
		require.Len(t, actions, 1)
		require.Equal(t, 1, actions[0].Grant)
		team := actions[0].Team
		g.CreditsUsed("x", 1)
		g.Finished(team, runTime[team])
		used[team] += runTime[team]
	}
	require.InEpsilon(t, used["t"].Seconds(), used["u"].Seconds(), 0.05)
}

// creditModel connects one Granter to three entries by messages with arbitrary delays. The slices hold
// a number of credits for each entry.
type creditModel struct {
	granter                                    *vwdispatch.Granter
	entries                                    []vwid.Incarnation
	slots                                      int
	grantsInFlight, held, back, pendingRecalls []int
	startsInFlight                             []int
	running                                    int
}

func (m *creditModel) decide(t *rapid.T, overCommit int) {
	before := m.granter.Running() + m.granter.Outstanding()
	for _, action := range m.granter.Decide(start) {
		for i, entry := range m.entries {
			if entry == action.Entry {
				m.grantsInFlight[i] += action.Grant
				m.pendingRecalls[i] += action.Recall
			}
		}
	}
	after := m.granter.Running() + m.granter.Outstanding()
	require.LessOrEqual(t, after, max(before, m.slots+overCommit))
}

func (m *creditModel) step(t *rapid.T, i int) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		m.held[i] += m.grantsInFlight[i]
		m.grantsInFlight[i] = 0
	case 1:
		n := rapid.IntRange(0, m.held[i]).Draw(t, "use")
		m.held[i] -= n
		m.startsInFlight[i] += n
	case 2:
		m.granter.CreditsUsed(m.entries[i], m.startsInFlight[i])
		m.running += m.startsInFlight[i]
		m.startsInFlight[i] = 0
	case 3:
		if n := min(m.pendingRecalls[i], m.held[i]); m.pendingRecalls[i] > 0 {
			m.held[i] -= n
			m.pendingRecalls[i] = 0
			m.granter.CreditsReturned(m.entries[i], n)
		}
	case 4:
		n := rapid.IntRange(0, m.running).Draw(t, "freed")
		m.running -= n
		m.granter.SlotsFreed(n)
	case 5:
		m.granter.SetDemand(m.entries[i], demandOf(rapid.IntRange(0, 20).Draw(t, "waiting")))
	case 6:
		m.slots = rapid.IntRange(0, 12).Draw(t, "slots")
		m.granter.SetSlots(m.slots)
	}
}

// Guards against credits that are created or lost under any order of messages, and against more
// running tasks and credits together than the slots and the over-commit allow.
func TestCreditConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overCommit := rapid.IntRange(0, 3).Draw(t, "over-commit")
		m := &creditModel{
			granter: vwdispatch.MakeGranter(vwdispatch.GranterSettings{Slots: 8, OverCommit: overCommit}), slots: 8,
			grantsInFlight: make([]int, 3), held: make([]int, 3), back: make([]int, 3), pendingRecalls: make([]int, 3), startsInFlight: make([]int, 3),
		}
		for i := range 3 {
			m.entries = append(m.entries, vwid.Incarnation(fmt.Sprint(i)))
			m.granter.AddEntry(m.entries[i], "a")
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t, rapid.IntRange(0, 2).Draw(t, "entry"))
			m.decide(t, overCommit)
			sum := 0
			for i := range 3 {
				sum += m.grantsInFlight[i] + m.held[i] + m.startsInFlight[i]
			}
			require.Equal(t, sum, m.granter.Outstanding())
			require.Equal(t, m.running, m.granter.Running())
		}
	})
}

// BenchmarkDecide measures a decision at the agent, which allocates nothing.
func BenchmarkDecide(b *testing.B) {
	g := vwdispatch.MakeGranter(vwdispatch.GranterSettings{Slots: 8, OverCommit: 1})
	for i := range 8 {
		g.AddEntry(vwid.Incarnation(fmt.Sprint(i)), "a")
	}
	demand := demandOf(1000)
	b.ReportAllocs()
	for range b.N {
		g.SetDemand("3", demand)
		for _, action := range g.Decide(time.Time{}) {
			g.CreditsUsed(action.Entry, action.Grant)
			g.SlotsFreed(action.Grant)
		}
	}
}
