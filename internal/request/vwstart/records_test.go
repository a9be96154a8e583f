package vwstart_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/request/vwstart"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var wideLimits = vwstart.Limits{Records: 1000, Bytes: 1 << 20, Tombstones: 1000}

// makeID returns a UUIDv7 that carries a time.
func makeID(at time.Time, number int) vwid.SubmissionID {
	millis := uint64(at.UnixMilli())
	id := uuid.UUID{6: 0x70, 8: 0x80, 14: byte(number >> 8), 15: byte(number)}
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	return vwid.SubmissionID(id.String())
}

func resultOf(submission vwid.SubmissionID, task vwid.TaskID, verdict vwverdict.Verdict, bytes int) *vwmessage.Result {
	return &vwmessage.Result{SubmissionID: submission, Epoch: 1, TaskID: task, Verdict: verdict, Payload: make([]byte, bytes)}
}

// Guards against a refusal with the wrong error type or verdict. A caller retries after NotRun, so a wrong
// NotRun could let a task run twice.
func TestStartRefusals(t *testing.T) {
	id := makeID(begin, 1)
	cases := map[string]struct {
		limits    vwstart.Limits
		prepare   func(r *vwstart.Records)
		epoch     vwid.Epoch
		after     time.Duration
		isRefusal func(error) bool
		verdict   vwverdict.Verdict
	}{
		"fenced epoch": {wideLimits, func(r *vwstart.Records) { r.Fence(begin, id, 3) }, 2, 0, vwstart.IsFenced, vwverdict.NotRun},
		"lower epoch than an earlier start": {
			wideLimits, func(r *vwstart.Records) { _ = r.Start(begin, id, 3, "other") }, 2, 0, vwstart.IsFenced, vwverdict.NotRun,
		},
		"cancelled epoch": {wideLimits, func(r *vwstart.Records) { r.Cancel(begin, id, 1) }, 1, 0, vwstart.IsFenced, vwverdict.NotRun},
		"started at the same epoch": {
			wideLimits, func(r *vwstart.Records) { _ = r.Start(begin, id, 1, "t") }, 1, 0, vwstart.IsAlreadyStarted, vwverdict.NotRun,
		},
		"started at a lower epoch": {
			wideLimits, func(r *vwstart.Records) { _ = r.Start(begin, id, 1, "t") }, 2, 0, vwstart.IsAlreadyStarted, vwverdict.NotRun,
		},
		"records are full": {
			vwstart.Limits{Records: 1, Bytes: 1, Tombstones: 1},
			func(r *vwstart.Records) { _ = r.Start(begin, id, 1, "other") },
			1, 0, vwstart.IsTooMany, vwverdict.NotRun,
		},
		"acknowledged": {
			wideLimits, func(r *vwstart.Records) { r.Acknowledge(begin, id, 1) }, 1, 0, vwstart.IsForgotten, vwverdict.MayHaveRun,
		},
		"acknowledged at a higher epoch": {
			wideLimits, func(r *vwstart.Records) { r.Acknowledge(begin, id, 2) }, 1, 0, vwstart.IsFenced, vwverdict.NotRun,
		},
		"tombstone has expired": {
			wideLimits, func(r *vwstart.Records) { r.Acknowledge(begin, id, 1) }, 1, vwstart.Lifetime, vwstart.IsForgotten, vwverdict.MayHaveRun,
		},
		"tombstones are full": {
			vwstart.Limits{Records: 9, Bytes: 1, Tombstones: 1}, func(r *vwstart.Records) {
				r.Acknowledge(begin, id, 1)
				r.Acknowledge(begin, makeID(begin, 2), 1)
			}, 1, 0, vwstart.IsForgotten, vwverdict.MayHaveRun,
		},
		"fence has expired": {
			wideLimits, func(r *vwstart.Records) { r.Fence(begin, id, 3) }, 2, vwstart.Lifetime, vwstart.IsForgotten, vwverdict.MayHaveRun,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := vwstart.Make(c.limits)
			c.prepare(r)
			r.Expire(begin.Add(c.after))
			err := r.Start(begin.Add(c.after), id, c.epoch, "t")
			require.Error(t, err)
			require.True(t, c.isRefusal(err), "%v", err)
			require.Equal(t, c.verdict, vwverdict.Of(err))
		})
	}
	require.True(t, vwverdict.IsNotRun(vwstart.Make(wideLimits).Start(begin, "no uuid", 1, "t")))
}

