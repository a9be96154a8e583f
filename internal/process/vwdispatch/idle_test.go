package vwdispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

func runOne(t *testing.T, q *Queue, at time.Duration, service vwid.Service, team vwid.Team) {
	t.Helper()
	id := vwid.SubmissionID(fmt.Sprint(service, team, at))
	require.NoError(t, q.Enqueue(simTime(at), Job{SubmissionID: id, Team: team, Service: service, Tasks: []JobTask{{}}}))
	worker := vwid.Incarnation(service)
	q.AddWorker(Worker{Incarnation: worker, Service: service, Slots: 1})
	q.Grant(worker, 1)
	_, ok := q.Next(simTime(at))
	require.True(t, ok)
	q.Finish(simTime(at), worker, team, TaskResult{RunTime: time.Second})
	q.RemoveWorker(worker)
}

// Guards against memory that grows with each name of a team or service that a caller sends.
func TestIdleStateIsDropped(t *testing.T) {
	q := MakeQueue(QueueSettings{})
	for i := range 1000 {
		at := time.Duration(i) * time.Second
		runOne(t, q, at, vwid.Service(fmt.Sprint("service", i)), vwid.Team(fmt.Sprint("team", i)))
		_ = q.Enqueue(simTime(at), Job{SubmissionID: "refused", Team: vwid.Team(fmt.Sprint("late", i)), Service: "late", Deadline: simTime(0), Tasks: []JobTask{{}}})
		q.TakeExpired(simTime(at))
	}
	bound := 2 * int(2*retention/time.Second)
	require.LessOrEqual(t, len(q.teams), bound)
	require.LessOrEqual(t, len(q.services), bound)
	require.Len(t, q.serviceOrder, len(q.services))
	q.TakeExpired(simTime(1000*time.Second + 2*retention))
	require.Empty(t, q.teams)
	require.Empty(t, q.services)
}

// Guards against dropping the state of a team with waiting or sent tasks or a token bucket that is not
// full: its tasks, counts or rate limit would be lost.
func TestStateInUseIsKept(t *testing.T) {
	q := MakeQueue(QueueSettings{Policy: Policy{Teams: map[vwid.Team]TeamPolicy{"slow": {Rate: 0.001, Burst: 1}}}})
	later := simTime(2 * retention)
	q.TakeExpired(simTime(0))
	require.NoError(t, q.Enqueue(simTime(0), Job{SubmissionID: "waiting", Team: "waiting", Service: "a", Tasks: []JobTask{{}}}))
	q.AddWorker(Worker{Incarnation: "b", Service: "b", Slots: 1})
	q.Grant("b", 1)
	require.NoError(t, q.Enqueue(simTime(0), Job{SubmissionID: "sent", Team: "sent", Service: "b", Tasks: []JobTask{{}}}))
	_, ok := q.Next(simTime(0))
	require.True(t, ok)
	runOne(t, q, 0, "c", "slow")
	q.TakeExpired(later)
	require.Equal(t, 1, q.teams["sent"].sentTasks)
	require.True(t, IsLimit(q.Enqueue(later, Job{SubmissionID: "second", Team: "slow", Service: "c", Tasks: []JobTask{{}}})))
	q.AddWorker(Worker{Incarnation: "a", Service: "a", Slots: 1})
	q.Grant("a", 1)
	sent, ok := q.Next(later)
	require.True(t, ok)
	require.Equal(t, vwid.Team("waiting"), sent.Task.Team)
}
