package vwhistory_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwcaller"
	"vanillawind.example/vanillawind/internal/connection/vwcallertest"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwresource"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// Guards against a job that is sent again while runs of its first submission go on: when the caller leaves, the stop must
// reach agents whose link is down at that time or breaks before the stop has arrived.
func TestJobSentAgainRunsOnce(t *testing.T) {
	cases := map[string]func(c *effortCluster, entry, agent string){
		"link is reset":  func(c *effortCluster, entry, agent string) { c.network.Reset(entry, agent) },
		"link is silent": func(c *effortCluster, entry, agent string) { c.network.SilenceOpen(entry, agent) },
	}
	for name, breakLink := range cases {
		for again := range 2 {
			t.Run(name+map[int]string{0: ", same entry", 1: ", other entry"}[again], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var log bytes.Buffer
					c := makeEffortCluster(slog.New(slog.NewTextHandler(&log, nil)), 2, 2)
					callers := vwgroup.Make(context.Background())
					defer func() {
						_ = callers.Wait()
						c.stopAll()
						if t.Failed() {
							t.Log(log.String())
						}
					}()
					c.changeRules(t, effortRules)
					const runTime = 3 * time.Second
					job := vwplace.Job{
						ID: "0123456789abcdef", Service: service, Team: team, Level: 5, Payload: []byte(`"x"`), Count: 2,
						Needs: vwresource.Amount{CPU: 2000, Memory: vwunit.MiB}, Estimate: runTime, Slowdown: 10, MaxFailures: 3,
					}
					for i := range job.Count {
						c.record.expect(vwworker.Task{Job: job.ID, Index: i}, runTime)
					}
					ctx, leave := context.WithCancel(t.Context())
					first, _ := c.entries[0].current()
					callers.Run(func(context.Context) { _, _ = first.RunBestEffort(ctx, job) })
					time.Sleep(500 * time.Millisecond)
					for _, w := range c.workers {
						breakLink(c, c.entries[0].address, w.address)
					}
					leave()
					time.Sleep(resendAfter)
					second, _ := c.entries[again].current()
					answer, err := second.RunBestEffort(t.Context(), job)
					require.NoError(t, err)
					require.Equal(t, vwplace.OutcomeCompleted, answer.Outcome, answer.Reason)
					require.Empty(t, c.record.found)
				})
			})
		}
	}
}

// Guards against a job that nobody cancels: its caller leaves while the entry has not yet handled the call, for example
// because it stood still. The caller may have sent the job to another entry since.
func TestJobOfCallerThatHasLeftIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := makeEffortCluster(slog.New(slog.DiscardHandler), 1, 1)
		defer c.stopAll()
		c.changeRules(t, effortRules)
		task := vwworker.Task{Job: "0123456789abcdef"}
		c.record.expect(task, 3*time.Second)
		ctx, leave := context.WithCancel(t.Context())
		leave()
		entry, _ := c.entries[0].current()
		_, err := entry.RunBestEffort(ctx, vwplace.Job{
			ID: task.Job, Service: service, Team: team, Level: 5, Payload: []byte(`"x"`), Count: 1,
			Needs: vwresource.Amount{CPU: 2000, Memory: vwunit.MiB}, Estimate: 3 * time.Second, Slowdown: 10, MaxFailures: 3,
		})
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(time.Second)
		require.Zero(t, c.workers[0].worker.Running())
	})
}

// caller is a caller with a connection to an entry whose server has not read the end of the connection yet.
type caller struct {
	conn *net.TCPConn
	// ctx is the context of the caller's request. Only its connection shows that the caller has left.
	ctx context.Context
}

func makeCaller(t *testing.T) *caller {
	t.Helper()
	conn, served := vwcallertest.Connect(t)
	return &caller{conn: conn, ctx: vwcaller.WithConn(t.Context(), served)}
}

