package vwdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const service = vwid.Service("muotoilu")

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func makeJob(id string, team vwid.Team, count int, runTime time.Duration) vwdispatch.Job {
	job := vwdispatch.Job{SubmissionID: vwid.SubmissionID(id), Team: team, Service: service}
	for i := range count {
		job.Tasks = append(job.Tasks, vwdispatch.JobTask{TaskID: vwid.TaskID(fmt.Sprint(i)), Index: i, RunTime: runTime, Bytes: 10})
	}
	return job
}

func makeQueue(policy vwdispatch.Policy, dataCentres ...vwid.DataCentre) *vwdispatch.Queue {
	q := vwdispatch.MakeQueue(vwdispatch.QueueSettings{DataCentre: "a", Policy: policy})
	for _, dc := range dataCentres {
		q.AddWorker(vwdispatch.Worker{Incarnation: vwid.Incarnation("worker-" + dc), Service: service, DataCentre: dc, Slots: 8})
	}
	return q
}

// Guards against a refused job of which some tasks are queued, and against a refusal without the
// verdict NotRun, which permits a retry.
func TestLimits(t *testing.T) {
	late := makeJob("j", "t", 3, time.Second)
	late.Deadline = start.Add(time.Second - 1)
	cases := map[string]struct {
		policy vwdispatch.Policy
		job    vwdispatch.Job
		is     func(error) bool
	}{
		"queue tasks": {vwdispatch.Policy{QueueTasks: 2}, makeJob("j", "t", 3, 0), vwdispatch.IsLimit},
		"queue bytes": {vwdispatch.Policy{QueueBytes: 29}, makeJob("j", "t", 3, 0), vwdispatch.IsLimit},
		"team tasks":  {vwdispatch.Policy{Default: vwdispatch.TeamPolicy{QueueTasks: 2}}, makeJob("j", "t", 3, 0), vwdispatch.IsLimit},
		"team bytes":  {vwdispatch.Policy{Default: vwdispatch.TeamPolicy{QueueBytes: 29}}, makeJob("j", "t", 3, 0), vwdispatch.IsLimit},
		"rate":        {vwdispatch.Policy{Default: vwdispatch.TeamPolicy{Rate: 1, Burst: 2}}, makeJob("j", "t", 2, 0), nil},
		"in flight":   {vwdispatch.Policy{Default: vwdispatch.TeamPolicy{InFlight: 2}}, makeJob("j", "t", 3, 0), vwdispatch.IsLimit},
		"deadline":    {vwdispatch.Policy{}, late, vwdispatch.IsDeadline},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q := makeQueue(c.policy, "a")
			if c.is == nil {
				require.NoError(t, q.Enqueue(start, c.job))
				c.job.SubmissionID, c.is = "second", vwdispatch.IsLimit
			}
			before := q.Waiting()
			err := q.Enqueue(start, c.job)
			require.True(t, c.is(err), "%v", err)
			require.True(t, vwverdict.IsNotRun(err))
			require.Equal(t, before, q.Waiting())
			require.Empty(t, q.Cancel("second"))
		})
	}
}

// Guards against a task that Cancel returns as unsent and Next sends later.
func TestCancel(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a")
	require.NoError(t, q.Enqueue(start, makeJob("first", "t", 3, 0)))
	require.NoError(t, q.Enqueue(start, makeJob("second", "t", 1, 0)))
	require.True(t, vwdispatch.IsDuplicate(q.Enqueue(start, makeJob("first", "t", 1, 0))))
	q.Grant("worker-a", 8)
	sent, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, vwid.TaskID("0"), sent.Task.TaskID)
	require.Equal(t, []vwid.TaskID{"1", "2"}, q.Cancel("first"))
	require.Empty(t, q.Cancel("first"))
	sent, ok = q.Next(start)
	require.True(t, ok)
	require.Equal(t, vwid.SubmissionID("second"), sent.Task.SubmissionID)
	_, ok = q.Next(start)
	require.False(t, ok)
	require.Equal(t, 6, q.ReturnCredits("worker-a", 8))
}

// Guards against tasks sent to a data centre that is out of service, and against the loss of its
// credits in that time.
func TestDataCentreOut(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a", "b")
	require.NoError(t, q.Enqueue(start, makeJob("j", "t", 4, 0)))
	q.Grant("worker-a", 2)
	q.SetPolicy(vwdispatch.Policy{OutOfService: map[vwid.DataCentre]bool{"a": true}})
	_, ok := q.Next(start)
	require.False(t, ok)
	q.Grant("worker-b", 1)
	sent, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, vwid.Incarnation("worker-b"), sent.Worker)
	q.SetPolicy(vwdispatch.Policy{})
	sent, ok = q.Next(start)
	require.True(t, ok)
	require.Equal(t, vwid.Incarnation("worker-a"), sent.Worker)
	require.Equal(t, 1, q.ReturnCredits("worker-a", 8))
}

// Guards against tasks that are sent after the deadline of their job.
func TestExpiry(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a")
	job := makeJob("j", "t", 2, 0)
	job.Deadline = start.Add(time.Second)
	require.NoError(t, q.Enqueue(start, job))
	q.Grant("worker-a", 8)
	_, ok := q.Next(start.Add(time.Second))
	require.False(t, ok)
	require.Equal(t, []vwdispatch.ExpiredJob{{SubmissionID: "j", Tasks: []vwid.TaskID{"0", "1"}}}, q.TakeExpired(start.Add(time.Second)))
	require.Zero(t, q.Waiting())
}

