package vwprocess_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// controlCluster is a cluster of control processes with keys of one authority.
type controlCluster struct {
	t         *testing.T
	authority *vwkeys.Authority
	members   []string
	running   []*vwprocess.Control
}

func startControlCluster(t *testing.T, count int) *controlCluster {
	authority, err := vwkeys.MakeAuthority("c")
	require.NoError(t, err)
	c := &controlCluster{t: t, authority: authority}
	var sockets []*net.UDPConn
	for range count {
		socket, err := vwlink.BindQUIC(loopback)
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

func (c *controlCluster) keys(process vwid.Process) vwkeys.Source {
	keys, err := vwkeys.MakeMemory(c.authority, process)
	require.NoError(c.t, err)
	return keys
}

func (c *controlCluster) startEntry(process vwid.Process) *vwprocess.Entry {
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre = process, "north"
	entry, err := vwprocess.StartEntry(c.t.Context(), vwprocess.EntryConfig{
		Cluster: "c", Settings: settings, LinkAddress: loopback, CallersAddress: loopback, OperatorsAddress: loopback,
		Keys: c.keys(process), ControlMembers: c.members, Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(c.t, err)
	return entry
}

func (c *controlCluster) stop() {
	for _, process := range c.running {
		require.NoError(c.t, process.Stop(context.Background()))
	}
}

// Guards against an entry without a data directory that cannot work with separate control processes, or that is not
// notified of a configuration change there.
func TestEntryWithoutDataDirectory(t *testing.T) {
	c := startControlCluster(t, 3)
	entry := c.startEntry("entry-1")
	eventually(func() bool { return entry.Entry().Ready(t.Context()) == nil })
	outcome, err := entry.Control().Propose(t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1"}})
	require.NoError(t, err)
	require.Equal(t, vwid.ConfigVersion(1), outcome.Version)
	eventually(func() bool { return entry.Entry().Version(t.Context()) == 1 })
	require.NoError(t, entry.Stop(context.Background()))
	c.stop()
}

func (c *controlCluster) startWorker(entry *vwprocess.Entry) (*vwprocess.Agent, *vwstandin.Server) {
	agent, err := vwprocess.StartAgent(c.t.Context(), vwprocess.AgentConfig{
		Settings:    vwagent.Settings{Cluster: "c", Process: "agent-1", DataCentre: "north", Entries: []string{entry.LinkAddress()}, Slots: 8},
		LinkAddress: loopback, BackendAddress: loopback, OperatorsAddress: loopback,
		Keys: c.keys("agent-1"), Log: slog.New(slog.DiscardHandler),
	})
	require.NoError(c.t, err)
	backend, err := vwstandin.Serve(context.Background(), vwstandin.Config{
		Worker: "agent-1", DataCentre: "north", Service: "s", Slots: 8, Agent: "http://" + agent.BackendAddress(),
	})
	require.NoError(c.t, err)
	return agent, backend
}

func (c *controlCluster) leader() int {
	for i, process := range c.running {
		status := process.Member().Status()
		if status.Self.Member == status.Log.Leader.Member {
			return i
		}
	}
	return -1
}

// Guards against the loss of the control leader disturbing callers or operators: with a quorum of two of three
// members left, submissions are accepted, leases are renewed and changes take effect.
func TestLossOfControlLeader(t *testing.T) {
	c := startControlCluster(t, 3)
	entry := c.startEntry("entry-1")
	agent, backend := c.startWorker(entry)
	eventually(func() bool {
		return entry.Entry().Ready(t.Context()) == nil && entry.Entry().WorkerCount(t.Context()) == 1 && c.leader() >= 0
	})
	incarnation := entry.Entry().Incarnation()
	submit := func() int {
		id := vwid.MakeSubmissionID()
		body := `{"ID":"` + string(id) + `","Service":"s","Team":"t","Tasks":[{"ID":"1","Payload":{"Echo":1}}]}`
		response, err := http.Post("http://"+entry.CallersAddress()+"/Jobs", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, submit())
	lost := c.leader()
	c.running[lost].Kill()
	c.running = slices.Delete(c.running, lost, lost+1)
	for range 20 {
		require.Equal(t, http.StatusOK, submit())
	}
	_, err := entry.Control().Propose(t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1"}})
	require.NoError(t, err)
	eventually(func() bool { return entry.Entry().Version(t.Context()) == 1 })
	require.Equal(t, incarnation, entry.Entry().Incarnation())
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, backend.Stop(context.Background()))
	require.NoError(t, agent.Stop(context.Background()))
	require.NoError(t, entry.Stop(context.Background()))
	c.stop()
}
