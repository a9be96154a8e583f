package vwjob_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory measures the heap of jobs without payloads and results. The difference between the sizes
// gives the cost of a task and of a job.
func BenchmarkMemory(b *testing.B) {
	const jobs = 1000
	for _, size := range []int{1, 100, 900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				kept := make([]*vwjob.Job, jobs)
				for i := range kept {
					spec := vwjob.Spec{SubmissionID: vwid.MakeSubmissionID()}
					for task := range size {
						spec.Tasks = append(spec.Tasks, vwjob.TaskSpec{ID: vwid.TaskID(fmt.Sprintf("task-%d", task))})
					}
					job, err := vwjob.Make(spec, 1)
					require.NoError(b, err)
					kept[i] = job
				}
				b.ReportMetric((heapBytes()-before)/jobs, "heap-B/job")
				runtime.KeepAlive(kept)
			}
		})
	}
}
