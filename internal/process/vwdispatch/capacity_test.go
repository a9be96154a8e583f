package vwdispatch_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkQueueMemory measures the memory of a waiting task, in jobs of 900 tasks of 33 teams.
func BenchmarkQueueMemory(b *testing.B) {
	const jobs, size = 110, 900
	for b.Loop() {
		before := heapBytes()
		q := makeQueue(vwdispatch.Policy{}, "a", "b", "c")
		for i := range jobs {
			require.NoError(b, q.Enqueue(start, makeJob(fmt.Sprint(i), vwid.Team(fmt.Sprint(i%33)), size, 0)))
		}
		b.ReportMetric((heapBytes()-before)/jobs/size, "heap-B/task")
		require.Equal(b, jobs*size, q.Waiting())
	}
}
