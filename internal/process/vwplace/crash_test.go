package vwplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/internal/request/vwrun"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// maxTaskCrashes is how many workers a task may crash before it is given up, and maxJobCrashes how many the tasks of
	// one job may crash.
	maxTaskCrashes = 2
	maxJobCrashes  = 2
	// maxSoundFailed is the share of the jobs without a deadly task that may be failed because of those with one.
	maxSoundFailed = 0.01
)

// jobCrashes returns the number of crashes that tasks of each job have caused.
func (s *simulation) jobCrashes() map[vwid.SubmissionID]int {
	found := map[vwid.SubmissionID]int{}
	for task, count := range s.taskCrashes {
		found[task.Job] += count
	}
	return found
}

// A deadly task must not crash worker after worker: each crash ends all that runs there, and the tasks beside it must still
// complete.
func TestDeadlyTaskCrashesTwoWorkers(t *testing.T) {
	cases := map[string]struct {
		// count is the number of tasks of the job, deadly how many of them are deadly.
		count, deadly int
	}{
		"one task": {1, 1}, "one of eight tasks": {8, 1}, "eight tasks": {8, 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := makeSimulation(1, 1, 11, 32, []simulatedKind{{name: "sound"}}, usualDelays)
			s.events = nil
			e := s.entries[0]
			s.after(0, e.tick)
			answers := map[vwid.SubmissionID]*Answer{}
			e.onAnswer = func(answer *Answer) { answers[answer.JobID] = answer }
			durations := make([]time.Duration, 8)
			for i := range durations {
				durations[i] = 100 * time.Millisecond
			}
			submit := func(id string, count int) {
				require.NoError(t, e.queue.Submit(s.at(), makeJob(id, count, func(j *Job) {
					j.Payload, j.Needs.Memory, j.Target, j.Deadline = encodeDurations(durations), 0, 600*time.Millisecond, s.at().Add(1500*time.Millisecond)
				})))
				e.schedulePass()
			}
			s.deadly["deadly"] = c.deadly
			const sound = 20
			for i := range sound {
				s.after(time.Duration(i)*10*time.Millisecond, func() { submit(fmt.Sprintf("sound-%d", i), 4) })
			}
			s.after(95*time.Millisecond, func() { submit("deadly", c.count) })
			s.run(3 * time.Second)

			for task, count := range s.taskCrashes {
				require.LessOrEqual(t, count, maxTaskCrashes, "crashes by task %v", task)
			}
			require.LessOrEqual(t, s.jobCrashes()["deadly"], maxJobCrashes)
			require.Equal(t, OutcomeFailed, answers["deadly"].Outcome, "the job must be answered as failed at once: %s", answers["deadly"].Reason)
			require.Less(t, answers["deadly"].TotalTime, 500*time.Millisecond)
			for i := range sound {
				require.Equal(t, OutcomeCompleted, answers[vwid.SubmissionID(fmt.Sprintf("sound-%d", i))].Outcome)
			}
		})
	}
}

// Deadly tasks in a crowd must not bring sound jobs to an end as failed, and each of them must be given up after two crashes.
func TestDeadlyTasksInACrowd(t *testing.T) {
	for _, share := range []float64{0.02, 0.1} {
		t.Run(fmt.Sprintf("share %v", share), func(t *testing.T) {
			const length, load = 20 * time.Second, 0.6
			s := makeUserSimulation(1, 3, load, usualDelays)
			s.deadlyShare = share
			s.run(length)
			most, deadly, failed, deadlyFailed, submitted := vwworker.Task{}, 0, 0, 0, 0
			for task, count := range s.taskCrashes {
				if count > s.taskCrashes[most] {
					most = task
				}
			}
			for i := range s.reports {
				r := &s.reports[i]
				t.Logf("%s: failed sound jobs %d of %d", s.kinds[i].name, r.failed-r.deadlyFailed, r.submitted-r.deadly)
				deadly, failed, deadlyFailed, submitted = deadly+r.deadly, failed+r.failed, deadlyFailed+r.deadlyFailed, submitted+r.submitted
			}
			soundFailed := float64(failed-deadlyFailed) / float64(submitted-deadly)
			t.Logf("crashes %d by %d tasks, most by one %d, deadly jobs %d of which failed %d, sound jobs %d of which failed %.4f\n%s",
				s.crashes, len(s.taskCrashes), s.taskCrashes[most], deadly, deadlyFailed, submitted-deadly, soundFailed, s.summary())
			require.LessOrEqual(t, s.taskCrashes[most], maxTaskCrashes)
			require.LessOrEqual(t, soundFailed, maxSoundFailed)
		})
	}
}

// A task that crashes its worker long after its start is easily taken for one of those beside it; it must be given up before
// a sixth worker has crashed all the same.
func TestTaskThatCrashesLateIsGivenUp(t *testing.T) {
	const maxLateCrashes = 5
	f := makeFixture(t)
	for i := range 8 {
		f.open(at(0), fmt.Sprintf("w%d", i), 4)
	}
	f.submit(at(0), "j1", 1, func(j *Job) { j.Deadline, j.Slowdown = at(time.Minute), 100 })
	now := time.Duration(0)
	for crashes := 1; crashes <= maxLateCrashes; crashes++ {
		sent := f.dispatch(at(now))
		require.Len(t, sent, 1)
		now += 5 * earlyCrash
		require.True(t, f.crash(at(now), string(f.sent[len(f.sent)-1].Worker), "j1", 0, crashes, 5*earlyCrash))
		if answers := f.queue.TakeAnswers(); len(answers) > 0 {
			require.Equal(t, OutcomeFailed, answers[0].Outcome)
			require.Equal(t, vwverdict.MayHaveRun, answers[0].Verdict)
			return
		}
	}
	require.Fail(t, "the task is not given up")
}

