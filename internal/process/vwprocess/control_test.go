package vwprocess_test

import (
	"context"
	"log/slog"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// controls are control processes with one authority.
type controls struct {
	t         *testing.T
	authority *vwkeys.Authority
	members   []string
	running   []*vwprocess.Control
}

func startControls(t *testing.T, count int) *controls {
	authority, err := vwkeys.MakeAuthority("c")
	require.NoError(t, err)
	c := &controls{t: t, authority: authority}
	var sockets []*net.UDPConn
	for range count {
		socket, err := vwlink.Bind(loopback)
		require.NoError(t, err)
		sockets = append(sockets, socket)
		c.members = append(c.members, socket.LocalAddr().String())
	}
	for i, socket := range sockets {
		files, err := vwstore.OpenDirectory(t.TempDir())
		require.NoError(t, err)
		name := vwid.Process(rune('a' + i))
		process, err := vwprocess.StartControl(t.Context(), vwprocess.ControlConfig{
			Cluster: "c", Process: name, LinkSocket: socket, ControlMembers: c.members,
			Member: vwprocess.MemberConfig{Files: files}, OperatorsAddress: loopback,
			Keys: c.keys(name), Log: slog.New(slog.DiscardHandler),
		})
		require.NoError(t, err)
		c.running = append(c.running, process)
	}
	return c
}

func (c *controls) keys(process vwid.Process) vwkeys.Source {
	keys, err := vwkeys.MakeMemory(c.authority, process)
	require.NoError(c.t, err)
	return keys
}

func (c *controls) startEntry(process vwid.Process) *vwprocess.Entry {
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre = process, "north"
	entry, err := vwprocess.StartEntry(c.t.Context(), vwprocess.EntryConfig{
		Cluster: "c", Settings: settings, LinkAddress: loopback, CallersAddress: loopback, OperatorsAddress: loopback,
		Keys: c.keys(process), ControlMembers: c.members, Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(c.t, err)
	return entry
}

func (c *controls) stop() {
	for _, process := range c.running {
		require.NoError(c.t, process.Stop(context.Background()))
	}
}

// Guards against an entry without a disk that cannot work with control processes of their own, or that
// never hears of a change there.
func TestEntryWithoutDataDirectory(t *testing.T) {
	c := startControls(t, 3)
	entry := c.startEntry("entry-1")
	eventually(func() bool { return entry.Entry().Ready(t.Context()) == nil })
	outcome, err := entry.Control().Propose(t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1"}})
	require.NoError(t, err)
	require.Equal(t, vwid.ConfigVersion(1), outcome.Version)
	eventually(func() bool { return entry.Entry().Version(t.Context()) == 1 })
	require.NoError(t, entry.Stop(context.Background()))
	c.stop()
}
