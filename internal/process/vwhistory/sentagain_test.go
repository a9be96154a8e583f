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
	"vanillawind.example/vanillawind/internal/version/vwstate"
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
					change := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "first", Text: []byte(effortRules), By: "Ana"}}
					_, err := c.control.Client().Propose(t.Context(), change)
					require.NoError(t, err)
					time.Sleep(5 * time.Second)
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
