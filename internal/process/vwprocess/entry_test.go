package vwprocess_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const loopback = "127.0.0.1:0"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func makeKeys(t *testing.T, cluster vwid.Cluster, process vwid.Process) vwkeys.Source {
	authority, err := vwkeys.MakeAuthority(cluster)
	require.NoError(t, err)
	keys, err := vwkeys.MakeMemory(authority, process)
	require.NoError(t, err)
	return keys
}

// startSingleMember starts an entry that is the only control member.
func startSingleMember(t *testing.T, events *vwevent.Log) *vwprocess.Entry {
	files, err := vwstore.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre = "entry-1", "north"
	process, err := vwprocess.StartEntry(t.Context(), vwprocess.EntryConfig{
		Cluster: "c", Settings: settings, LinkAddress: loopback, CallersAddress: loopback, OperatorsAddress: loopback,
		Keys: makeKeys(t, "c", "entry-1"), Member: &vwprocess.MemberConfig{Files: files}, Log: slog.New(slog.DiscardHandler), Events: events,
	})
	require.NoError(t, err)
	return process
}

// eventually polls check until it returns true. It has no timeout of its own; the timeout of the test ends it.
func eventually(check func() bool) {
	for !check() {
		time.Sleep(5 * time.Millisecond)
	}
}

func get(t *testing.T, url string) int {
	response, err := http.Get(url)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against an entry that never becomes ready again after its registration has expired, as in a long
// partition: the process must start a new incarnation on the same addresses.
func TestLostEntryIsReplaced(t *testing.T) {
	process := startSingleMember(t, nil)
	ready := func() bool { return process.Entry().Ready(t.Context()) == nil }
	eventually(ready)
	lost, link, callers := process.Entry(), process.LinkAddress(), process.CallersAddress()
	_, err := process.Control().Propose(t.Context(), vwstate.Command{Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{lost.Incarnation()}}})
	require.NoError(t, err)
	eventually(func() bool { return process.Entry() != lost && ready() })
	require.NotEqual(t, lost.Incarnation(), process.Entry().Incarnation())
	require.Equal(t, link, process.LinkAddress())
	require.Equal(t, callers, process.CallersAddress())
	require.Equal(t, http.StatusNotFound, get(t, "http://"+callers+"/Jobs/"+string(vwid.MakeSubmissionID())))
	require.Equal(t, http.StatusOK, get(t, "http://"+process.OperatorsAddress()+"/readyz"))
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, process.Stop(context.Background()))
}

// Guards against profiles, health or the operators' resources being served on the callers' address.
func TestCallersAddressServesCallersOnly(t *testing.T) {
	process := startSingleMember(t, nil)
	eventually(func() bool { return process.Entry().Ready(t.Context()) == nil })
	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/debug/pprof/", "/Rules", "/Status"} {
		require.Equal(t, http.StatusNotFound, get(t, "http://"+process.CallersAddress()+path), path)
		require.Equal(t, http.StatusOK, get(t, "http://"+process.OperatorsAddress()+path), path)
	}
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, process.Stop(context.Background()))
}

// Guards against an event log that lacks the events from which an operator sees why an entry accepted nothing:
// elections, leases, applied configurations and data centres that are out.
func TestEventsOfEntryAndControl(t *testing.T) {
	var out bytes.Buffer
	log := vwevent.MakeLog(vwevent.Source{Process: "entry-1", Incarnation: "i"}, &out, vwevent.DefaultCapacity)
	process := startSingleMember(t, log)
	eventually(func() bool { return process.Entry().Ready(t.Context()) == nil })
	change := &vwstate.ChangeRules{ChangeID: "1", Text: []byte("DataCentre.north = {}  # a\nDataCentre.south = {}  # a\nOut.south = {}  # a\n")}
	_, err := process.Control().Propose(t.Context(), vwstate.Command{ChangeRules: change})
	require.NoError(t, err)
	eventually(func() bool { return process.Entry().Version(t.Context()) == 1 })
	require.NoError(t, process.Stop(context.Background()))
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	log.Run(stopped)
	events, faults, err := vwevent.Read(&out)
	require.NoError(t, err)
	require.Empty(t, faults)
	found := map[vwevent.Kind]vwevent.Event{}
	for _, event := range events {
		found[event.Kind] = event
	}
	for _, kind := range []vwevent.Kind{vwevent.LeaderElected, vwevent.LeaseGained, vwevent.ConfigApplied, vwevent.DataCentreOut} {
		require.Contains(t, found, kind)
	}
	require.Equal(t, "south", found[vwevent.DataCentreOut].Subject)
	require.Equal(t, vwid.ConfigVersion(1), found[vwevent.DataCentreOut].Version)
}
