package vwhistory_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// Operators must find best-effort jobs in the counters and gauges of entries and agents: where jobs are not stored,
// these were all zero beside a process under full load.
func TestBestEffortJobsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &effortHistory{
			t: t, random: rand.New(rand.NewPCG(1, 1)), callers: vwgroup.Make(context.Background()), faults: vwgroup.Make(context.Background()),
			cluster: makeEffortCluster(slog.New(slog.DiscardHandler), 1, 1),
		}
		change := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "first", Text: []byte(effortRules), By: "Ana"}}
		_, err := h.cluster.control.Client().Propose(t.Context(), change)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		entry, _ := h.cluster.entries[0].current()
		agent := h.cluster.workers[0].current()

		// One job fills the worker, so that another one waits and is refused.
		first, second := h.makeJob(), h.makeJob()
		for _, job := range []*vwplace.Job{&first, &second} {
			job.Count, job.Needs.CPU, job.Estimate = 1, 1000*workerCores, time.Second
			task := vwworker.Task{Job: job.ID}
			h.cluster.record.expect(task, time.Second)
			h.cluster.workers[0].worker.Needs(task, job.Needs)
		}
		outcomes := make(chan vwplace.Outcome, 2)
		for _, job := range []vwplace.Job{first, second} {
			h.callers.Run(func(ctx context.Context) {
				answer, _ := h.submit(ctx, job, 0)
				outcomes <- answer.Outcome
			})
			time.Sleep(100 * time.Millisecond)
		}
		require.EqualValues(t, 2, entry.Gauges().Active.Load())
		require.EqualValues(t, 1, entry.Gauges().Waiting.Load())
		require.EqualValues(t, 1, entry.Gauges().Workers.Load())
		require.EqualValues(t, 1, agent.Gauges().Busy.Load())
		require.True(t, agent.Gauges().Present.Load())
		require.Equal(t, vwplace.OutcomeRefused, <-outcomes)
		require.Equal(t, vwplace.OutcomeCompleted, <-outcomes)
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 1, entry.Counters().Complete.Load())
		require.EqualValues(t, 1, entry.Counters().JobsRefused.Load())
		require.Zero(t, entry.Counters().Failed.Load())
		require.Zero(t, entry.Gauges().Active.Load())
		require.Zero(t, agent.Gauges().Busy.Load())
		h.cluster.stopAll()
	})
}
