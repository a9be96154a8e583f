package vwdispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Guards against tasks that wait for ever while slots are idle, because entry and agent disagree on
// the credits that are still to be granted. A standing of -1 disables the standing credits, which could
// hide the disagreement.
func TestEveryJobEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := simPolicy{overCommit: rapid.IntRange(0, 2).Draw(t, "over-commit"), standing: rapid.IntRange(-1, 2).Draw(t, "standing")}
		quota := rapid.IntRange(0, 5).Draw(t, "quota")
		w := workload{
			load: rapid.Float64Range(0.1, 2).Draw(t, "load"), teams: rapid.IntRange(1, 5).Draw(t, "teams"),
			size: burstSize, runTime: uniform(time.Millisecond, 300*time.Millisecond),
		}
		s := &scenario{length: 2 * time.Second, jobs: w.draw, policy: Policy{Teams: map[vwid.Team]TeamPolicy{"team0": {Quota: quota, Priority: 1}}}}
		if rapid.Bool().Draw(t, "drain") {
			s.events = []scenarioEvent{{500 * time.Millisecond, setOut(true)}, {time.Second, setOut(false)}}
		}
		d, seed := deployments[rapid.SampledFrom([]string{"muotoilu", "pedidos"}).Draw(t, "user")], rapid.Uint64().Draw(t, "seed")
		c, jobs := makeCluster(d, s, policy, seed), drawJobs(s, d, seed)
		c.run(jobs)
		serial := s.length + time.Second // with a quota of one, an entry runs the tasks one after the other
		for _, job := range jobs {
			for _, task := range job.tasks {
				serial += task.actual + 10*time.Millisecond
			}
		}
		for _, job := range jobs {
			require.Zero(t, job.unfinishedTasks, "job %s", job.id)
			require.Less(t, job.end, serial, "job %s", job.id)
		}
	})
}
