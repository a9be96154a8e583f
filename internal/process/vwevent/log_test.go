package vwevent

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

var testSource = Source{Process: "entry-1", Incarnation: "0191-a", DataCentre: "north"}

// record writes events through a log and returns its text.
func record(t *testing.T, capacity int, events ...Event) []byte {
	t.Helper()
	var out bytes.Buffer
	log := MakeLog(testSource, &out, capacity)
	for _, event := range events {
		log.Record(event)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	log.Run(ctx)
	require.NoError(t, log.Err())
	return out.Bytes()
}

// The format is read by other tools, so a change must be deliberate.
func TestLogFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := record(t, 10,
			Event{Kind: ProcessStarted},
			Event{Kind: TaskSent, SubmissionID: "s1", TaskID: "t1", Epoch: 2, Service: "muotoilu", Team: "red", Peer: "agent-1"},
			Event{Kind: LeaderElected, Term: 7, Peer: "entry-2", Version: 3, Subject: "x", Verdict: "NotRun", Count: 4, Message: "a \"b\""},
		)
		goldie.New(t).Assert(t, "log", text)
	})
}

// A full buffer must drop and count, never wait, and the log must say where the gap is.
func TestLogDropsWhenFull(t *testing.T) {
	events := make([]Event, 10)
	for index := range events {
		events[index] = Event{Kind: LeaseGained}
	}
	read, faults, err := Read(bytes.NewReader(record(t, 4, events...)))
	require.NoError(t, err)
	require.Empty(t, faults)
	require.Len(t, read, 5)
	require.Equal(t, EventsDropped, read[0].Kind)
	require.EqualValues(t, 6, read[0].Count)
	require.EqualValues(t, 5, read[4].Sequence)
}

// A step of the wall clock is not visible in tests, but a time set by the caller must be kept and
// events must be written while the process runs, not only at its end.
func TestLogWritesWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := MakeLog(testSource, &out, 4)
		group := vwgroup.Make(t.Context())
		group.Run(log.Run)
		at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
		log.Record(Event{Kind: LeaseLost, Time: at})
		synctest.Wait()
		read, _, err := Read(bytes.NewReader(out.Bytes()))
		require.NoError(t, err)
		require.Len(t, read, 1)
		require.Equal(t, at, read[0].Time)
		require.NoError(t, group.Stop())
	})
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

// A failing disk under the event log must not stop the process.
func TestLogSurvivesAFailingWriter(t *testing.T) {
	log := MakeLog(testSource, failingWriter{}, 4)
	log.Record(Event{Kind: LeaseLost})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	log.Run(ctx)
	require.ErrorContains(t, log.Err(), "disk full")
}

// Events on the request path must cost nothing when the log is off and no allocation when it is on.
func TestRecordDoesNotAllocate(t *testing.T) {
	var off *Log
	on := MakeLog(testSource, &bytes.Buffer{}, 1)
	for name, log := range map[string]*Log{"off": off, "on": on} {
		t.Run(name, func(t *testing.T) {
			require.Zero(t, testing.AllocsPerRun(100, func() {
				log.Record(Event{Kind: TaskSent, SubmissionID: "s", TaskID: "t", Peer: "agent-1"})
			}))
		})
	}
	require.Zero(t, off.Dropped())
	require.EqualValues(t, 100, on.Dropped())
}

func BenchmarkRecord(b *testing.B) {
	var off *Log
	on := MakeLog(testSource, &bytes.Buffer{}, 1)
	for name, log := range map[string]*Log{"off": off, "full": on} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				log.Record(Event{Kind: TaskSent, SubmissionID: "s", TaskID: "t", Peer: "agent-1"})
			}
		})
	}
}
