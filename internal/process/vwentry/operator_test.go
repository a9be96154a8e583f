package vwentry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/connection/vwcallertest"
	"vanillawind.example/vanillawind/internal/process/vwcontrol"
	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// pausingControl calls pause before the first read, as if the process stood still there.
type pausingControl struct {
	vwcontrol.Client
	pause func()
}

func (c *pausingControl) Read(ctx context.Context, query vwstate.Query) (vwstate.View, error) {
	pause := c.pause
	c.pause = nil
	if pause != nil {
		pause()
	}
	return c.Client.Read(ctx, query)
}

// Guards against an order for a data centre that is carried out by an entry which stood still, on top of a newer one: its
// caller has left, and the order changed nothing when it was sent again, so its change id has no outcome.
func TestDataCentreOrderOfACallerThatHasLeftChangesNothing(t *testing.T) {
	for name, leaves := range map[string]bool{"leaves": true, "waits": false} {
		t.Run(name, func(t *testing.T) {
			caller, conn := vwcallertest.Connect(t)
			control := vwcontroltest.Make(0).Client()
			other := &Entry{control: control}
			paused := &Entry{control: &pausingControl{Client: control, pause: func() {
				if leaves {
					require.NoError(t, caller.Close())
				}
				order(t, other, "out-1", vwrule.TakeOut)
			}}}
			_, err := control.Propose(t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1", Text: []byte("DataCentre.north = {} # test\n")}})
			require.NoError(t, err)
			_, err = paused.editRules(vwcaller.WithConn(t.Context(), conn), vwapi.DataCentreOrder{ChangeID: "in-1", By: "Ana"}, func(text []byte) ([]byte, error) {
				return vwrule.BringIn(text, "north")
			})
			require.Equal(t, leaves, err != nil)
			view, err := control.Read(t.Context(), vwstate.Query{Config: true})
			require.NoError(t, err)
			rules, err := vwrule.Parse("rules", view.Config.Text)
			require.NoError(t, err)
			require.Equal(t, leaves, rules.IsOut("north"))
		})
	}
}

// order carries out an order of a caller that waits.
func order(t *testing.T, e *Entry, id vwid.ChangeID, edit func([]byte, vwid.DataCentre, string) ([]byte, error)) {
	t.Helper()
	_, err := e.editRules(t.Context(), vwapi.DataCentreOrder{ChangeID: id, By: "Ana"}, func(text []byte) ([]byte, error) { return edit(text, "north", "Ana") })
	require.NoError(t, err)
}
