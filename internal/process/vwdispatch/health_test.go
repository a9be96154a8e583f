package vwdispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// sendOne sets the credits of each worker to one, sends and finishes tasks, and returns how many each
// worker got.
func sendOne(t *testing.T, q *vwdispatch.Queue, now time.Time, failing map[vwid.Incarnation]bool) map[vwid.Incarnation]int {
	t.Helper()
	sent := map[vwid.Incarnation]int{}
	for _, worker := range []vwid.Incarnation{"worker-a", "worker-b", "worker-c"} {
		q.ReturnCredits(worker, 100)
		q.Grant(worker, 1)
	}
	for next, ok := q.Next(now); ok; next, ok = q.Next(now) {
		sent[next.Worker]++
		q.Finish(now, next.Worker, next.Task.Team, vwdispatch.TaskResult{Failed: failing[next.Worker]})
	}
	return sent
}

// Guards against a worker that attracts tasks because it fails them quickly, and against one that gets
// several tasks at once before its probes succeed, or no task after its fault is repaired.
func TestEjectionAndReturn(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a", "b", "c")
	require.NoError(t, q.Enqueue(start, makeJob("j", "t", 1000, 0)))
	failing := map[vwid.Incarnation]bool{"worker-a": true}
	failed := 0
	for range 20 {
		failed += sendOne(t, q, start, failing)["worker-a"]
	}
	require.Equal(t, 4, failed)
	now := start.Add(time.Second)
	require.Equal(t, 1, sendOne(t, q, now, failing)["worker-a"], "one probe after the ejection")
	require.Zero(t, sendOne(t, q, now.Add(time.Second), failing)["worker-a"], "the second ejection lasts longer")
	now = now.Add(2 * time.Second)
	q.Grant("worker-a", 3)
	first, ok := q.Next(now)
	require.True(t, ok)
	require.Equal(t, vwid.Incarnation("worker-a"), first.Worker)
	_, ok = q.Next(now)
	require.False(t, ok, "only one probe at a time until enough succeeded")
	q.Finish(now, "worker-a", "t", vwdispatch.TaskResult{})
	require.Equal(t, 1, sendOne(t, q, now, nil)["worker-a"])
	require.Equal(t, 1, sendOne(t, q, now, nil)["worker-a"])
	q.Grant("worker-a", 2)
	for range 2 {
		next, ok := q.Next(now)
		require.True(t, ok)
		require.Equal(t, vwid.Incarnation("worker-a"), next.Worker)
	}
}

// Guards against a worker that stays blocked because its probe was requeued and never gave a result.
func TestReturnAfterRequeue(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a", "b", "c")
	require.NoError(t, q.Enqueue(start, makeJob("j", "t", 100, 0)))
	for range 4 {
		sendOne(t, q, start, map[vwid.Incarnation]bool{"worker-a": true})
	}
	now := start.Add(time.Second)
	q.Grant("worker-a", 2)
	probe, ok := q.Next(now)
	require.True(t, ok)
	q.Requeue(now, probe.Task)
	_, ok = q.Next(now)
	require.False(t, ok)
	probe, ok = q.Next(now.Add(10 * time.Second))
	require.True(t, ok)
	require.Equal(t, vwid.Incarnation("worker-a"), probe.Worker)
}

// Guards against the ejection of healthy workers when the tasks are the cause of the failures.
func TestNoEjectionWhenAllFail(t *testing.T) {
	q := makeQueue(vwdispatch.Policy{}, "a", "b", "c")
	require.NoError(t, q.Enqueue(start, makeJob("j", "t", 100, 0)))
	all := map[vwid.Incarnation]bool{"worker-a": true, "worker-b": true, "worker-c": true}
	for range 20 {
		require.Len(t, sendOne(t, q, start, all), 3)
	}
}
