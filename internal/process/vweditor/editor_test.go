package vweditor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// memory is a control with one configuration.
type memory struct {
	config vwstate.Config
	// overtake is how many other changes come first, and lose how many answers are lost.
	overtake, lose int
	outcomes       map[vwid.ChangeID]vwstate.Outcome
	readErr        error
}

func (m *memory) Read(context.Context, vwstate.Query) (vwstate.View, error) {
	config := m.config
	return vwstate.View{Config: &config}, m.readErr
}

func (m *memory) Propose(_ context.Context, command vwstate.Command) (vwstate.Outcome, error) {
	change := command.ChangeRules
	outcome, known := m.outcomes[change.ChangeID]
	if !known {
		if m.overtake > 0 {
			m.overtake--
			m.config.Version++
			m.config.Text = append(m.config.Text, "other "...)
		}
		outcome = vwstate.Outcome{Refusal: vwstate.RefusalVersion}
		if change.Base == m.config.Version {
			m.config.Version++
			m.config.Text, m.config.Source = change.Text, change.Source
			outcome = vwstate.Outcome{Version: m.config.Version}
		}
		m.outcomes[change.ChangeID] = outcome
	}
	if m.lose > 0 {
		m.lose--
		return vwstate.Outcome{}, vwverdict.Errorf(vwverdict.MayHaveRun, "the leader is lost")
	}
	return outcome, nil
}

func appendOwn(config vwstate.Config) (Revision, error) {
	return Revision{Text: append(config.Text[:len(config.Text):len(config.Text)], "own"...), Source: []byte("own")}, nil
}

// An edit must be made once, on the newest rules, whatever comes first and whichever answers are lost.
func TestEdit(t *testing.T) {
	cases := map[string]struct {
		control  *memory
		text     string
		version  vwid.ConfigVersion
		conflict bool
	}{
		"alone":            {&memory{}, "own", 1, false},
		"others first":     {&memory{overtake: 3}, "other other other own", 4, false},
		"answers lost":     {&memory{lose: 2}, "own", 1, false},
		"both":             {&memory{overtake: 1, lose: 3}, "other own", 2, false},
		"others each time": {&memory{overtake: maxEdits}, "", 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.control.outcomes = map[vwid.ChangeID]vwstate.Outcome{}
				version, err := Edit(t.Context(), c.control, Change{ID: "c", By: "Onni Laine"}, appendOwn)
				require.Equal(t, c.conflict, IsConflict(err))
				if c.conflict {
					require.True(t, vwverdict.IsNotRun(err))
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.version, version)
				require.Equal(t, c.text, string(c.control.config.Text))
				require.Equal(t, "own", string(c.control.config.Source))
			})
		})
	}
}

// A resent change must get the outcome of the first send and not be made twice.
func TestEditIsIdempotent(t *testing.T) {
	control := &memory{outcomes: map[vwid.ChangeID]vwstate.Outcome{}, overtake: 1}
	for range 2 {
		version, err := Edit(t.Context(), control, Change{ID: "c", By: "Onni Laine"}, appendOwn)
		require.NoError(t, err)
		require.Equal(t, vwid.ConfigVersion(2), version)
	}
	require.Equal(t, "other own", string(control.config.Text))
}

// An edit that changes nothing must not make a version, since every process would have to fetch it.
func TestEditWithoutChange(t *testing.T) {
	control := &memory{config: vwstate.Config{Version: 7, Text: []byte("text"), Source: []byte("source")}}
	version, err := Edit(t.Context(), control, Change{ID: "c", By: "Onni Laine"}, func(config vwstate.Config) (Revision, error) {
		return Revision{Text: config.Text, Source: config.Source}, nil
	})
	require.NoError(t, err)
	require.Equal(t, vwid.ConfigVersion(7), version)
	require.Empty(t, control.outcomes)
}

// When control cannot be read nothing has changed, and the operator may be told so.
func TestEditUnreadable(t *testing.T) {
	control := &memory{readErr: errors.New("no quorum")}
	_, err := Edit(t.Context(), control, Change{ID: "c", By: "Onni Laine"}, appendOwn)
	require.True(t, IsUnreadable(err))
	require.True(t, vwverdict.IsNotRun(err))
	require.False(t, IsConflict(err))
}
