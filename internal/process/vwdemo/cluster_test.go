package vwdemo_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwdemo"
	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// lateBound is the stated bound on starts in a data centre that was taken out.
const lateBound = 3 * time.Second

func startCluster(t *testing.T) *vwdemo.Cluster {
	return startClusterOf(t, vwdemo.DefaultConfig())
}

func startClusterOf(t *testing.T, config vwdemo.Config) *vwdemo.Cluster {
	cluster, err := vwdemo.Start(context.Background(), config)
	require.NoError(t, err)
	return cluster
}

// eventually waits until check holds. It has no bound of its own; the test's time-out ends it.
func eventually(check func() bool) {
	for !check() {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a lost or repeated task when the entry that owns a job crashes together with its control
// member: the caller submits the job again at another entry and gets the whole answer.
func TestJobSurvivesLossOfItsEntry(t *testing.T) {
	cluster := startCluster(t)
	job := makeJob(900, 20)
	lost := vwgroup.Make(context.Background())
	lost.Run(func(ctx context.Context) {
		_ = send(ctx, http.MethodPost, "http://"+cluster.Entries[0].CallersAddress()+"/Jobs", job, &vwapi.Answer{})
	})
	eventually(func() bool { return len(cluster.Recorder().Starts()) > 200 })
	cluster.Entries[0].Kill()
	_ = lost.Stop()
	require.Less(t, len(cluster.Recorder().Starts()), 900)
	var answer vwapi.Answer
	require.NoError(t, send(context.Background(), http.MethodPost, "http://"+cluster.Entries[1].CallersAddress()+"/Jobs", job, &answer))
	requireWhole(t, job, answer)
	require.Empty(t, cluster.Recorder().Duplicates())
	require.Len(t, cluster.Recorder().Starts(), 900)
	require.NoError(t, cluster.StartEntry(context.Background(), 0))
	require.NoError(t, cluster.Stop(context.Background()))
}

// Guards against starts in a data centre later than the stated bound after it was taken out, and against
// work that is cut by it.
func TestDataCentreThatIsOutStartsNothing(t *testing.T) {
	cluster := startCluster(t)
	operators := "http://" + cluster.Entries[1].OperatorsAddress()
	var changed vwapi.RulesChanged
	require.NoError(t, send(context.Background(), http.MethodPut, operators+"/Rules", vwapi.RulesChange{
		ChangeID: "1", By: "test", Text: "DataCentre.Helsinki = {}  # a\nDataCentre.Turku = {}  # a\nDataCentre.Tampere = {}  # a\n",
	}, &changed))
	l := startLoad(t, cluster, makeBalancer(cluster))
	startsIn := func(dataCentre vwid.DataCentre) int {
		count := 0
		for _, start := range cluster.Recorder().Starts() {
			if start.DataCentre == dataCentre {
				count++
			}
		}
		return count
	}
	eventually(func() bool { return startsIn("Helsinki") > 50 })
	require.NoError(t, send(context.Background(), http.MethodPost, operators+"/DataCentres/Helsinki/Out", vwapi.DataCentreOrder{ChangeID: "2", By: "test"}, &changed))
	outage := vwstandin.Outage{DataCentre: "Helsinki", Span: vwstandin.Span{Begin: time.Now()}}
	time.Sleep(lateBound + time.Second)
	l.stop()
	require.Empty(t, cluster.Recorder().LateStarts([]vwstandin.Outage{outage}, lateBound))
	require.Positive(t, startsIn("Turku"))
	require.NoError(t, cluster.Stop(context.Background()))
}

// Guards against a planned restart that cuts work: all agents and then all entries are restarted one by
// one under load, each after the balancer or its backend server has stopped sending to it.
func TestRollingRestartCutsNothing(t *testing.T) {
	config := vwdemo.DefaultConfig()
	config.WorkersEach = 1
	cluster := startClusterOf(t, config)
	b := makeBalancer(cluster)
	l := startLoad(t, cluster, b)
	ctx := context.Background()
	for i := range cluster.Agents {
		require.NoError(t, cluster.RestartWorker(ctx, i))
		agent := cluster.Agents[i].Agent()
		eventually(func() bool { return agent.Ready(ctx) == nil })
	}
	for i := range cluster.Entries {
		b.set(i, "")
		require.NoError(t, cluster.RestartEntry(ctx, i))
		entry := cluster.Entries[i]
		eventually(func() bool {
			return entry.Entry().Ready(ctx) == nil && entry.Entry().WorkerCount(ctx) == len(cluster.Agents)
		})
		b.set(i, entry.CallersAddress())
	}
	l.stop()
	require.NoError(t, cluster.Stop(ctx))
}

// A process with a wrong certificate or of another cluster must be refused with an error that names the cause.
func TestStrangersAreRefused(t *testing.T) {
	cluster := startCluster(t)
	foreign, err := vwkeys.MakeAuthority("demo")
	require.NoError(t, err)
	strange, err := vwkeys.MakeMemory(foreign, "stranger")
	require.NoError(t, err)
	known, err := cluster.Keys("stranger")
	require.NoError(t, err)
	cases := map[string]struct {
		keys    vwkeys.Source
		cluster vwid.Cluster
		process vwid.Process
		want    string
	}{
		"other authority": {strange, "demo", "stranger", "authority"},
		"other cluster":   {known, "other", "stranger", `belongs to cluster "other"`},
		"other process":   {known, "demo", "entry-1", "certificate does not name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tls, err := vwkeys.TLSConfig(c.keys, "demo")
			require.NoError(t, err)
			endpoint, err := vwlink.MakeQUICEndpoint("127.0.0.1:0", tls, vwmessage.Hello{Cluster: c.cluster, Process: c.process, Incarnation: "i", Role: "Agent"})
			require.NoError(t, err)
			_, err = endpoint.Dial(context.Background(), cluster.Entries[0].LinkAddress())
			require.ErrorContains(t, err, c.want)
			require.NoError(t, endpoint.Close())
		})
	}
	require.NoError(t, cluster.Stop(context.Background()))
}
