package vwplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwworker"
	"vanillawind.example/vanillawind/pkg/vwid"
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
