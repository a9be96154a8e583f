package vwcontrol

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// history records the outcomes that operators receive and the leaders and versions that observers see, with the
// violations found.
type history struct {
	mu         sync.Mutex
	violations []error
	leaders    map[vwraft.Term]vwid.Member
	// outcomes holds the acknowledged changes, notRun those that were answered NotRun, and winners the change that
	// each version was acknowledged for.
	outcomes map[vwid.ChangeID]vwstate.Outcome
	notRun   map[vwid.ChangeID]bool
	winners  map[vwid.ConfigVersion]vwid.ChangeID
}

// finalState is the state of the cluster after a scenario.
type finalState struct {
	config  vwstate.Config
	changes map[vwid.ChangeID]vwstate.ChangeOutcome
}

func makeHistory() *history {
	return &history{
		leaders: map[vwraft.Term]vwid.Member{}, outcomes: map[vwid.ChangeID]vwstate.Outcome{},
		notRun: map[vwid.ChangeID]bool{}, winners: map[vwid.ConfigVersion]vwid.ChangeID{},
	}
}

func (h *history) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Errorf(format, args...))
}

// recordLeader records the leader of a term. A second one is a violation.
func (h *history) recordLeader(term vwraft.Term, member vwid.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.leaders[term]; ok && known != member {
		h.addViolation("term %d has the leaders %s and %s", term, known, member)
	}
	h.leaders[term] = member
}

// recordVersion checks a change of a running member's version, which must increase.
func (h *history) recordVersion(at int, from, to vwid.ConfigVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to <= from {
		h.addViolation("member %d went from version %d to %d", at, from, to)
	}
}

// recordOutcome records an acknowledged outcome. A resent change must have the same outcome, and a version only one
// change.
func (h *history) recordOutcome(id vwid.ChangeID, outcome vwstate.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, resent := h.outcomes[id]
	if resent && (known.Refusal != outcome.Refusal || known.Version != outcome.Version) {
		h.addViolation("change %s had the outcomes %v and %v", id, known, outcome)
	}
	h.outcomes[id] = outcome
	if outcome.Refusal != vwstate.RefusalNone {
		return
	}
	if winner, ok := h.winners[outcome.Version]; ok && winner != id {
		h.addViolation("version %d was won by %s and %s", outcome.Version, winner, id)
	}
	h.winners[outcome.Version] = id
}

func (h *history) recordNotRun(id vwid.ChangeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notRun[id] = true
}

func (h *history) ids() []vwid.ChangeID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(slices.Collect(maps.Keys(h.outcomes)), slices.Collect(maps.Keys(h.notRun))...)
}

// check compares the history with the final state and returns the first violation.
func (h *history) check(state finalState, err error) error {
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, outcome := range h.outcomes {
		found, ok := state.changes[id]
		if !ok || found.Version != outcome.Version || found.Refusal != outcome.Refusal {
			h.addViolation("acknowledged change %s with outcome %v is lost; found %v", id, outcome, found)
		}
	}
	for id := range h.notRun {
		if _, ok := state.changes[id]; ok {
			h.addViolation("change %s was answered NotRun but was carried out", id)
		}
	}
	for version, winner := range h.winners {
		if version > state.config.Version {
			h.addViolation("version %d was acknowledged but the final one is %d", version, state.config.Version)
		}
		if version == state.config.Version && string(state.config.Text) != string(winner) {
			h.addViolation("version %d holds %q and not the text of its winner %s", version, state.config.Text, winner)
		}
	}
	if len(h.violations) > 0 {
		return h.violations[0]
	}
	return nil
}

// Guards against a check that cannot fail: each violation that is planted in a valid history must be found.
func TestHistoryFindsPlantedFaults(t *testing.T) {
	won := func(version vwid.ConfigVersion) vwstate.Outcome { return vwstate.Outcome{Version: version} }
	plants := map[string]struct {
		plant func(h *history, state *finalState)
		want  string
	}{
		"none":                {func(*history, *finalState) {}, ""},
		"second leader":       {func(h *history, _ *finalState) { h.recordLeader(1, "m1") }, "term 1 has the leaders"},
		"version decreases":   {func(h *history, _ *finalState) { h.recordVersion(0, 2, 1) }, "went from version 2 to 1"},
		"two winners":         {func(h *history, _ *finalState) { h.recordOutcome("b", won(1)) }, "version 1 was won by"},
		"other outcome":       {func(h *history, _ *finalState) { h.recordOutcome("a", won(2)) }, "had the outcomes"},
		"acknowledged lost":   {func(_ *history, state *finalState) { delete(state.changes, "a") }, "is lost"},
		"version lost":        {func(_ *history, state *finalState) { state.config.Version = 0 }, "the final one is 0"},
		"other text":          {func(_ *history, state *finalState) { state.config.Text = []byte("b") }, "not the text of its winner"},
		"refused carried out": {func(h *history, _ *finalState) { h.recordNotRun("a") }, "answered NotRun"},
	}
	for name, p := range plants {
		t.Run(name, func(t *testing.T) {
			h := makeHistory()
			h.recordLeader(1, "m0")
			h.recordVersion(0, 0, 1)
			h.recordOutcome("a", won(1))
			state := finalState{config: vwstate.Config{Version: 1, Text: []byte("a")}, changes: map[vwid.ChangeID]vwstate.ChangeOutcome{"a": {ChangeID: "a", Version: 1}}}
			p.plant(h, &state)
			err := h.check(state, nil)
			if p.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, p.want)
		})
	}
}