// crash passes the queue the crash of a worker under an attempt of a task that has run for the given time.
func (f *fixture) crash(now time.Time, worker, job string, index, attempt int, ran time.Duration) bool {
	f.Helper()
	return f.queue.EndRun(now, vwid.Incarnation(worker), &vwmessage.RunEnd{
		Ref:     vwmessage.RunRef{JobID: vwid.SubmissionID(job), Index: index, Attempt: attempt},
		Outcome: uint8(vwrun.OutcomeCrashed), RunMicroseconds: ran.Microseconds(), Load: vwmessage.Load{Received: uint64(len(f.sent))},
	})
}

// Two suspects at one worker would both be given up when one of them crashes it, and tasks that share the payload of a
// suspect would crash further workers beside it.
func TestSuspectsRunApart(t *testing.T) {
	f := makeFixture(t)
	f.open(at(0), "w1", 4)
	f.submit(at(0), "j1", 3)
	f.submit(at(0), "j2", 1)
	require.Len(t, f.dispatch(at(0)), 4)
	for i := range 3 {
		require.True(t, f.crash(at(time.Millisecond), "w1", "j1", i, 1, time.Millisecond))
	}
	require.True(t, f.crash(at(time.Millisecond), "w1", "j2", 0, 1, time.Millisecond))
	f.open(at(2*time.Millisecond), "w2", 8)
	require.Equal(t, []string{"w2:j1/0#2"}, f.dispatch(at(2*time.Millisecond)), "one suspect at a worker")
	f.open(at(3*time.Millisecond), "w3", 1)
	f.submit(at(3*time.Millisecond), "j3", 1, func(j *Job) { j.Team = "toinen" })
	require.Equal(t, []string{"w3:j2/0#2", "w2:j3/0#1"}, f.dispatch(at(3*time.Millisecond)), "one suspect of a job, and others go on")
	require.True(t, f.finish(at(5*time.Millisecond), "w2", "j1", 0, 2, vwrun.OutcomeDone))
	require.Equal(t, []string{"w2:j1/1#2"}, f.dispatch(at(5*time.Millisecond)))
	require.True(t, f.finish(at(6*time.Millisecond), "w3", "j2", 0, 2, vwrun.OutcomeDone))
	require.Equal(t, OutcomeCompleted, f.answer().Outcome)
	require.Equal(t, []string{"w3:j1/2#2"}, f.dispatch(at(6*time.Millisecond)))
	require.True(t, f.crash(at(7*time.Millisecond), "w3", "j1", 2, 2, time.Millisecond))
	answer := f.answer()
	require.Equal(t, OutcomeFailed, answer.Outcome)
	require.Equal(t, vwverdict.Ran, answer.Verdict, "one of its tasks is done")
	changes := map[SuspicionChange]int{}
	for _, suspicion := range f.queue.TakeSuspicions() {
		changes[suspicion.Change]++
	}
	require.Equal(t, map[SuspicionChange]int{SuspicionRaised: 4, SuspicionCleared: 2, SuspicionConfirmed: 1}, changes)
}

// A caller that sends a job again after it was answered as given up must not get two more workers crashed.
func TestResubmittedJobKeepsItsCrashes(t *testing.T) {
	f := makeFixture(t)
	f.open(at(0), "w1", 4)
	f.submit(at(0), "j1", 1)
	f.dispatch(at(0))
	require.True(t, f.crash(at(time.Millisecond), "w1", "j1", 0, 1, time.Millisecond))
	f.queue.Tick(at(time.Minute / 2))
	require.Equal(t, OutcomeGivenUp, f.answer().Outcome)
	f.open(at(time.Minute/2), "w2", 4)
	f.submit(at(time.Minute/2), "j1", 1)
	require.Equal(t, []string{"w2:j1/0#1"}, f.dispatch(at(time.Minute/2)))
	require.True(t, f.crash(at(time.Minute/2+time.Millisecond), "w2", "j1", 0, 1, time.Millisecond))
	require.Equal(t, OutcomeFailed, f.answer().Outcome)
}

// A caller that lost the answer of a failed job and sends the job again must not get as many workers crashed once more.
func TestResubmittedFailedJobKeepsItsCrashes(t *testing.T) {
	const maxLateCrashes = 5
	f := makeFixture(t)
	for i := range 16 {
		f.open(at(0), fmt.Sprintf("w%d", i), 4)
	}
	now, crashes := time.Duration(0), 0
	for range 2 {
		f.submit(at(now), "j1", 1, func(j *Job) { j.Deadline, j.Slowdown = at(time.Minute), 100 })
		for attempt := 1; len(f.dispatch(at(now))) > 0; attempt++ {
			now += 5 * earlyCrash
			crashes++
			require.True(t, f.crash(at(now), string(f.sent[len(f.sent)-1].Worker), "j1", 0, attempt, 5*earlyCrash))
		}
		require.Equal(t, OutcomeFailed, f.answer().Outcome)
	}
	require.LessOrEqual(t, crashes, maxLateCrashes)
}
