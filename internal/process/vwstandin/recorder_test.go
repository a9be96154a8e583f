package vwstandin

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// A breach of a promise that the recorder misses would be reported as kept.
func TestRecorderFindsBreaches(t *testing.T) {
	origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }
	start := func(submission, task string, seconds float64) Start {
		return Start{SubmissionID: vwid.SubmissionID(submission), TaskID: vwid.TaskID(task), At: at(seconds)}
	}
	north := Record{
		Worker: "w1", Incarnation: "i1", DataCentre: "north",
		Starts: []Start{start("s1", "t1", 1), start("s1", "t2", 12.9), start("s2", "t1", 13.1), start("s3", "t1", 31)},
	}
	south := Record{
		Worker: "w2", Incarnation: "i2", DataCentre: "south", Unrecorded: 2,
		Leaves: []Span{{Begin: at(20), End: at(30)}},
		Starts: []Start{start("s1", "t1", 14), start("s4", "t1", 22.9), start("s4", "t2", 23.1), start("s4", "t3", 31)},
	}
	recorder := MakeRecorder()
	recorder.Add(north)
	recorder.Add(south)
	recorder.Add(north)
	require.Len(t, recorder.Starts(), 8)
	require.Equal(t, 2, recorder.Unrecorded())

	duplicates := recorder.Duplicates()
	require.Len(t, duplicates, 1)
	require.EqualValues(t, "s1", duplicates[0].SubmissionID)
	require.EqualValues(t, "w1", duplicates[0].Starts[0].Worker)
	require.EqualValues(t, "w2", duplicates[0].Starts[1].Worker)

	late := recorder.LateStarts([]Outage{{"north", Span{at(10), at(30)}}}, 3*time.Second)
	require.Len(t, late, 1)
	require.EqualValues(t, "s2", late[0].SubmissionID)

	leaving := recorder.StartsAtLeaving(3 * time.Second)
	require.Len(t, leaving, 1)
	require.EqualValues(t, "t2", leaving[0].TaskID)
}

// A record read from outside must equal the one inside.
func TestFetch(t *testing.T) {
	server, err := Serve(t.Context(), Config{Worker: "w1", DataCentre: "north", Service: "muotoilu"})
	require.NoError(t, err)
	post(t.Context(), server, "/Tasks/muotoilu", "")
	recorder := MakeRecorder()
	record, err := Fetch(t.Context(), http.DefaultClient, server.Address())
	require.NoError(t, err)
	recorder.Add(record)
	require.Len(t, recorder.Starts(), 1)
	require.EqualValues(t, "north", recorder.Starts()[0].DataCentre)
	require.NoError(t, server.Kill())
}
