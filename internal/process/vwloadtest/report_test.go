package vwloadtest

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
)

// sampleReport is of a run with one job of two tasks, which took 300 ms instead of 200 ms, and one
// that nobody answered.
func sampleReport() Report {
	origin := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	at := func(millis int) time.Time { return origin.Add(time.Duration(millis) * time.Millisecond) }
	arrival := Arrival{Tasks: []PlannedTask{{Tag: "r/0/0"}, {Tag: "r/0/1"}}}
	reply := Reply{Status: http.StatusOK, Results: []vwapi.Result{
		{ID: "0", Result: []byte(`"r/0/0"`)}, {ID: "1", Result: []byte(`"r/0/1"`)},
	}}
	start := func(tag string, begin, end int) vwstandin.Start {
		return vwstandin.Start{Tag: tag, At: at(begin), EndedAt: at(end), Outcome: vwstandin.OutcomeDone}
	}
	wasted := 1.0
	return makeReport(evaluate(run{
		scenario: Scenario{Name: "sample <1>", Seed: 1, Phases: []Phase{{Name: "only"}}, Targets: Targets{ResponseRatioMean: 1.05}},
		id:       "r", begin: origin, end: at(2000),
		outcomes: []Outcome{
			{Arrival: arrival, Planned: at(0), Sent: at(1), Answered: at(300), Final: reply, Replies: []Reply{reply}},
			{Arrival: Arrival{Index: 1, Tasks: []PlannedTask{{Tag: "r/1/0"}}}, Planned: at(100), Sent: at(101)},
		},
		records: []vwstandin.Record{{
			Worker: "w0", Incarnation: "i0", DataCentre: "north", Slots: 1,
			Starts: []vwstandin.Start{start("r/0/0", 50, 150), start("r/0/1", 180, 280), start("other/0/0", 0, 9)},
		}},
		outages: []vwstandin.Outage{{DataCentre: "south", Span: vwstandin.Span{Begin: at(0), End: at(1000)}}},
		wasted:  &wasted,
	}))
}

// Scripts and people read the reports, so a change must be deliberate.
func TestReportFormats(t *testing.T) {
	report := sampleReport()
	require.InDelta(t, 1.5, report.ResponseRatioMean, 1e-9)
	require.InDelta(t, 1, *report.DrainWorkRatio, 1e-9)
	var text, data, html bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.NoError(t, report.WriteJSON(&data))
	require.NoError(t, report.WriteHTML(&html))
	golden := goldie.New(t)
	golden.Assert(t, "report_text", text.Bytes())
	golden.Assert(t, "report_json", data.Bytes())
	golden.Assert(t, "report_html", html.Bytes())
	require.NotRegexp(t, `(src|href)=`, html.String(), "the page must need no other file")
}