// Guards against accepting a job whose team's backlog makes it miss its deadline.
func TestEarlyRefusal(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a")
	require.NoError(t, q.Enqueue(start, makeJob("first", "t", 100, 100*time.Millisecond)))
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		q.Grant("worker-a", 1)
		sent, ok := q.Next(now)
		require.True(t, ok)
		q.Finish(now.Add(100*time.Millisecond), sent.Worker, "t", vwdispatch.TaskResult{RunTime: 100 * time.Millisecond})
	}
	now := start.Add(time.Second)
	job := makeJob("second", "t", 1, 100*time.Millisecond)
	job.Deadline = now.Add(3 * time.Second)
	err := q.Enqueue(now, job)
	require.True(t, vwdispatch.IsDeadline(err))
	require.True(t, vwverdict.IsNotRun(err))
	job.Deadline = now.Add(30 * time.Second)
	require.NoError(t, q.Enqueue(now, job))
}

// Guards against refusals after an idle time, when the measured throughput is far below the capacity.
func TestNoEarlyRefusalAfterIdleTime(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a")
	require.NoError(t, q.Enqueue(start, makeJob("idle", "t", 1, 100*time.Millisecond)))
	q.Grant("worker-a", 1)
	_, ok := q.Next(start)
	require.True(t, ok)
	q.Finish(start, "worker-a", "t", vwdispatch.TaskResult{RunTime: 100 * time.Millisecond})
	now := start.Add(3 * time.Second)
	for _, id := range []string{"first", "second"} {
		job := makeJob(id, "t", 20, 100*time.Millisecond)
		job.Deadline = now.Add(time.Second)
		require.NoError(t, q.Enqueue(now, job))
	}
}

// Guards against serving tasks by arrival instead of priority, and against exceeding a quota.
func TestQuotaAndPriority(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{Teams: map[vwid.Team]vwdispatch.TeamPolicy{"first": {Priority: 1, Quota: 1}}}, "a")
	require.NoError(t, q.Enqueue(start, makeJob("low", "second", 2, 0)))
	require.NoError(t, q.Enqueue(start, makeJob("high", "first", 2, 0)))
	q.Grant("worker-a", 8)
	var order []vwid.SubmissionID
	for sent, ok := q.Next(start); ok; sent, ok = q.Next(start) {
		order = append(order, sent.Task.SubmissionID)
	}
	require.Equal(t, []vwid.SubmissionID{"high", "low", "low"}, order)
	q.Finish(start, "worker-a", "first", vwdispatch.TaskResult{})
	sent, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, vwid.SubmissionID("high"), sent.Task.SubmissionID)
}

// Guards against a queue that ignores, in a deep backlog, for which team a credit was granted, and
// against credits that stay unused because that team has no task to send.
func TestGrantFor(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{Teams: map[vwid.Team]vwdispatch.TeamPolicy{"urgent": {Priority: 1}}}, "a")
	require.NoError(t, q.Enqueue(start, makeJob("first", "t", 100, time.Second)))
	require.NoError(t, q.Enqueue(start, makeJob("second", "u", 3, time.Second)))
	require.NoError(t, q.Enqueue(start, makeJob("third", "urgent", 1, time.Second)))
	q.GrantFor("worker-a", "u", 5)
	var order []vwid.Team
	for sent, ok := q.Next(start); ok; sent, ok = q.Next(start) {
		order = append(order, sent.Task.Team)
	}
	require.Equal(t, []vwid.Team{"urgent", "u", "u", "u", "t"}, order)
}

// Guards against a reservation that remains after its credits are gone and gives a team more than its
// share.
func TestReservationEnds(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a", "b")
	require.NoError(t, q.Enqueue(start, makeJob("first", "t", 200, time.Second)))
	require.NoError(t, q.Enqueue(start, makeJob("second", "u", 200, time.Second)))
	q.GrantFor("worker-a", "u", 4)
	q.RemoveWorker("worker-a")
	_, ok := q.Next(start)
	require.False(t, ok)
	q.Grant("worker-b", 4)
	used := map[vwid.Team]int{}
	for sent, ok := q.Next(start); ok; sent, ok = q.Next(start) {
		used[sent.Task.Team]++
	}
	require.Equal(t, map[vwid.Team]int{"t": 2, "u": 2}, used)
}

// BenchmarkNext measures a dispatch decision at the entry, which allocates nothing.
func BenchmarkNext(b *testing.B) {
	q := makeQueue(vwdispatch.Policy{}, "a", "b", "c")
	for i := range 33 {
		require.NoError(b, q.Enqueue(start, makeJob(fmt.Sprint(i), vwid.Team(fmt.Sprint(i)), 1+b.N/33, time.Millisecond)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		q.Grant("worker-b", 1)
		sent, _ := q.Next(start)
		q.Finish(start, sent.Worker, sent.Task.Team, vwdispatch.TaskResult{RunTime: time.Millisecond})
	}
}
