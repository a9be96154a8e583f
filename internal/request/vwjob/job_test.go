package vwjob_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func makeJob(t require.TestingT, count int) *vwjob.Job {
	spec := vwjob.Spec{SubmissionID: "s"}
	for i := range count {
		spec.Tasks = append(spec.Tasks, vwjob.TaskSpec{ID: vwid.TaskID(fmt.Sprint(i))})
	}
	job, err := vwjob.Make(spec, 2)
	require.NoError(t, err)
	return job
}

func ranResult(task vwid.TaskID) *vwmessage.Result {
	return &vwmessage.Result{TaskID: task, Epoch: 2, Verdict: vwverdict.Ran, Payload: []byte(task)}
}

// Guards against a change of the answer by a result that is late, of a later epoch, of an unknown or unsent
// task, or from another worker.
func TestStrayResultsAreDropped(t *testing.T) {
	cases := map[string]struct {
		worker vwid.Incarnation
		result vwmessage.Result
	}{
		"unknown task":     {"a", vwmessage.Result{TaskID: "9", Epoch: 2, Verdict: vwverdict.Ran}},
		"other worker":     {"b", vwmessage.Result{TaskID: "0", Epoch: 2, Verdict: vwverdict.Ran}},
		"later epoch":      {"a", vwmessage.Result{TaskID: "0", Epoch: 3, Verdict: vwverdict.Ran}},
		"task not sent":    {"a", vwmessage.Result{TaskID: "1", Epoch: 2, Verdict: vwverdict.Ran}},
		"late not run":     {"a", vwmessage.Result{TaskID: "1", Epoch: 2, Verdict: vwverdict.NotRun}},
		"failure of other": {"b", vwmessage.Result{TaskID: "0", Epoch: 2, Verdict: vwverdict.Ran, Failed: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			job := makeJob(t, 2)
			job.Send(0, "a")
			_, match := job.Apply(c.worker, &c.result)
			require.Equal(t, vwjob.EffectDropped, match)
			require.Equal(t, vwjob.PhaseSent, job.Phase(0))
			require.False(t, job.Ended())
		})
	}
}

// Guards against a failed job with the verdict NotRun although a task may have run, and against another
// verdict although none can have run.
func TestFailureVerdict(t *testing.T) {
	cases := map[string]struct {
		act  func(*vwjob.Job)
		want vwverdict.Verdict
	}{
		"nothing sent": {func(*vwjob.Job) {}, vwverdict.NotRun},
		"sent":         {func(j *vwjob.Job) { j.Send(0, "a") }, vwverdict.MayHaveRun},
		"refused unrun": {func(j *vwjob.Job) {
			j.Send(0, "a")
			j.Apply("a", &vwmessage.Result{TaskID: "0", Epoch: 2, Verdict: vwverdict.NotRun})
		}, vwverdict.NotRun},
		"one of two ran": {func(j *vwjob.Job) { j.Send(0, "a"); j.Apply("a", ranResult("0")) }, vwverdict.MayHaveRun},
		"reconciled":     {func(j *vwjob.Job) { j.Send(0, "a"); j.Reconcile("a", j.SentTo("a"), &vwmessage.FenceReply{}) }, vwverdict.NotRun},
		"taken over":     {func(j *vwjob.Job) { j.SetPriorStartsUnknown(true) }, vwverdict.MayHaveRun},
		"settled":        {func(j *vwjob.Job) { j.SetPriorStartsUnknown(true); j.SetPriorStartsUnknown(false) }, vwverdict.NotRun},
		"worker lost":    {func(j *vwjob.Job) { j.Send(0, "a"); j.FailLostWorker("a") }, vwverdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			job := makeJob(t, 2)
			c.act(job)
			job.Fail("Cancelled", "cancelled")
			require.Equal(t, c.want, job.Failure().Verdict)
		})
	}
}

// Guards against a job that ends without each task's own result although none has failed, or that starts a
// task twice, over any order of sends, refusals, results, lost links and duplicates.
func TestJobIsCompleteOrFailed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "tasks")
		job := makeJob(t, count)
		starts := make([]int, count)
		running := map[int]vwid.Incarnation{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			index := rapid.IntRange(0, count-1).Draw(t, "task")
			worker := vwid.Incarnation(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker"))
			id := job.Tasks[index].ID
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				if job.Phase(index) == vwjob.PhaseWaiting && !job.Ended() {
					job.Send(index, worker)
					starts[index]++
					running[index] = worker
				}
			case 1:
				if running[index] == worker {
					job.Apply(worker, ranResult(id))
				}
			case 2:
				// The worker refuses a task that it has not started.
				if running[index] == worker && job.Phase(index) == vwjob.PhaseSent {
					job.Apply(worker, &vwmessage.Result{TaskID: id, Epoch: 2, Verdict: vwverdict.NotRun})
					starts[index]--
					delete(running, index)
				}
			case 3:
				job.Reconcile(worker, job.SentTo(worker), startedBy(job, running, worker))
			case 4:
				job.Apply(worker, &vwmessage.Result{TaskID: id, Epoch: 1, Verdict: vwverdict.NotRun})
			}
		}
		for index := range count {
			require.LessOrEqual(t, starts[index], 1, "task %d started twice", index)
			if job.Ended() {
				require.Equal(t, string(job.Tasks[index].ID), string(job.Result(index)))
			}
		}
	})
}

func startedBy(job *vwjob.Job, running map[int]vwid.Incarnation, worker vwid.Incarnation) *vwmessage.FenceReply {
	reply := &vwmessage.FenceReply{}
	for index, at := range running {
		if at == worker {
			reply.Started = append(reply.Started, vwmessage.StartedTask{TaskID: job.Tasks[index].ID})
		}
	}
	return reply
}
