package vwentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	largeTasks   = 2000
	largePayload = 16 << 10
)

// writeLargeJob writes a job task by task, so that only the reader can hold all of it in memory.
func writeLargeJob(writer *io.PipeWriter) {
	payload := strings.Repeat("x", largePayload-2)
	_, _ = io.WriteString(writer, `{"Service":"s","Team":"t","Tasks":[`)
	for i := range largeTasks {
		_, _ = fmt.Fprintf(writer, `%s{"ID":"%d","Payload":"%s"}`, strings.Repeat(",", min(i, 1)), i, payload)
	}
	_, _ = io.WriteString(writer, "]}")
	_ = writer.Close()
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against a decoder that holds both the body and the decoded tasks of a large job: its peak memory use is
// twice the size of the job.
func TestLargeJobIsHeldOnce(t *testing.T) {
	reader, writer := io.Pipe()
	writing := vwgroup.Make(t.Context())
	writing.Run(func(context.Context) { writeLargeJob(writer) })
	before := heapInUse()
	peak := before
	sampled := &sampler{reader: reader, every: 4 << 20, sample: func() { peak = max(peak, heapInUse()) }}
	s, err := decodeSubmission(sampled, limits{payload: largePayload, tasks: largeTasks}, time.Now())
	require.NoError(t, err)
	peak = max(peak, heapInUse())
	require.Len(t, s.spec.Tasks, largeTasks)
	size := uint64(largeTasks * largePayload)
	require.Less(t, peak-before, size+size/2)
	require.GreaterOrEqual(t, peak-before, size/2, "the samples missed the decoded job")
	require.NoError(t, writing.Wait())
}

// sampler wraps a reader and calls sample once per "every" bytes read.
type sampler struct {
	reader io.Reader
	every  int
	read   int
	sample func()
}

// Read implements io.Reader.
func (s *sampler) Read(buffer []byte) (int, error) {
	n, err := s.reader.Read(buffer)
	if (s.read+n)/s.every > s.read/s.every {
		s.sample()
	}
	s.read += n
	return n, err
}

// makeEndedJob returns a complete job whose results have size bytes each, plus quotes.
func makeEndedJob(t *testing.T, tasks, size int) *job {
	spec := vwjob.Spec{SubmissionID: vwid.MakeSubmissionID()}
	for i := range tasks {
		spec.Tasks = append(spec.Tasks, vwjob.TaskSpec{ID: vwid.TaskID(fmt.Sprint(i))})
	}
	j, err := makeJob(spec, 1, "", true)
	require.NoError(t, err)
	result, err := json.Marshal(strings.Repeat("y", size))
	require.NoError(t, err)
	for i := range tasks {
		j.Send(i, "w")
		j.Apply("w", &vwmessage.Result{SubmissionID: spec.SubmissionID, Epoch: 1, TaskID: spec.Tasks[i].ID, Verdict: vwverdict.Ran, Payload: result})
	}
	require.True(t, j.Ended())
	return j
}

// Guards against an entry that builds an answer in memory before it writes it, and so holds each large answer twice.
func TestLargeAnswerIsStreamed(t *testing.T) {
	j := makeEndedJob(t, largeTasks, largePayload)
	written := &counter{}
	status, err := writeAnswer(written, j)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Greater(t, written.bytes, largeTasks*largePayload)
	require.Less(t, written.largest, 2*largePayload, "more than one result was written at a time")
}

// counter is a writer that records the total and the largest size of the writes.
type counter struct{ bytes, largest int }

// Write implements io.Writer.
func (c *counter) Write(data []byte) (int, error) {
	c.bytes += len(data)
	c.largest = max(c.largest, len(data))
	return len(data), nil
}

// Guards against an endless retry: without a problem document in place of an answer that no message can hold, the
// other entry asked for it again without end. The document says where the caller can get the answer.
func TestTooLongToForward(t *testing.T) {
	j := makeEndedJob(t, 1, 1)
	status, body := writeTooLongProblem(j)
	require.Equal(t, 503, status)
	require.Contains(t, body.String(), `"Verdict":"Ran"`)
	require.Contains(t, body.String(), string(j.SubmissionID))
	require.Less(t, maxForwardedBytes, vwmessage.MaxEnvelope)
}
