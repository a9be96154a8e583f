//go:build long

package vwdemo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"runtime/pprof"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwdemo"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func percentile(durations []time.Duration, share float64) time.Duration {
	slices.Sort(durations)
	return durations[int(share*float64(len(durations)-1))]
}

func startMeasured(t *testing.T, workersEach, slots int) *vwdemo.Cluster {
	config := vwdemo.DefaultConfig()
	config.WorkersEach, config.Slots = workersEach, slots
	return startClusterOf(t, config)
}

// Measures the time until a submission without tasks to wait for is accepted: a job with Wait=false.
func TestMeasureAcceptance(t *testing.T) {
	cluster := startMeasured(t, 1, 8)
	var took []time.Duration
	for range 300 {
		data, err := json.Marshal(makeJob(1, 0))
		require.NoError(t, err)
		begun := time.Now()
		response, err := http.Post("http://"+cluster.Entries[0].CallersAddress()+"/Jobs?Wait=false", "application/json", bytes.NewReader(data))
		require.NoError(t, err)
		took = append(took, time.Since(begun))
		require.NoError(t, response.Body.Close())
	}
	t.Logf("acceptance: median %v, p99 %v", percentile(took, 0.5), percentile(took, 0.99))
	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, cluster.Stop(context.Background()))
}

// Measures how long control accepts nothing after the crash of its leader.
func TestMeasureNewLeader(t *testing.T) {
	var took []time.Duration
	for range 5 {
		cluster := startMeasured(t, 1, 8)
		leader := slices.IndexFunc(cluster.Entries, func(entry *vwprocess.Entry) bool {
			status := entry.Member().Status()
			return status.Self.Member == status.Log.Leader.Member
		})
		other := cluster.Entries[(leader+1)%3]
		cluster.Entries[leader].Kill()
		begun := time.Now()
		_, err := other.Control().Read(context.Background(), vwstate.Query{Config: true})
		require.NoError(t, err)
		took = append(took, time.Since(begun))
		require.NoError(t, cluster.StartEntry(context.Background(), leader))
		require.NoError(t, cluster.Stop(context.Background()))
	}
	t.Logf("new leader: %v", took)
}

// Measures the time from a change of the rules until all entries and agents act under it.
func TestMeasureChange(t *testing.T) {
	cluster := startMeasured(t, 2, 8)
	var took []time.Duration
	for i := range 20 {
		change := &vwstate.ChangeRules{ChangeID: vwid.ChangeID(strconv.Itoa(i)), Base: vwid.ConfigVersion(i)}
		begun := time.Now()
		outcome, err := cluster.Entries[0].Control().Propose(context.Background(), vwstate.Command{ChangeRules: change})
		require.NoError(t, err)
		for _, entry := range cluster.Entries {
			for entry.Entry().Version(context.Background()) < outcome.Version {
				time.Sleep(time.Millisecond)
			}
		}
		for _, agent := range cluster.Agents {
			for agent.Agent().Version(context.Background()) < outcome.Version {
				time.Sleep(time.Millisecond)
			}
		}
		took = append(took, time.Since(begun))
		time.Sleep(300 * time.Millisecond)
	}
	t.Logf("change in effect: median %v, most %v", percentile(took, 0.5), percentile(took, 1))
	require.NoError(t, cluster.Stop(context.Background()))
}

// Measures the CPU time of an idle cluster. All daemons share the process, so their mean is shown.
func TestMeasureIdle(t *testing.T) {
	cluster := startMeasured(t, 4, 8)
	time.Sleep(time.Second)
	const span = 10 * time.Second
	before := cpuTime(t)
	time.Sleep(span)
	used := cpuTime(t) - before
	daemons := len(cluster.Entries) + len(cluster.Agents)
	t.Logf("idle: %d daemons with stand-ins use %.2f %% of a core together, %.3f %% each", daemons, 100*used.Seconds()/span.Seconds(), 100*used.Seconds()/span.Seconds()/float64(daemons))
	require.NoError(t, cluster.Stop(context.Background()))
}

// Measures tasks per second through one entry, and CPU time for each task. The stand-ins and callers are
// in the same process, so the CPU time is an upper bound; VW_PROFILE names a file for a profile that
// tells the parts apart.
func TestMeasureThroughput(t *testing.T) {
	cluster := startMeasured(t, 4, 64)
	url := "http://" + cluster.Entries[0].CallersAddress() + "/Jobs"
	if path := os.Getenv("VW_PROFILE"); path != "" {
		file, err := os.Create(path)
		require.NoError(t, err)
		require.NoError(t, pprof.StartCPUProfile(file))
		defer func() { pprof.StopCPUProfile(); require.NoError(t, file.Close()) }()
	}
	const jobs, size, parallel = 20, 900, 10
	before, begun := cpuTime(t), time.Now()
	group := vwgroup.Make(context.Background())
	for range parallel {
		group.Go(func(ctx context.Context) error {
			for range jobs {
				var answer vwapi.Answer
				job := makeJob(size, 0)
				if err := send(ctx, http.MethodPost, url, job, &answer); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	took, used := time.Since(begun), cpuTime(t)-before
	tasks := jobs * size * parallel
	t.Logf("throughput: %.0f tasks/s through one entry, %v CPU for each task with stand-ins and callers", float64(tasks)/took.Seconds(), used/time.Duration(tasks))
	require.Len(t, cluster.Recorder().Starts(), tasks)
	require.NoError(t, cluster.Stop(context.Background()))
}
