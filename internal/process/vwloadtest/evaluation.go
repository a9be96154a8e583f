package vwloadtest

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
)

// lateBound is the bound of the promises about drained data centres and leaving backend servers.
const lateBound = 3 * time.Second

// run is everything that one load test saw.
type run struct {
	scenario Scenario
	id       string
	begin    time.Time
	end      time.Time
	outcomes []Outcome
	outages  []vwstandin.Outage
	failing  []failingSpan
	// records are in the order of the scenario's Backends.
	records []vwstandin.Record
	// lost is the number of stand-ins whose record could not be read at the end.
	lost int
	// delay is the unavoidable network delay of one job.
	delay time.Duration
	// wasted is the number of wasted messages; nil when no metrics page told.
	wasted   *float64
	failures []string
}

// evaluation derives the figures of a run from its answers and its start records.
type evaluation struct {
	run
	recorder *vwstandin.Recorder
	// starts are the starts of this run by tag.
	starts map[string][]vwstandin.Start
	// all are the starts of this run in the order of their times.
	all []vwstandin.Start
}

func evaluate(r run) *evaluation {
	e := &evaluation{run: r, recorder: vwstandin.MakeRecorder(), starts: map[string][]vwstandin.Start{}}
	for _, record := range r.records {
		record.Starts = slices.DeleteFunc(slices.Clone(record.Starts), func(start vwstandin.Start) bool {
			// A start without a tag has no readable payload and counts for every run.
			return start.Tag != "" && !strings.HasPrefix(start.Tag, r.id+"/")
		})
		e.recorder.Add(record)
	}
	e.all = e.recorder.Starts()
	for _, start := range e.all {
		e.starts[start.Tag] = append(e.starts[start.Tag], start)
	}
	return e
}

// duplicateStarts counts the starts beyond the first of tasks that may start only once. An idempotent
// request may start again after a lost worker.
func (e *evaluation) duplicateStarts() int {
	count := len(e.starts[""])
	for _, outcome := range e.outcomes {
		if outcome.Arrival.Idempotent {
			continue
		}
		for _, task := range outcome.Arrival.Tasks {
			count += max(0, len(e.starts[task.Tag])-1)
		}
	}
	return count
}

// partialAnswers counts answers that claim to be complete and are not: a result is missing, of
// another task, or not the result of this task's payload.
func (e *evaluation) partialAnswers() int {
	count := 0
	for _, outcome := range e.outcomes {
		for _, reply := range outcome.Replies {
			if reply.complete() && !isWhole(outcome.Arrival, reply) {
				count++
			}
		}
	}
	return count
}

func isWhole(arrival Arrival, reply Reply) bool {
	if len(reply.Results) != len(arrival.Tasks) {
		return false
	}
	for index, task := range arrival.Tasks {
		want, _ := json.Marshal(task.Tag)
		result := reply.Results[index]
		if !bytes.Equal(bytes.TrimSpace(result.Result), want) || (!arrival.Request && result.ID != taskID(index)) {
			return false
		}
	}
	return true
}

// inventedResults counts tasks with a result in a complete answer that no stand-in has finished.
func (e *evaluation) inventedResults() int {
	count := 0
	for _, outcome := range e.outcomes {
		if !outcome.Final.complete() {
			continue
		}
		count += e.unfinishedTasks(outcome.Arrival)
	}
	return count
}

func (e *evaluation) unfinishedTasks(arrival Arrival) int {
	count := 0
	for _, task := range arrival.Tasks {
		done := slices.ContainsFunc(e.starts[task.Tag], func(start vwstandin.Start) bool {
			return start.Outcome == vwstandin.OutcomeDone
		})
		if !done {
			count++
		}
	}
	return count
}

// falseNotRun counts the arrivals of which all refusals said NotRun and a task started all the same.
func (e *evaluation) falseNotRun() int {
	count := 0
	for _, outcome := range e.outcomes {
		if outcome.notRun() && e.startedTasks(outcome.Arrival) > 0 {
			count++
		}
	}
	return count
}

func (e *evaluation) startedTasks(arrival Arrival) int {
	count := 0
	for _, task := range arrival.Tasks {
		if len(e.starts[task.Tag]) > 0 {
			count++
		}
	}
	return count
}

// abortedRuns counts interrupted tasks, except those of callers that cancelled or gave up and of jobs
// that failed because another of their tasks did.
func (e *evaluation) abortedRuns() int {
	count := 0
	for _, outcome := range e.outcomes {
		if outcome.cancelled() || outcome.Answered.IsZero() || e.endedAs(outcome.Arrival, vwstandin.OutcomeFailed) > 0 {
			continue
		}
		count += e.endedAs(outcome.Arrival, vwstandin.OutcomeAborted)
	}
	return count
}

