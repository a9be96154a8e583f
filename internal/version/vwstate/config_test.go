package vwstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// The source document must be stored with the version that was translated from it, also after a restore from a
// snapshot. A later change without a source must remove it.
func TestSourceBelongsToItsVersion(t *testing.T) {
	state := vwstate.Make()
	change := func(id vwid.ChangeID, base vwid.ConfigVersion, source string) vwstate.Outcome {
		return state.Apply(vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: id, Base: base, Text: []byte(id), Source: []byte(source)}})
	}
	change("a", 0, "document a")
	require.Equal(t, vwstate.RefusalVersion, change("b", 0, "document b").Refusal)
	saved, err := state.Save()
	require.NoError(t, err)
	state, err = vwstate.Restore(saved)
	require.NoError(t, err)
	require.Equal(t, "document a", string(state.Config().Source))
	change("c", 1, "")
	require.Empty(t, state.Config().Source)
}

// When a process restarts, the registration of its earlier incarnation must end at once, not when its lease expires.
func TestRestartEndsTheEarlierRegistration(t *testing.T) {
	state := vwstate.Make()
	register := func(incarnation vwid.Incarnation, process vwid.Process, role vwstate.Role) vwstate.Outcome {
		return state.Apply(vwstate.Command{Register: &vwstate.Register{Registration: vwstate.Registration{Incarnation: incarnation, Process: process, Role: role}}})
	}
	register("e1", "edge", vwstate.RoleEntry)
	register("a1", "edge", vwstate.RoleAgent)
	register("o1", "other", vwstate.RoleEntry)
	register("e2", "edge", vwstate.RoleEntry)
	cases := map[vwid.Incarnation]bool{"e1": false, "a1": true, "o1": true, "e2": true}
	for incarnation, live := range cases {
		require.Equal(t, live, state.IsLive(incarnation), incarnation)
	}
	require.Equal(t, vwstate.RefusalNotRegistered, register("e1", "edge", vwstate.RoleEntry).Refusal)
	require.True(t, state.IsLive("e2"), "a late registration of the earlier incarnation must not end the later one")
}
