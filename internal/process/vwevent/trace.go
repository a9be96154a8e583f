package vwevent

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// traceEvent is one event of the Trace Event Format, which trace viewers open. Its field names are
// those of the format.
type traceEvent struct {
	Name  string         `json:"name"`
	Cat   string         `json:"cat,omitempty"`
	Ph    string         `json:"ph"`
	Ts    float64        `json:"ts"`
	Pid   int            `json:"pid"`
	Tid   int            `json:"tid"`
	ID    string         `json:"id,omitempty"`
	Scope string         `json:"s,omitempty"`
	Bp    string         `json:"bp,omitempty"`
	Args  map[string]any `json:"args,omitempty"`
}

// The phases of the Trace Event Format.
const (
	phaseMetadata   = "M"
	phaseInstant    = "i"
	phaseAsyncBegin = "b"
	phaseAsyncEnd   = "e"
	phaseFlowBegin  = "s"
	phaseFlowEnd    = "f"
)

// spans are the kinds that begin and end a bar at one process.
var spans = map[Kind]struct {
	phase, name string
	task        bool
}{
	TaskStarted:        {phase: phaseAsyncBegin, name: "task", task: true},
	TaskEnded:          {phase: phaseAsyncEnd, name: "task", task: true},
	SubmissionAccepted: {phase: phaseAsyncBegin, name: "submission"},
	AnswerSent:         {phase: phaseAsyncEnd, name: "submission"},
}

// WriteTrace writes the time line in the Trace Event Format (JSON object form). Each incarnation is
// a process of the trace, tasks and submissions are bars, messages are arrows.
func (t Timeline) WriteTrace(out io.Writer) error {
	numbers := make(map[Source]int, len(t.Clocks))
	events := []traceEvent{}
	for index, clock := range t.Clocks {
		numbers[clock.Source] = index + 1
		events = append(events, traceEvent{
			Name: "process_name", Ph: phaseMetadata, Pid: index + 1,
			Args: map[string]any{"name": fmt.Sprintf("%s %s %s", clock.Process, clock.DataCentre, shorten(string(clock.Incarnation)))},
		})
	}
	for index, entry := range t.Entries {
		events = append(events, t.traceEntry(index, entry, numbers)...)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return trace.Wrap(encoder.Encode(map[string]any{"traceEvents": events, "displayTimeUnit": "ms"}))
}

func (t Timeline) traceEntry(index int, entry Entry, numbers map[Source]int) []traceEvent {
	origin := t.Entries[0].At
	base := traceEvent{
		Name: string(entry.Kind), Cat: "event", Ph: phaseInstant, Scope: "p",
		Ts: float64(entry.At.Sub(origin)) / float64(time.Microsecond), Pid: numbers[entry.Source], Args: entry.arguments(),
	}
	events := []traceEvent{base}
	if span, ok := spans[entry.Kind]; ok {
		bar := base
		bar.Name, bar.Cat, bar.Ph, bar.Scope = span.name, span.name, span.phase, ""
		bar.ID = fmt.Sprintf("%d/%s", bar.Pid, entry.SubmissionID)
		if span.task {
			bar.ID += "/" + string(entry.TaskID)
		}
		events = append(events, bar)
	}
	if entry.Cause >= 0 {
		events = append(events, t.traceFlow(index, entry, numbers)...)
	}
	return events
}

func (t Timeline) traceFlow(index int, entry Entry, numbers map[Source]int) []traceEvent {
	cause, origin := t.Entries[entry.Cause], t.Entries[0].At
	end := func(of Entry, phase, binding string) traceEvent {
		return traceEvent{
			Name: string(cause.Kind), Cat: "message", Ph: phase, ID: fmt.Sprint(index), Bp: binding,
			Ts: float64(of.At.Sub(origin)) / float64(time.Microsecond), Pid: numbers[of.Source],
		}
	}
	return []traceEvent{end(cause, phaseFlowBegin, ""), end(entry, phaseFlowEnd, "e")}
}

func (e Entry) arguments() map[string]any {
	arguments := map[string]any{}
	for _, attribute := range e.attributes() {
		switch attribute.Key {
		case "Process", "Incarnation", "DataCentre", "Sequence":
		default:
			arguments[attribute.Key] = attribute.Value.Any()
		}
	}
	return arguments
}
