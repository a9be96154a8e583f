package vwloadtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// makeShares returns a run of 8 s in which all tasks arrive at the beginning and one slot runs 10 ms
// tasks of the teams in the order of turns.
func makeShares(turns []vwid.Team) *evaluation {
	origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := run{id: "r", begin: origin, end: origin.Add(8 * time.Second)}
	r.scenario.Teams = []Team{{Name: "red", Weight: 1, Share: 2}, {Name: "blue", Weight: 1, Share: 1}, {Name: "other", Weight: 1}}
	record := vwstandin.Record{Worker: "w0", Incarnation: "i0", Slots: 1}
	for index := range 800 {
		arrival := Arrival{Index: index, Team: turns[index%len(turns)], Tasks: []PlannedTask{{}}}
		arrival.number(index, "r")
		at := origin.Add(time.Duration(index) * 10 * time.Millisecond)
		r.outcomes = append(r.outcomes, Outcome{Arrival: arrival, Planned: origin})
		record.Starts = append(record.Starts, vwstandin.Start{Tag: arrival.Tasks[0].Tag, At: at, EndedAt: at.Add(10 * time.Millisecond)})
	}
	r.records = []vwstandin.Record{record}
	return evaluate(r)
}

// A team below its share must be found, and a team without tasks is not short-changed.
func TestShareError(t *testing.T) {
	cases := map[string]struct {
		turns         []vwid.Team
		least, most   float64
		notApplicable bool
	}{
		"exact":      {turns: []vwid.Team{"red", "blue", "red"}, most: shareErrorBound},
		"equal":      {turns: []vwid.Team{"red", "blue"}, least: 0.45, most: 0.55},
		"one absent": {turns: []vwid.Team{"red"}, notApplicable: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			difference := makeShares(test.turns).shareError()
			if test.notApplicable {
				require.Nil(t, difference)
				return
			}
			require.NotNil(t, difference)
			require.GreaterOrEqual(t, *difference, test.least)
			require.LessOrEqual(t, *difference, test.most)
		})
	}
}

// Starts in the first second after the failure are allowed, later ones count.
func TestFailingWorkerShare(t *testing.T) {
	e := makeShares([]vwid.Team{"red"})
	require.Nil(t, e.failingWorkerShare())
	e.records = append(e.records, vwstandin.Record{Worker: "w1", Incarnation: "i1"})
	span := vwstandin.Span{Begin: e.begin.Add(2 * time.Second), End: e.begin.Add(4 * time.Second)}
	e.failing = []failingSpan{{backend: 1, Span: span}}
	require.Zero(t, *e.failingWorkerShare())
	e.failing = append(e.failing, failingSpan{backend: 0, Span: span})
	require.InDelta(t, 1, *e.failingWorkerShare(), 0)
}
