package vwdemo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwdemo"
	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func makeSubmission(id vwid.SubmissionID, count int) vwapi.Submission {
	submission := vwapi.Submission{ID: id, Service: vwdemo.Service, Team: vwdemo.Team}
	for i := range count {
		submission.Tasks = append(submission.Tasks, vwapi.Task{
			ID: vwid.TaskID(fmt.Sprint(i)), Payload: json.RawMessage(fmt.Sprintf(`{"RunMillis":2,"Echo":%d}`, i)),
		})
	}
	return submission
}

func post(t *testing.T, url string, body any, into any) int {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	response, err := http.Post(url, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	require.NoError(t, json.NewDecoder(response.Body).Decode(into))
	return response.StatusCode
}

func starts(cluster *vwdemo.Cluster) *vwstandin.Recorder {
	recorder := vwstandin.MakeRecorder()
	for _, backend := range cluster.Backends {
		recorder.Add(backend.Starts())
	}
	return recorder
}

// A job of 900 tasks must be answered whole over real links, each task must start once, and a
// resubmission through another entry must get the same answer without a second start.
func TestJobOfManyTasks(t *testing.T) {
	ctx := context.Background()
	cluster, err := vwdemo.Start(ctx, vwdemo.DefaultConfig())
	require.NoError(t, err)
	submission := makeSubmission(vwid.MakeSubmissionID(), 900)
	for _, entry := range cluster.Entries {
		var answer vwapi.Answer
		require.Equal(t, http.StatusOK, post(t, "http://"+entry.CallersAddress()+"/Jobs", submission, &answer))
		require.Equal(t, vwapi.StateComplete, answer.State)
		require.Len(t, answer.Results, 900)
		for i, result := range answer.Results {
			require.Equal(t, fmt.Sprint(i), string(result.Result))
		}
	}
	require.Empty(t, starts(cluster).Duplicates())
	require.Len(t, starts(cluster).Starts(), 900)
	require.NoError(t, cluster.Stop(ctx))
}