func (e *evaluation) endedAs(arrival Arrival, ended vwstandin.Outcome) int {
	count := 0
	for _, task := range arrival.Tasks {
		for _, start := range e.starts[task.Tag] {
			if start.Outcome == ended {
				count++
			}
		}
	}
	return count
}

func (e *evaluation) unanswered() int {
	return e.count(func(outcome Outcome) bool { return outcome.Answered.IsZero() })
}

func (e *evaluation) count(is func(Outcome) bool) int {
	count := 0
	for _, outcome := range e.outcomes {
		if is(outcome) {
			count++
		}
	}
	return count
}

// idealSlots returns the slots of all stand-ins, each closed while its data centre is out or its
// server leaves.
func (e *evaluation) idealSlots() []idealSlot {
	var slots []idealSlot
	for _, record := range e.records {
		closed := slices.Clone(record.Leaves)
		for _, outage := range e.outages {
			if outage.DataCentre == record.DataCentre {
				closed = append(closed, outage.Span)
			}
		}
		slices.SortFunc(closed, func(a, b vwstandin.Span) int { return a.Begin.Compare(b.Begin) })
		for range record.Slots {
			slots = append(slots, idealSlot{closed: closed})
		}
	}
	return slots
}

// ideal is what the ideal system would have done with the same arrivals.
type ideal struct {
	// ends is the end of the last task of each outcome; zero when nothing of it started.
	ends   []time.Time
	served []served
}

// runIdeal runs the tasks that have started, each for as long as its stand-in really took, so that
// a late timer of the stand-in counts against neither side and a refused job loads neither side.
func (e *evaluation) runIdeal() ideal {
	var tasks []idealTask
	var owners []int
	for index, outcome := range e.outcomes {
		for _, task := range outcome.Arrival.Tasks {
			if starts := e.starts[task.Tag]; len(starts) > 0 {
				tasks = append(tasks, idealTask{arrival: outcome.Planned, run: e.runTime(starts[0])})
				owners = append(owners, index)
			}
		}
	}
	result := ideal{ends: make([]time.Time, len(e.outcomes)), served: serve(e.idealSlots(), tasks)}
	for index, task := range result.served {
		if owner := owners[index]; task.end.After(result.ends[owner]) {
			result.ends[owner] = task.end
		}
	}
	return result
}

func (e *evaluation) runTime(start vwstandin.Start) time.Duration {
	return max(0, e.endOf(start).Sub(start.At))
}

func (e *evaluation) endOf(start vwstandin.Start) time.Time {
	if start.EndedAt.IsZero() {
		return e.end
	}
	return start.EndedAt
}

// responses holds the response times of the complete answers, measured and ideal. An answer with an
// invented result has no ideal: a task that failed at once would make it nearly zero.
type responses struct {
	outcomes        []Outcome
	measured, ideal []time.Duration
	ratios          []float64
}

func (e *evaluation) responses(best ideal) responses {
	var found responses
	for index, outcome := range e.outcomes {
		if !outcome.Final.complete() || best.ends[index].IsZero() || e.unfinishedTasks(outcome.Arrival) > 0 {
			continue
		}
		measured := outcome.Answered.Sub(outcome.Planned)
		wanted := best.ends[index].Sub(outcome.Planned) + e.delay
		found.outcomes = append(found.outcomes, outcome)
		found.measured = append(found.measured, measured)
		found.ideal = append(found.ideal, wanted)
		found.ratios = append(found.ratios, float64(measured)/float64(max(wanted, 1)))
	}
	return found
}

// drainWorkRatio returns the slot time that was used from the first time a data centre went out to
// lateBound after the last return, relative to the ideal system's. It is nil without an outage.
func (e *evaluation) drainWorkRatio(best ideal) *float64 {
	if len(e.outages) == 0 {
		return nil
	}
	window := vwstandin.Span{Begin: e.outages[0].Begin, End: e.outages[0].Begin}
	for _, outage := range e.outages {
		end := e.end
		if !outage.End.IsZero() {
			end = outage.End.Add(lateBound)
		}
		window.Begin = earlier(window.Begin, outage.Begin)
		window.End = later(window.End, earlier(end, e.end))
	}
	var done, possible time.Duration
	for _, start := range e.all {
		done += overlap(window, start.At, e.endOf(start))
	}
	for _, task := range best.served {
		possible += overlap(window, task.begin, task.end)
	}
	if possible == 0 {
		return nil
	}
	ratio := float64(done) / float64(possible)
	return &ratio
}

func overlap(window vwstandin.Span, begin, end time.Time) time.Duration {
	return max(0, earlier(window.End, end).Sub(later(window.Begin, begin)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
