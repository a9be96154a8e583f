package vwhistory_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/pkg/vwgroup"
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