// Guards against the expiry of a record whose task runs: its result would be lost and the task could start
// again.
func TestRunningRecordStays(t *testing.T) {
	id := makeID(begin, 1)
	r := vwstart.Make(wideLimits)
	require.NoError(t, r.Start(begin, id, 1, "t"))
	late := begin.Add(10 * vwstart.Lifetime)
	r.Expire(late)
	require.True(t, r.Finish(late, resultOf(id, "t", vwverdict.Ran, 1)))
	require.False(t, r.Finish(late, resultOf(id, "t", vwverdict.Ran, 1)), "a second result")
	require.Len(t, r.Fence(late, id, 2).Started, 1)
	r.Expire(late.Add(vwstart.Lifetime))
	require.Zero(t, r.StartCount())
	require.Zero(t, r.ResultBytes())
	require.True(t, r.Fence(late, id, 3).Refused, "an empty list would say that the task has not run")
}

// Guards against the refusal of a new submission that is newer than all dropped ones.
func TestNewSubmissionStartsAfterExpiry(t *testing.T) {
	r := vwstart.Make(wideLimits)
	require.True(t, r.Acknowledge(begin, makeID(begin.Add(30*time.Second), 1), 1))
	now := begin.Add(vwstart.Lifetime)
	r.Expire(now)
	require.Zero(t, r.TombstoneCount())
	// Control refuses submissions that are older than 5 minutes.
	require.NoError(t, r.Start(now, makeID(now.Add(-5*time.Minute+time.Millisecond), 2), 1, "t"))
}

// Guards against results beyond the bound that are not evicted oldest first, and against an evicted result
// whose task is no longer reported as run.
func TestResultBound(t *testing.T) {
	id := makeID(begin, 1)
	r := vwstart.Make(vwstart.Limits{Records: 100, Bytes: 2500, Tombstones: 100})
	for _, task := range []vwid.TaskID{"a", "b", "c"} {
		require.NoError(t, r.Start(begin, id, 1, task))
		require.True(t, r.Finish(begin, resultOf(id, task, vwverdict.Ran, 1000)))
		require.LessOrEqual(t, r.ResultBytes(), 2500)
	}
	evicted := r.Report(id, 2, "a")
	require.Equal(t, vwstart.MessageResultGone, evicted.Message)
	require.Equal(t, vwverdict.Ran, evicted.Verdict)
	require.True(t, evicted.Failed)
	require.Len(t, r.Report(id, 2, "b").Payload, 1000)
	require.Equal(t, vwid.Epoch(2), r.Report(id, 2, "b").Epoch)
	require.True(t, vwstart.IsAlreadyStarted(r.Start(begin, id, 2, "a")))
	require.True(t, r.Acknowledge(begin, id, 2))
	require.Zero(t, r.ResultBytes())
	require.Zero(t, r.ResultCount())
}

// Guards against start records and tombstones that grow with the number of acknowledged tasks.
func TestAcknowledgedRecordsAreDropped(t *testing.T) {
	r := vwstart.Make(wideLimits)
	for i := range 10_000 {
		id := makeID(begin.Add(time.Duration(i)*time.Millisecond), i)
		require.NoError(t, r.Start(begin, id, 1, "t"))
		require.True(t, r.Finish(begin, resultOf(id, "t", vwverdict.Ran, 10)))
		require.True(t, r.Acknowledge(begin, id, 1))
	}
	require.Zero(t, r.StartCount())
	require.Equal(t, wideLimits.Tombstones, r.TombstoneCount())
}

// BenchmarkStartFinishAcknowledge measures the cost of recording one task from start to acknowledgement.
func BenchmarkStartFinishAcknowledge(b *testing.B) {
	b.ReportAllocs()
	r := vwstart.Make(vwstart.Limits{Records: 1000, Bytes: 1 << 20, Tombstones: 1000})
	ids := make([]vwid.SubmissionID, b.N)
	for i := range ids {
		ids[i] = makeID(begin.Add(time.Duration(i)*time.Millisecond), i)
	}
	result := resultOf("", "t", vwverdict.Ran, 10)
	b.ResetTimer()
	for _, id := range ids {
		if err := r.Start(begin, id, 1, "t"); err != nil {
			b.Fatal(err)
		}
		result.SubmissionID = id
		r.Finish(begin, result)
		r.Acknowledge(begin, id, 1)
	}
}
