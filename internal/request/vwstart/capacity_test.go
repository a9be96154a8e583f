package vwstart_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/request/vwstart"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory measures the heap of a submission of one or eight finished tasks with empty results, and of
// its tombstone after the acknowledgement.
func BenchmarkMemory(b *testing.B) {
	const submissions = 10_000
	for _, size := range []int{1, 8} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				r := vwstart.Make(vwstart.Limits{Records: submissions * size, Bytes: 1 << 30, Tombstones: submissions})
				before := heapBytes()
				for i := range submissions {
					id := makeID(begin.Add(time.Duration(i)*time.Millisecond), i)
					for task := range size {
						name := vwid.TaskID(fmt.Sprintf("task-%d", task))
						require.NoError(b, r.Start(begin, id, 1, name))
						require.True(b, r.Finish(begin, resultOf(id, name, vwverdict.Ran, 0)))
					}
				}
				b.ReportMetric((heapBytes()-before)/submissions, "heap-B/submission")
				for i := range submissions {
					r.Acknowledge(begin, makeID(begin.Add(time.Duration(i)*time.Millisecond), i), 1)
				}
				b.ReportMetric((heapBytes()-before)/submissions, "heap-B/tombstone")
				require.Equal(b, submissions, r.TombstoneCount())
			}
		})
	}
}
