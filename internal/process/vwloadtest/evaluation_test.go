package vwloadtest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// makeOutcomes evaluates one arrival of two tasks that ended in the stand-in as given, with replies.
func makeOutcomes(change func(*Outcome), ends ...vwstandin.Outcome) *evaluation {
	arrival := Arrival{Tasks: make([]PlannedTask, 2)}
	arrival.number(0, "r")
	origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	outcome := Outcome{Arrival: arrival, Planned: origin, Answered: origin.Add(time.Second)}
	change(&outcome)
	record := vwstandin.Record{Incarnation: "i"}
	for index, end := range ends {
		record.Starts = append(record.Starts, vwstandin.Start{Tag: arrival.Tasks[index%2].Tag, At: origin, Outcome: end})
	}
	return evaluate(run{id: "r", begin: origin, end: origin.Add(time.Minute), outcomes: []Outcome{outcome}, records: []vwstandin.Record{record}})
}

// A refusal is false only when no attempt admitted that the job may run; a duplicate is allowed only
// for idempotent requests; an interruption counts only without a cause.
func TestEvaluation(t *testing.T) {
	const done, failed, aborted = vwstandin.OutcomeDone, vwstandin.OutcomeFailed, vwstandin.OutcomeAborted
	refused := func(verdict vwverdict.Verdict) Reply {
		return Reply{Status: http.StatusServiceUnavailable, Problem: &vwapi.Problem{Code: vwapi.CodeUnavailable, Verdict: verdict}}
	}
	replies := func(all ...Reply) func(*Outcome) {
		return func(o *Outcome) { o.Replies, o.Final = all, all[len(all)-1] }
	}
	lost := Reply{Err: http.ErrServerClosed}
	cases := map[string]struct {
		change                           func(*Outcome)
		ends                             []vwstandin.Outcome
		falseNotRun, duplicates, aborted int
	}{
		"true refusal":             {change: replies(refused(vwverdict.NotRun))},
		"false refusal":            {change: replies(refused(vwverdict.NotRun)), ends: []vwstandin.Outcome{done}, falseNotRun: 1},
		"honest refusal":           {change: replies(refused(vwverdict.MayHaveRun)), ends: []vwstandin.Outcome{done}},
		"refusal after a loss":     {change: replies(lost, refused(vwverdict.NotRun)), ends: []vwstandin.Outcome{done}},
		"refused twice":            {change: replies(refused(vwverdict.NotRun), refused(vwverdict.NotRun)), ends: []vwstandin.Outcome{done}, falseNotRun: 1},
		"started twice":            {change: replies(lost), ends: []vwstandin.Outcome{done, done, done}, duplicates: 1},
		"idempotent started twice": {change: func(o *Outcome) { o.Arrival.Idempotent = true }, ends: []vwstandin.Outcome{done, done, done}},
		"interrupted":              {change: replies(lost), ends: []vwstandin.Outcome{done, aborted}, aborted: 1},
		"other task failed":        {change: replies(lost), ends: []vwstandin.Outcome{failed, aborted}},
		"cancelled":                {change: func(o *Outcome) { o.Arrival.CancelAfter = 1 }, ends: []vwstandin.Outcome{aborted}},
		"caller gave up":           {change: func(o *Outcome) { o.Answered = time.Time{} }, ends: []vwstandin.Outcome{aborted}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			e := makeOutcomes(test.change, test.ends...)
			require.Equal(t, test.falseNotRun, e.falseNotRun(), "false refusals")
			require.Equal(t, test.duplicates, e.duplicateStarts(), "duplicates")
			require.Equal(t, test.aborted, e.abortedRuns(), "interruptions")
		})
	}
}
