package vwdispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// makeLongQueue returns a queue with count jobs of three tasks and a counter of comparisons of jobs.
func makeLongQueue(t testing.TB, count int) (*Queue, *int) {
	comparisons := new(int)
	q := MakeQueue(QueueSettings{})
	jobs := &q.service(simService).team(q.team("t")).jobs
	jobs.before = func(a, b *queuedJob) bool {
		*comparisons++
		return a.before(b)
	}
	for i := range count {
		job := Job{SubmissionID: vwid.SubmissionID(fmt.Sprint(i)), Team: "t", Service: simService, Tasks: make([]JobTask, 3)}
		job.Deadline = simTime(time.Hour + time.Duration(i*7919%count)*time.Millisecond)
		require.NoError(t, q.Enqueue(simTime(0), job))
	}
	*comparisons = 0
	return q, comparisons
}

// Guards against a cancellation whose cost grows with the length of the queue, and against cancelled
// jobs that stay in memory because the heap is never compacted.
func TestCancellationCost(t *testing.T) {
	cases := map[string]int{"short queue": 100, "long queue": 100_000}
	for name, count := range cases {
		t.Run(name, func(t *testing.T) {
			q, comparisons := makeLongQueue(t, count)
			for i := range count * 9 / 10 {
				require.Len(t, q.Cancel(vwid.SubmissionID(fmt.Sprint(i))), 3)
			}
			require.Zero(t, *comparisons)
			require.Equal(t, 3*(count-count*9/10), q.Waiting())
			require.NoError(t, q.Enqueue(simTime(0), Job{SubmissionID: "new", Team: "t", Service: simService, Tasks: make([]JobTask, 1)}))
			require.LessOrEqual(t, len(q.service(simService).team(q.team("t")).jobs.items), count/5)
			require.LessOrEqual(t, *comparisons, 3*count, "one compaction pays for all cancellations")
		})
	}
}

// Guards against shares of slot time that follow the run times declared by the callers instead of the
// weights.
func TestWeightedShares(t *testing.T) {
	weights := map[vwid.Team]float64{"one": 1, "two": 2, "five": 5}
	policy := Policy{Teams: map[vwid.Team]TeamPolicy{}}
	q := MakeQueue(QueueSettings{})
	q.AddWorker(Worker{Incarnation: "w", Service: simService, Slots: 8})
	for team, weight := range weights {
		policy.Teams[team] = TeamPolicy{Weight: weight}
		job := Job{SubmissionID: vwid.SubmissionID(team), Team: team, Service: simService}
		for range 10_000 {
			job.Tasks = append(job.Tasks, JobTask{RunTime: time.Duration(11-weight) * time.Hour})
		}
		require.NoError(t, q.Enqueue(simTime(0), job))
	}
	q.SetPolicy(policy)
	runTime := map[vwid.Team]time.Duration{"one": 100 * time.Millisecond, "two": 50 * time.Millisecond, "five": 300 * time.Millisecond}
	used := map[vwid.Team]float64{}
	for range 8000 {
		q.Grant("w", 1)
		sent, ok := q.Next(simTime(0))
		require.True(t, ok)
		used[sent.Task.Team] += runTime[sent.Task.Team].Seconds()
		q.Finish(simTime(0), "w", sent.Task.Team, TaskResult{RunTime: runTime[sent.Task.Team]})
	}
	for team, weight := range weights {
		require.InEpsilon(t, weight/8, used[team]/(used["one"]+used["two"]+used["five"]), 0.05, "%s", team)
	}
}

// Guards the target that dispatch decisions of the entry and the agent do not allocate.
func TestDecisionsDoNotAllocate(t *testing.T) {
	q, _ := makeLongQueue(t, 1000)
	q.AddWorker(Worker{Incarnation: "w", Service: simService, Slots: 8})
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		q.Grant("w", 1)
		sent, _ := q.Next(simTime(0))
		q.Finish(simTime(0), "w", sent.Task.Team, TaskResult{RunTime: time.Millisecond})
	}))
	g := MakeGranter(GranterSettings{Slots: 8})
	g.AddEntry("x", "a")
	demand := vwmessage.Demand{Teams: []vwmessage.TeamDemand{{Team: "t", Waiting: 100}}}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		g.SetDemand("x", demand)
		for _, action := range g.Decide(simTime(0)) {
			g.CreditsUsed(action.Entry, action.Grant)
			g.SlotsFreed(action.Grant)
		}
	}))
}