// Guards against tasks that run at two entries: an entry that stood still, or is slow to read its connections, sends tasks of
// callers that have closed their connections and turned to another entry, because its server has not told it yet.
func TestTasksOfCallersThatHaveLeftAreNotSent(t *testing.T) {
	const runTime = 200 * time.Millisecond
	cases := map[string]struct {
		// act lets the callers of the job hand it in and leave while the worker is full.
		act  func(t *testing.T, call func(*caller))
		runs bool
	}{
		"before the call is handled": {func(t *testing.T, call func(*caller)) {
			c := makeCaller(t)
			require.NoError(t, c.conn.Close())
			call(c)
		}, false},
		"while the job waits": {func(t *testing.T, call func(*caller)) {
			c := makeCaller(t)
			call(c)
			require.NoError(t, c.conn.Close())
		}, false},
		"by a reset": {func(t *testing.T, call func(*caller)) {
			c := makeCaller(t)
			call(c)
			require.NoError(t, c.conn.SetLinger(0))
			require.NoError(t, c.conn.Close())
		}, false},
		"all callers of a job": {func(t *testing.T, call func(*caller)) {
			first, second := makeCaller(t), makeCaller(t)
			call(first)
			call(second)
			require.NoError(t, first.conn.Close())
			require.NoError(t, second.conn.Close())
		}, false},
		"one of two callers": {func(t *testing.T, call func(*caller)) {
			first, second := makeCaller(t), makeCaller(t)
			call(first)
			call(second)
			require.NoError(t, first.conn.Close())
		}, true},
		"no caller": {func(t *testing.T, call func(*caller)) { call(makeCaller(t)) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := makeEffortCluster(slog.New(slog.DiscardHandler), 1, 1)
				callers := vwgroup.Make(t.Context())
				defer func() {
					_ = callers.Stop()
					cluster.stopAll()
				}()
				cluster.changeRules(t, effortRules)
				entry, _ := cluster.entries[0].current()
				makeJob := func(id vwid.SubmissionID, cores vwresource.MilliCPU) vwplace.Job {
					cluster.record.expect(vwworker.Task{Job: id}, runTime)
					return vwplace.Job{
						ID: id, Service: service, Team: team, Level: 5, Payload: []byte(`"x"`), Count: 1,
						Needs: vwresource.Amount{CPU: 1000 * cores, Memory: vwunit.MiB}, Estimate: runTime, Slowdown: 10, MaxFailures: 3,
					}
				}
				before, job := makeJob("before0000000000", workerCores), makeJob("0123456789abcdef", 1)
				callers.Run(func(ctx context.Context) { _, _ = entry.RunBestEffort(ctx, before) })
				time.Sleep(runTime / 2)
				c.act(t, func(caller *caller) {
					callers.Run(func(context.Context) { _, _ = entry.RunBestEffort(caller.ctx, job) })
					synctest.Wait()
				})
				time.Sleep(10 * runTime)
				require.Equal(t, 1, cluster.record.startsOf(vwworker.Task{Job: before.ID}))
				require.Equal(t, c.runs, cluster.record.startsOf(vwworker.Task{Job: job.ID}) > 0)
			})
		})
	}
}

// Guards against a single request that a caller has sent to another entry since, and that runs here as well because the process was slow
// to read it.
func TestRequestOfCallerThatHasLeftIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(1, 1, slog.New(slog.DiscardHandler))
		defer c.stop()
		change := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "first", Text: []byte(rules), By: "Ana"}}
		_, err := c.control.Client().Propose(t.Context(), change)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		caller := makeCaller(t)
		require.NoError(t, caller.conn.Close())
		answer := c.entries[0].call(caller.ctx, false, http.MethodPost, "/Requests", vwapi.Request{Service: service, Team: team, Payload: json.RawMessage("20")})
		require.Equal(t, http.StatusServiceUnavailable, answer.Code, answer.Body)
		require.Empty(t, c.record.all())
	})
}
