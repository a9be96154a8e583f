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

// recorder is what the model needs of Records, so that a test can put a faulty one in its place.
type recorder interface {
	Start(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch, task vwid.TaskID) error
	Finish(now time.Time, result *vwmessage.Result) bool
	Fence(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) *vwmessage.FenceReply
	Cancel(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) ([]vwid.TaskID, bool)
	Acknowledge(now time.Time, submission vwid.SubmissionID, epoch vwid.Epoch) bool
	Expire(now time.Time)
}

// truth is what really happened to a submission. It never forgets, unlike the records.
type truth struct {
	made    time.Time
	touched bool
	// lowest is the lowest epoch that may still start, by the fences and cancellations that were answered.
	lowest  vwid.Epoch
	running map[vwid.TaskID]bool
	ran     map[vwid.TaskID]bool
}

// model drives a recorder with messages in any order and at any delay.
type model struct {
	records recorder
	now     time.Time
	ids     []vwid.SubmissionID
	truths  map[vwid.SubmissionID]*truth
	pick    func(label string, n int) int
}

func makeModel(records recorder, pick func(label string, n int) int) *model {
	return &model{records: records, now: begin, truths: map[vwid.SubmissionID]*truth{}, pick: pick}
}

func (m *model) submission() (vwid.SubmissionID, *truth) {
	i := m.pick("submission", len(m.ids)+1)
	if i == len(m.ids) {
		made := m.now.Add(time.Duration(m.pick("age", 300)-30) * -time.Second)
		id := makeID(made, i)
		m.ids = append(m.ids, id)
		m.truths[id] = &truth{made: made, running: map[vwid.TaskID]bool{}, ran: map[vwid.TaskID]bool{}}
	}
	return m.ids[i], m.truths[m.ids[i]]
}

// step does one action and returns an error when a promise is broken.
func (m *model) step() error {
	id, known := m.submission()
	epoch := vwid.Epoch(m.pick("epoch", 4) + 1)
	task := vwid.TaskID(fmt.Sprint(m.pick("task", 3)))
	switch m.pick("action", 8) {
	case 0, 1:
		return m.start(id, known, epoch, task)
	case 2, 3:
		m.finish(id, known, task)
	case 4:
		return m.fence(id, known, epoch)
	case 5:
		m.cancel(id, known, epoch)
	case 6:
		if m.records.Acknowledge(m.now, id, epoch) {
			known.touched = true
			known.lowest = max(known.lowest, epoch)
		}
	case 7:
		m.now = m.now.Add(time.Duration(m.pick("seconds", 120)) * time.Second)
		m.records.Expire(m.now)
	}
	return nil
}

func (m *model) start(id vwid.SubmissionID, known *truth, epoch vwid.Epoch, task vwid.TaskID) error {
	err := m.records.Start(m.now, id, epoch, task)
	started := known.running[task] || known.ran[task]
	fresh := !known.touched && m.now.Sub(known.made) < 5*time.Minute
	known.touched = true
	switch {
	case err == nil && started:
		return trace.Errorf("task %s of %s started twice", task, id)
	case err == nil && epoch < known.lowest:
		return trace.Errorf("epoch %d of %s started below %d", epoch, id, known.lowest)
	case err != nil && fresh:
		return trace.Errorf("first start of %s was refused: %v", id, err)
	case err == nil:
		known.running[task] = true
		known.lowest = max(known.lowest, epoch)
	}
	return nil
}

func (m *model) finish(id vwid.SubmissionID, known *truth, task vwid.TaskID) {
	if !known.running[task] {
		return
	}
	verdict := vwverdict.Verdict(m.pick("verdict", 3))
	m.records.Finish(m.now, resultOf(id, task, verdict, m.pick("bytes", 2000)))
	delete(known.running, task)
	if verdict != vwverdict.NotRun {
		known.ran[task] = true
	}
}

// fence checks that a list names exactly the tasks that run or have run.
func (m *model) fence(id vwid.SubmissionID, known *truth, epoch vwid.Epoch) error {
	reply := m.records.Fence(m.now, id, epoch)
	if reply.Refused {
		return nil
	}
	known.touched = true
	known.lowest = max(known.lowest, epoch)
	if want := len(known.running) + len(known.ran); len(reply.Started) != want {
		return trace.Errorf("fence of %s lists %d tasks instead of %d", id, len(reply.Started), want)
	}
	for _, listed := range reply.Started {
		if (listed.Result == nil) != known.running[listed.TaskID] || (listed.Result != nil) != known.ran[listed.TaskID] {
			return trace.Errorf("fence of %s reports task %s wrongly", id, listed.TaskID)
		}
	}
	return nil
}

func (m *model) cancel(id vwid.SubmissionID, known *truth, epoch vwid.Epoch) {
	if _, ok := m.records.Cancel(m.now, id, epoch); ok {
		known.touched = true
		known.lowest = max(known.lowest, epoch+1)
	}
}

// Guards against a second start, a start below a fence, and a fence that hides a start, over any order and
// delay of the messages and over the expiry of the records.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := vwstart.Limits{Records: 1000, Bytes: rapid.IntRange(0, 5000).Draw(t, "limit"), Tombstones: 1000}
		records := vwstart.Make(limits)
		m := makeModel(records, func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			require.NoError(t, m.step())
			require.LessOrEqual(t, records.Bytes(), limits.Bytes)
		}
	})
}

// ignoringEpoch is a planted fault: it takes each start for one of the newest epoch.
type ignoringEpoch struct{ *vwstart.Records }

func (r ignoringEpoch) Start(now time.Time, submission vwid.SubmissionID, _ vwid.Epoch, task vwid.TaskID) error {
	return r.Records.Start(now, submission, 100, task)
}

// forgettingAcknowledged is a planted fault: it keeps no tombstones.
type forgettingAcknowledged struct{ recorder }

func (r *forgettingAcknowledged) Acknowledge(time.Time, vwid.SubmissionID, vwid.Epoch) bool {
	r.recorder = vwstart.Make(wide)
	return true
}

// The model must find planted faults, or its success would prove nothing.
func TestModelFindsFaults(t *testing.T) {
	cases := map[string]func() recorder{
		"epoch is ignored":        func() recorder { return ignoringEpoch{vwstart.Make(wide)} },
		"tombstones are not kept": func() recorder { return &forgettingAcknowledged{vwstart.Make(wide)} },
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
