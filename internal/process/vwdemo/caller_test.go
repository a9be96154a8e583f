package vwdemo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwdemo"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// client makes a connection for each request, so that no idle one is open when a server closes.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func makeJob(count, runMillis int) vwapi.Submission {
	job := vwapi.Submission{ID: vwid.MakeSubmissionID(), Service: vwdemo.Service, Team: vwdemo.Team}
	for i := range count {
		job.Tasks = append(job.Tasks, vwapi.Task{
			ID: vwid.TaskID(fmt.Sprint(i)), Payload: json.RawMessage(fmt.Sprintf(`{"RunMillis":%d,"Echo":%d}`, runMillis, i)),
		})
	}
	return job
}

// send sends body and decodes a good answer. A problem document comes back as the error.
func send(ctx context.Context, method, url string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		problem := &vwapi.Problem{}
		if err := json.NewDecoder(response.Body).Decode(problem); err != nil {
			return err
		}
		return problem
	}
	return json.NewDecoder(response.Body).Decode(into)
}

func requireWhole(t *testing.T, job vwapi.Submission, answer vwapi.Answer) {
	require.Equal(t, vwapi.StateComplete, answer.State)
	require.Len(t, answer.Results, len(job.Tasks))
	for i, result := range answer.Results {
		require.Equal(t, fmt.Sprint(i), string(result.Result))
	}
}

// balancer gives callers the entries that are in service.
type balancer struct {
	mu        sync.Mutex
	addresses map[int]string
	next      int
}

func makeBalancer(cluster *vwdemo.Cluster) *balancer {
	b := &balancer{addresses: map[int]string{}}
	for i, entry := range cluster.Entries {
		b.addresses[i] = entry.CallersAddress()
	}
	return b
}

func (b *balancer) set(entry int, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.addresses, entry)
	if address != "" {
		b.addresses[entry] = address
	}
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		b.next = (b.next + 1) % 3
		if address, ok := b.addresses[b.next]; ok {
			return "http://" + address
		}
	}
}

// load sends small jobs from several callers until stop. A caller sends a job again that was refused as
// not run; any other failure of a job of which a task has started is one that was cut.
type load struct {
	t        *testing.T
	cluster  *vwdemo.Cluster
	balancer *balancer
	group    *vwgroup.Group
	mu       sync.Mutex
	jobs     int
	cut      []string
}

const callers = 8

func startLoad(t *testing.T, cluster *vwdemo.Cluster, b *balancer) *load {
	l := &load{t: t, cluster: cluster, balancer: b, group: vwgroup.Make(context.Background())}
	for range callers {
		l.group.Run(func(ctx context.Context) {
			for ctx.Err() == nil {
				l.run(makeJob(5, 20))
			}
		})
	}
	return l
}

func (l *load) run(job vwapi.Submission) {
	for {
		var answer vwapi.Answer
		// The job ends even when the load is stopped, so that no answer is lost by the test itself.
		err := send(context.Background(), http.MethodPost, l.balancer.pick()+"/Jobs", job, &answer)
		switch {
		case err == nil:
			l.note(func() { l.jobs++ })
			return
		case l.isNotRun(job, err):
			continue
		}
		l.note(func() { l.cut = append(l.cut, err.Error()) })
		return
	}
}

func (l *load) isNotRun(job vwapi.Submission, err error) bool {
	var problem *vwapi.Problem
	if errors.As(err, &problem) {
		return problem.Verdict == vwverdict.NotRun
	}
	for _, start := range l.cluster.Recorder().Starts() {
		if start.SubmissionID == job.ID {
			return false
		}
	}
	return true
}

func (l *load) note(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// stop ends the load and checks that nothing was cut or started twice.
func (l *load) stop() {
	_ = l.group.Stop()
	require.Empty(l.t, l.cut)
	require.Positive(l.t, l.jobs)
	require.Empty(l.t, l.cluster.Recorder().Duplicates())
	require.Len(l.t, l.cluster.Recorder().Starts(), 5*l.jobs)
}
