package vwentry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// Guards against an announced version that is fetched only by the next periodic renewal: that delays a
// change by up to 500 ms at each level of the lease tree.
func TestAnnouncedVersionIsAskedForAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := vwcontroltest.Make(time.Millisecond)
		e := Make(DefaultSettings(), "i", control.Client(), nil, slog.New(slog.DiscardHandler))
		e.Start()
		time.Sleep(renewInterval + renewInterval/5)
		_, err := control.Client().Propose(context.Background(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "c"}})
		require.NoError(t, err)
		require.Zero(t, e.Version(context.Background()))
		e.Announce(1)
		time.Sleep(2 * time.Millisecond)
		require.Equal(t, vwid.ConfigVersion(1), e.Version(context.Background()))
		e.Kill()
	})
}
