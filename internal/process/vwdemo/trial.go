package vwdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// trialTasks is the size of the largest jobs of the design's target.
	trialTasks     = 900
	trialRunMillis = 10
)

// Trial is the outcome of the demo's own calls, as the stand-ins' records show them.
type Trial struct {
	Tasks int
	// JobTime is the time to the answer through the first entry, and RejoinTime that of the same
	// submission through the second.
	JobTime    time.Duration
	RejoinTime time.Duration
	// RequestTime is the time of a non-idempotent request through the third entry.
	RequestTime time.Duration
	Starts      int
	Workers     int
	Duplicates  int
}

// String returns the outcome as lines for people.
func (t Trial) String() string {
	text := fmt.Sprintf("job of %d tasks of %d ms through entry-1: complete in %s\n", t.Tasks, trialRunMillis, round(t.JobTime))
	text += fmt.Sprintf("the same job again through entry-2: the same answer in %s\n", round(t.RejoinTime))
	text += fmt.Sprintf("non-idempotent request through entry-3: answered in %s\n", round(t.RequestTime))
	text += fmt.Sprintf("the stand-ins recorded %d starts on %d workers for %d tasks; %d tasks started twice\n", t.Starts, t.Workers, t.Tasks+1, t.Duplicates)
	return text
}

// RunTrial runs a job and a request through different entries and checks them against the records of
// the stand-ins. An error means that an answer or a record was not as promised.
func (c *Cluster) RunTrial(ctx context.Context) (Trial, error) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	trial := Trial{Tasks: trialTasks}
	job := makeJob()
	request := vwapi.Request{
		ID: vwid.MakeSubmissionID(), Service: Service, Team: Team,
		Payload: json.RawMessage(fmt.Sprintf(`{"RunMillis":%d,"Echo":"once"}`, trialRunMillis)),
	}
	var first, second []byte
	var err error
	if first, trial.JobTime, err = c.call(ctx, client, 0, "/Jobs", job); err != nil {
		return trial, trace.Wrap(err)
	}
	if second, trial.RejoinTime, err = c.call(ctx, client, 1, "/Jobs", job); err != nil {
		return trial, trace.Wrap(err)
	}
	if _, trial.RequestTime, err = c.call(ctx, client, 2, "/Requests", request); err != nil {
		return trial, trace.Wrap(err)
	}
	if !bytes.Equal(first, second) {
		return trial, trace.Errorf("the two entries answered differently")
	}
	c.count(&trial)
	return trial, checkTrial(trial, first)
}

// call posts body to an entry, counted around the number of entries.
func (c *Cluster) call(ctx context.Context, client *http.Client, entry int, path string, body any) ([]byte, time.Duration, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	url := "http://" + c.Entries[entry%len(c.Entries)].CallersAddress() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = trace.Errorf("%s answered %s: %s", url, response.Status, answer)
	}
	return answer, time.Since(begun), trace.Wrap(err)
}

func (c *Cluster) count(trial *Trial) {
	recorder := c.Recorder()
	trial.Starts, trial.Duplicates = len(recorder.Starts()), len(recorder.Duplicates())
	for _, record := range recorder.Records() {
		if len(record.Starts) > 0 {
			trial.Workers++
		}
	}
}

// Recorder returns the records of all stand-ins.
func (c *Cluster) Recorder() *vwstandin.Recorder {
	recorder := vwstandin.MakeRecorder()
	for _, backend := range c.Backends {
		recorder.Add(backend.Starts())
	}
	return recorder
}

func checkTrial(trial Trial, body []byte) error {
	var answer vwapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return trace.Wrap(err)
	}
	if len(answer.Results) != trial.Tasks {
		return trace.Errorf("the answer has %d results for %d tasks", len(answer.Results), trial.Tasks)
	}
	for index, result := range answer.Results {
		if string(result.Result) != fmt.Sprint(index) {
			return trace.Errorf("result %d is %s", index, result.Result)
		}
	}
	if trial.Duplicates > 0 || trial.Starts != trial.Tasks+1 {
		return trace.Errorf("%d starts for %d tasks; %d tasks started twice", trial.Starts, trial.Tasks+1, trial.Duplicates)
	}
	return nil
}

func makeJob() vwapi.Submission {
	job := vwapi.Submission{ID: vwid.MakeSubmissionID(), Service: Service, Team: Team}
	for index := range trialTasks {
		job.Tasks = append(job.Tasks, vwapi.Task{
			ID:      vwid.TaskID(fmt.Sprint(index)),
			Payload: json.RawMessage(fmt.Sprintf(`{"RunMillis":%d,"Echo":%d}`, trialRunMillis, index)),
		})
	}
	return job
}
