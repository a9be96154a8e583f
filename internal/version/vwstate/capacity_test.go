package vwstate_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// measureHeap returns the result of build and the number of live heap bytes that it adds.
func measureHeap[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// applyDecoded encodes and decodes a command before it applies it, as a member that reads the log does, so that
// commands share no strings.
func applyDecoded(b *testing.B, s *vwstate.State, command vwstate.Command) vwstate.Outcome {
	data, err := vwstate.Encode(command)
	require.NoError(b, err)
	decoded, err := vwstate.Decode(data)
	require.NoError(b, err)
	return s.Apply(decoded)
}

func makeRegistration(role vwstate.Role, number int) vwstate.Registration {
	return vwstate.Registration{
		Incarnation: vwid.Incarnation(uuid.NewString()), Process: vwid.Process(fmt.Sprintf("process-%d", number)), Role: role,
		DataCentre: vwid.DataCentre(fmt.Sprintf("centre-%d", number%8)), Rack: vwid.Rack(fmt.Sprintf("rack-%d", number/3)),
		Address: "192.0.2.100:4433", Service: "muotoilu", Slots: 8,
	}
}

// BenchmarkSubmissions measures the memory and the time of control for each submission. Each row is one pass over
// all records, so run it with -benchtime 1x.
func BenchmarkSubmissions(b *testing.B) {
	for _, count := range []int{100_000, 300_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				measureSubmissions(b, count)
			}
		})
	}
}

func measureSubmissions(b *testing.B, count int) {
	now := time.Now().UnixMilli()
	s := vwstate.Make()
	entry := makeRegistration(vwstate.RoleEntry, 0)
	s.Apply(vwstate.Command{At: now, Register: &vwstate.Register{Registration: entry}})
	ids := make([]vwid.SubmissionID, count)
	var acceptTime, finishTime time.Duration
	var commandBytes int
	_, heap := measureHeap(func() *vwstate.State {
		for i := range ids {
			id := vwid.MakeSubmissionID()
			data, err := vwstate.Encode(vwstate.Command{At: now, Accept: &vwstate.Accept{
				SubmissionID: id, Owner: entry.Incarnation, Acceptance: vwid.Acceptance(uuid.NewString()), Service: "muotoilu", Digest: make([]byte, 32),
			}})
			require.NoError(b, err)
			commandBytes = len(data)
			command, err := vwstate.Decode(data)
			require.NoError(b, err)
			start := time.Now()
			outcome := s.Apply(command)
			acceptTime += time.Since(start)
			require.Empty(b, outcome.Refusal)
			ids[i] = outcome.Submission.SubmissionID
		}
		return s
	})
	for _, id := range ids {
		command := vwstate.Command{At: now, Finish: &vwstate.Finish{SubmissionID: id, Epoch: 1, Owner: entry.Incarnation}}
		start := time.Now()
		s.Apply(command)
		finishTime += time.Since(start)
	}
	b.ReportMetric(heap/float64(count), "heap-B/record")
	b.ReportMetric(float64(commandBytes), "log-B/accept")
	b.ReportMetric(float64(acceptTime.Nanoseconds())/float64(count), "ns/accept")
	b.ReportMetric(float64(finishTime.Nanoseconds())/float64(count), "ns/finish")
	measureFullPasses(b, s, now, count)
	runtime.KeepAlive(ids)
}

// measureFullPasses measures the operations that visit all records: sweep, Save and Restore.
func measureFullPasses(b *testing.B, s *vwstate.State, now int64, count int) {
	const sweeps = 10
	start := time.Now()
	for i := range int64(sweeps) {
		// No record reaches the retention, so each sweep visits all of them.
		s.Apply(vwstate.Command{At: now + (i+1)*10_000})
	}
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000/sweeps, "ms/sweep")
	start = time.Now()
	data, err := s.Save()
	require.NoError(b, err)
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms/save")
	b.ReportMetric(float64(len(data))/float64(count), "snapshot-B/record")
	start = time.Now()
	_, err = vwstate.Restore(data)
	require.NoError(b, err)
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms/restore")
}

// BenchmarkRegistrations measures the memory of registrations and the time to list 24 entries, which the leader does
// for each lease reply.
func BenchmarkRegistrations(b *testing.B) {
	for _, count := range []int{730, 1460} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, heap := measureHeap(func() *vwstate.State {
				s := vwstate.Make()
				for i := range count {
					applyDecoded(b, s, vwstate.Command{At: 1, Register: &vwstate.Register{Registration: makeRegistration(vwstate.RoleAgent, i)}})
				}
				return s
			})
			for number := range 24 {
				applyDecoded(b, s, vwstate.Command{At: 1, Register: &vwstate.Register{Registration: makeRegistration(vwstate.RoleEntry, number)}})
			}
			b.ReportAllocs()
			for b.Loop() {
				s.RegistrationsWhere(func(r *vwstate.Registration) bool { return r.Role == vwstate.RoleEntry && !r.Ended() })
			}
			b.ReportMetric(heap/float64(count), "heap-B/registration")
		})
	}
}

// BenchmarkChanges measures the memory of a change outcome when MaxChangeOutcomes of them are kept.
func BenchmarkChanges(b *testing.B) {
	for b.Loop() {
		s, heap := measureHeap(func() *vwstate.State {
			s := vwstate.Make()
			for i := range vwstate.MaxChangeOutcomes {
				applyDecoded(b, s, vwstate.Command{At: 1, ChangeRules: &vwstate.ChangeRules{
					ChangeID: vwid.ChangeID(uuid.NewString()), Base: vwid.ConfigVersion(i), Text: []byte("# x\n"), By: "Aino Salo",
				}})
			}
			return s
		})
		require.Equal(b, vwid.ConfigVersion(vwstate.MaxChangeOutcomes), s.Version())
		b.ReportMetric(heap/vwstate.MaxChangeOutcomes, "heap-B/change")
	}
}
