package vwstart_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/request/vwstart"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// recorder is the part of Records that the model uses. Tests implement it with injected faults.
type recorder interface {
	Start(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error
	Finish(now time.Time, result *vwmessage.Result) bool
	Fence(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) *vwmessage.FenceReply
	Cancel(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) ([]vwid.TaskID, bool)
	Acknowledge(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) bool
	Expire(now time.Time)
}

// groundTruth is the complete history of a submission. Unlike the records, it never expires.
type groundTruth struct {
	created time.Time
	// seen is set when the records may have changed for the submission. Until then a start of a submission
	// younger than 5 minutes must succeed.
	seen bool
	// lowestEpoch is the lowest epoch at which a task may still start, after the starts, fences,
	// cancellations and acknowledgements that the records accepted.
	lowestEpoch vwid.Epoch
	running     map[vwid.TaskID]bool
	ran         map[vwid.TaskID]bool
}

// model drives a recorder with messages in any order and at any delay.
type model struct {
	records recorder
	now     time.Time
	ids     []vwid.SubmissionID
	truths  map[vwid.SubmissionID]*groundTruth
	pick    func(label string, n int) int
}

func makeModel(records recorder, pick func(label string, n int) int) *model {
	return &model{records: records, now: begin, truths: map[vwid.SubmissionID]*groundTruth{}, pick: pick}
}

func (m *model) submission() (vwid.SubmissionID, *groundTruth) {
	i := m.pick("submission", len(m.ids)+1)
	if i == len(m.ids) {
		created := m.now.Add(time.Duration(m.pick("age", 300)-30) * -time.Second)
		id := makeID(created, i)
		m.ids = append(m.ids, id)
		m.truths[id] = &groundTruth{created: created, running: map[vwid.TaskID]bool{}, ran: map[vwid.TaskID]bool{}}
	}
	return m.ids[i], m.truths[m.ids[i]]
}

// step performs one random action and returns an error when an invariant is violated.
func (m *model) step() error {
	id, truth := m.submission()
	epoch := vwid.Epoch(m.pick("epoch", 4) + 1)
	task := vwid.TaskID(fmt.Sprint(m.pick("task", 3)))
	switch m.pick("action", 8) {
	case 0, 1:
		return m.start(id, truth, epoch, task)
	case 2, 3:
		m.finish(id, truth, task)
	case 4:
		return m.fence(id, truth, epoch)
	case 5:
		m.cancel(id, truth, epoch)
	case 6:
		if m.records.Acknowledge(m.now, id, epoch) {
			truth.seen = true
			truth.lowestEpoch = max(truth.lowestEpoch, epoch)
		}
	case 7:
		m.now = m.now.Add(time.Duration(m.pick("seconds", 120)) * time.Second)
		m.records.Expire(m.now)
	}
	return nil
}

func (m *model) start(id vwid.SubmissionID, truth *groundTruth, epoch vwid.Epoch, task vwid.TaskID) error {
	err := m.records.Start(m.now, id, epoch, task)
	started := truth.running[task] || truth.ran[task]
	mustStart := !truth.seen && m.now.Sub(truth.created) < 5*time.Minute
	truth.seen = true
	switch {
	case err == nil && started:
		return trace.Errorf("task %s of %s started twice", task, id)
	case err == nil && epoch < truth.lowestEpoch:
		return trace.Errorf("epoch %d of %s started below %d", epoch, id, truth.lowestEpoch)
	case err != nil && mustStart:
		return trace.Errorf("first start of %s was refused: %v", id, err)
	case err == nil:
		truth.running[task] = true
		truth.lowestEpoch = max(truth.lowestEpoch, epoch)
	}
	return nil
}

func (m *model) finish(id vwid.SubmissionID, truth *groundTruth, task vwid.TaskID) {
	if !truth.running[task] {
		return
	}
	verdict := vwverdict.Verdict(m.pick("verdict", 3))
	m.records.Finish(m.now, resultOf(id, task, verdict, m.pick("bytes", 2000)))
	delete(truth.running, task)
	if verdict != vwverdict.NotRun {
		truth.ran[task] = true
	}
}

// fence checks that the reply lists exactly the tasks that run or have run.
func (m *model) fence(id vwid.SubmissionID, truth *groundTruth, epoch vwid.Epoch) error {
	reply := m.records.Fence(m.now, id, epoch)
	if reply.Refused {
		return nil
	}
	truth.seen = true
	truth.lowestEpoch = max(truth.lowestEpoch, epoch)
	if want := len(truth.running) + len(truth.ran); len(reply.Started) != want {
		return trace.Errorf("fence of %s lists %d tasks instead of %d", id, len(reply.Started), want)
	}
	for _, listed := range reply.Started {
		if (listed.Result == nil) != truth.running[listed.TaskID] || (listed.Result != nil) != truth.ran[listed.TaskID] {
			return trace.Errorf("fence of %s reports task %s wrongly", id, listed.TaskID)
		}
	}
	return nil
}

func (m *model) cancel(id vwid.SubmissionID, truth *groundTruth, epoch vwid.Epoch) {
	if _, ok := m.records.Cancel(m.now, id, epoch); ok {
		truth.seen = true
		truth.lowestEpoch = max(truth.lowestEpoch, epoch+1)
	}
}

// Guards against a second start of a task, a start below a fenced epoch, and a fence reply that omits a
// start, over any order and delay of the messages and over the expiry of the records.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := vwstart.Limits{Records: 1000, Bytes: rapid.IntRange(0, 5000).Draw(t, "limit"), Tombstones: 1000}
		records := vwstart.Make(limits)
		m := makeModel(records, func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			require.NoError(t, m.step())
			require.LessOrEqual(t, records.ResultBytes(), limits.Bytes)
		}
	})
}

// epochIgnoringRecords is an injected fault: it records each start at the newest epoch.
type epochIgnoringRecords struct{ *vwstart.Records }

func (r epochIgnoringRecords) Start(now time.Time, submission vwid.SubmissionID, _ vwid.Epoch, task vwid.TaskID) error {
	return r.Records.Start(now, submission, 100, task)
}

// tombstonelessRecords is an injected fault: it drops all records and keeps no tombstone on acknowledgement.
type tombstonelessRecords struct{ recorder }

func (r *tombstonelessRecords) Acknowledge(time.Time, vwid.SubmissionID, vwid.Epoch) bool {
	r.recorder = vwstart.Make(wideLimits)
	return true
}

// Guards against a model that passes although the records violate its invariants: it must detect injected
// faults.
func TestModelFindsFaults(t *testing.T) {
	cases := map[string]func() recorder{
		"epoch is ignored":        func() recorder { return epochIgnoringRecords{vwstart.Make(wideLimits)} },
		"tombstones are not kept": func() recorder { return &tombstonelessRecords{vwstart.Make(wideLimits)} },
	}
	for name, construct := range cases {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var err error
			for range 100 {
				m := makeModel(construct(), func(_ string, n int) int { return random.IntN(n) })
				for range 200 {
					if err == nil {
						err = m.step()
					}
				}
			}
			require.Error(t, err)
		})
	}
}
