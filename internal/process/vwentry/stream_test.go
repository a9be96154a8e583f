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

// writeLargeJob writes a job piece by piece, so that only the reader can hold it as a whole.
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

// A large job must be held once while it is read: an entry that holds the body and the parsed tasks needs
// twice the memory at the worst moment.
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
	require.GreaterOrEqual(t, peak-before, size/2, "the sampling is broken")
	require.NoError(t, writing.Wait())
}

// sampler calls sample each time that some more bytes were read.
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

// makeEndedJob returns a job whose tasks are done with results of a size.
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

// An answer must be written result by result. An entry that builds it first holds every large answer twice.
func TestLargeAnswerIsStreamed(t *testing.T) {
	j := makeEndedJob(t, largeTasks, largePayload)
	written := &counter{}
	status, err := writeAnswer(written, j)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Greater(t, written.bytes, largeTasks*largePayload)
	require.Less(t, written.largest, 2*largePayload, "more than one result was written at a time")
}

// counter counts what is written.
type counter struct{ bytes, largest int }

// Write implements io.Writer.
func (c *counter) Write(data []byte) (int, error) {
	c.bytes += len(data)
	c.largest = max(c.largest, len(data))
	return len(data), nil
}

// An answer that no message can hold must become a document that tells the caller where to ask; before,
// the other entry asked again without end.
func TestTooLongToForward(t *testing.T) {
	j := makeEndedJob(t, 1, 1)
	status, body := writeTooLong(j)
	require.Equal(t, 503, status)
	require.Contains(t, body.String(), `"Verdict":"Ran"`)
	require.Contains(t, body.String(), string(j.SubmissionID))
	require.Less(t, maxForwarded, vwmessage.MaxEnvelope)
}
