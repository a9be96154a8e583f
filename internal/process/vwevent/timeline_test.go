package vwevent

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/pkg/vwid"
)

var origin = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// simulation produces the logs of processes whose clocks are wrong by known offsets.
type simulation struct {
	offsets map[vwid.Process]time.Duration
	events  []Event
}

func (s *simulation) add(millis float64, process vwid.Process, event Event) {
	at := origin.Add(time.Duration(millis * float64(time.Millisecond)))
	event.Time = at.Add(s.offsets[process])
	event.Source = Source{Process: process, Incarnation: vwid.Incarnation(process + "-run"), DataCentre: "north"}
	s.events = append(s.events, event)
}

func (s *simulation) task(millis, there, run, back float64, entry, agent vwid.Process, task vwid.TaskID, epoch vwid.Epoch) {
	event := Event{SubmissionID: "s1", TaskID: task, Epoch: epoch}
	with := func(kind Kind, peer vwid.Process) Event {
		event.Kind, event.Peer = kind, peer
		return event
	}
	s.add(millis, entry, with(TaskSent, agent))
	s.add(millis+there, agent, with(TaskStarted, entry))
	s.add(millis+there+run, agent, with(TaskEnded, entry))
	s.add(millis+there+run+back, entry, with(ResultReceived, agent))
}

// takeover is a run in which the agent's clock is 40 ms behind, so that its start record seems to
// precede the message that caused it, and entry-2 takes a submission over.
func takeover() []Event {
	s := &simulation{offsets: map[vwid.Process]time.Duration{"agent-1": -40 * time.Millisecond, "entry-2": 15 * time.Millisecond}}
	s.add(0, "entry-1", Event{Kind: SubmissionAccepted, SubmissionID: "s1", Epoch: 1, Service: "muotoilu", Team: "red"})
	s.add(0.2, "entry-1", Event{Kind: SubmissionQueued, SubmissionID: "s1", Count: 2})
	s.task(1, 0.4, 50, 0.6, "entry-1", "agent-1", "t1", 1)
	s.add(60, "entry-1", Event{Kind: ProcessStopping, Message: "killed"})
	s.add(4100, "entry-2", Event{Kind: TookOver, SubmissionID: "s1", Epoch: 2, Peer: "entry-1"})
	s.add(4101, "entry-2", Event{Kind: FenceSent, SubmissionID: "s1", Epoch: 2, Peer: "agent-1"})
	s.add(4101.5, "agent-1", Event{Kind: Fenced, SubmissionID: "s1", Epoch: 2, Peer: "entry-2", Count: 1})
	s.add(4102, "entry-2", Event{Kind: FenceReplyReceived, SubmissionID: "s1", Epoch: 2, Peer: "agent-1"})
	s.task(4103, 0.5, 20, 0.5, "entry-2", "agent-1", "t2", 2)
	s.add(4125, "entry-2", Event{Kind: AnswerSent, SubmissionID: "s1", Epoch: 2})
	s.add(5000, "entry-3", Event{Kind: DataCentreOut, Subject: "south", Version: 9})
	return s.events
}

// People and viewers read the output, so a change must be deliberate.
func TestTimelineFormats(t *testing.T) {
	timeline := Merge(takeover())
	require.Zero(t, timeline.Contradictions)
	requireCausal(t, timeline)
	var text, traced bytes.Buffer
	require.NoError(t, timeline.WriteText(&text))
	require.NoError(t, timeline.WriteTrace(&traced))
	goldie.New(t).Assert(t, "timeline", text.Bytes())
	goldie.New(t).Assert(t, "trace", traced.Bytes())
}

// The command must merge whole files, say which lines it left out, and limit only the output.
func TestCommandMergesFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	text := append(record(t, 10, Event{Kind: Cancelled, SubmissionID: "s1"}, Event{Kind: Cancelled, SubmissionID: "s2"}), "torn"...)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	var out, warnings bytes.Buffer
	command := Command{Paths: []string{path}, Format: FormatText, Submission: "s2", Out: &out, Warnings: &warnings}
	require.NoError(t, command.Run())
	require.Contains(t, out.String(), "s2")
	require.NotContains(t, out.String(), "s1")
	require.Contains(t, warnings.String(), "line 3")
	command.Format = "other"
	require.Error(t, command.Run())
}

// The true offset must lie within the stated uncertainty, and no order may contradict a message.
func TestClocksAreWithinTheirUncertainty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.Float64Range(-500, 500)
		s := &simulation{offsets: map[vwid.Process]time.Duration{}}
		agents := rapid.IntRange(1, 4).Draw(t, "agents")
		for agent := range agents {
			name := vwid.Process(fmt.Sprintf("agent-%d", agent))
			s.offsets[name] = time.Duration(millis.Draw(t, "offset") * float64(time.Millisecond))
		}
		for task := range rapid.IntRange(1, 20).Draw(t, "tasks") {
			delay := rapid.Float64Range(0, 30)
			agent := vwid.Process(fmt.Sprintf("agent-%d", rapid.IntRange(0, agents-1).Draw(t, "agent")))
			s.task(float64(task)*100, delay.Draw(t, "there"), delay.Draw(t, "run"), delay.Draw(t, "back"),
				"entry-1", agent, vwid.TaskID(fmt.Sprint(task)), 1)
		}
		timeline := Merge(s.events)
		require.Zero(t, timeline.Contradictions)
		requireCausal(t, timeline)
		for index := range timeline.Entries[1:] {
			require.False(t, timeline.Entries[index+1].At.Before(timeline.Entries[index].At), "entry %d goes back in time", index+1)
		}
		for _, clock := range timeline.Clocks {
			truth := s.offsets[clock.Process] - s.offsets[clock.Reference.Process]
			require.True(t, clock.Known)
			require.LessOrEqual(t, (clock.Offset - truth).Abs(), clock.Uncertainty+time.Microsecond, "%s", clock.Process)
		}
	})
}
