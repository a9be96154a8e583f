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

// history is what operators and an observer see from outside.
type history struct {
	mu      sync.Mutex
	faults  []error
	leaders map[vwraft.Term]vwid.Member
	// outcomes are the acknowledged changes, notRun those that were refused as not run.
	outcomes map[vwid.ChangeID]vwstate.Outcome
	notRun   map[vwid.ChangeID]bool
	winners  map[vwid.ConfigVersion]vwid.ChangeID
}

// final is the state after everything has ended.
type final struct {
	config  vwstate.Config
	changes map[vwid.ChangeID]vwstate.ChangeOutcome
}

func makeHistory() *history {
	return &history{
		leaders: map[vwraft.Term]vwid.Member{}, outcomes: map[vwid.ChangeID]vwstate.Outcome{},
		notRun: map[vwid.ChangeID]bool{}, winners: map[vwid.ConfigVersion]vwid.ChangeID{},
	}
}

func (h *history) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Errorf(format, args...))
}

// lead records a leader; a term has only one.
func (h *history) lead(term vwraft.Term, member vwid.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.leaders[term]; ok && known != member {
		h.fault("term %d has the leaders %s and %s", term, known, member)
	}
	h.leaders[term] = member
}

// observe records that a running member went from one version to another; versions never decrease.
func (h *history) observe(at int, from, to vwid.ConfigVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to <= from {
		h.fault("member %d went from version %d to %d", at, from, to)
	}
}

// acknowledge records an outcome; a resent change has the first one, and a version has one winner.
func (h *history) acknowledge(id vwid.ChangeID, outcome vwstate.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, resent := h.outcomes[id]
	if resent && (known.Refusal != outcome.Refusal || known.Version != outcome.Version) {
		h.fault("change %s had the outcomes %v and %v", id, known, outcome)
	}
	h.outcomes[id] = outcome
	if outcome.Refusal != vwstate.RefusalNone {
		return
	}
	if winner, ok := h.winners[outcome.Version]; ok && winner != id {
		h.fault("version %d was won by %s and %s", outcome.Version, winner, id)
	}
	h.winners[outcome.Version] = id
}

func (h *history) refuse(id vwid.ChangeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notRun[id] = true
}

func (h *history) ids() []vwid.ChangeID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(slices.Collect(maps.Keys(h.outcomes)), slices.Collect(maps.Keys(h.notRun))...)
}

// check compares the history with the final state.
func (h *history) check(state final, err error) error {
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, outcome := range h.outcomes {
		found, ok := state.changes[id]
		if !ok || found.Version != outcome.Version || found.Refusal != outcome.Refusal {
			h.fault("acknowledged change %s with outcome %v is lost; found %v", id, outcome, found)
		}
	}
	for id := range h.notRun {
		if _, ok := state.changes[id]; ok {
			h.fault("change %s was answered NotRun but was carried out", id)
		}
	}
	for version, winner := range h.winners {
		if version > state.config.Version {
			h.fault("version %d was acknowledged but the final one is %d", version, state.config.Version)
		}
		if version == state.config.Version && string(state.config.Text) != string(winner) {
			h.fault("version %d holds %q and not the text of its winner %s", version, state.config.Text, winner)
		}
	}
	if len(h.faults) > 0 {
		return h.faults[0]
	}
	return nil
}

// A checker that cannot fail would prove nothing: each planted fault must be found.
func TestHistoryFindsPlantedFaults(t *testing.T) {
	won := func(version vwid.ConfigVersion) vwstate.Outcome { return vwstate.Outcome{Version: version} }
	plants := map[string]struct {
		plant func(h *history, state *final)
		want  string
	}{
		"none":                {func(*history, *final) {}, ""},
		"second leader":       {func(h *history, _ *final) { h.lead(1, "m1") }, "term 1 has the leaders"},
		"version decreases":   {func(h *history, _ *final) { h.observe(0, 2, 1) }, "went from version 2 to 1"},
		"two winners":         {func(h *history, _ *final) { h.acknowledge("b", won(1)) }, "version 1 was won by"},
		"other outcome":       {func(h *history, _ *final) { h.acknowledge("a", won(2)) }, "had the outcomes"},
		"acknowledged lost":   {func(_ *history, state *final) { delete(state.changes, "a") }, "is lost"},
		"version lost":        {func(_ *history, state *final) { state.config.Version = 0 }, "the final one is 0"},
		"other text":          {func(_ *history, state *final) { state.config.Text = []byte("b") }, "not the text of its winner"},
		"refused carried out": {func(h *history, _ *final) { h.refuse("a") }, "answered NotRun"},
	}
	for name, p := range plants {
		t.Run(name, func(t *testing.T) {
			h := makeHistory()
			h.lead(1, "m0")
			h.observe(0, 0, 1)
			h.acknowledge("a", won(1))
			state := final{config: vwstate.Config{Version: 1, Text: []byte("a")}, changes: map[vwid.ChangeID]vwstate.ChangeOutcome{"a": {ChangeID: "a", Version: 1}}}
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
