package vwprocess_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwentry"
	"vanillawind.example/vanillawind/internal/process/vwplace"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstore"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	// stopBound is the bound of the stops in these tests, and drainDelay how long the process accepts requests in them.
	stopBound  = 2 * time.Second
	drainDelay = 300 * time.Millisecond
	// drainRules let jobs wait although no worker offers their service.
	drainRules = "Service.format = {}  # a\nTeam.Writers = {}  # a\nDataCentre.north = {}  # a\nEdition.test = { Number = 1 }  # a\n"
	// unrecordedRequest has no record in control, and job one of two tasks.
	unrecordedRequest = `{"Service":"format","Team":"Writers","Payload":1}`
	job               = `{"Service":"format","Team":"Writers","Tasks":[{"ID":"a","Payload":1},{"ID":"b","Payload":1}]}`
)

// bestEffortHandler runs a best-effort job for each request, as the handler of an installation does. The job takes the
// time in the header Estimate and may wait for a worker for a minute.
type bestEffortHandler struct{ process *vwprocess.Entry }

func (h bestEffortHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	estimate, err := time.ParseDuration(r.Header.Get("Estimate"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, err := h.process.Entry().RunBestEffort(r.Context(), vwplace.Job{
		ID: vwid.SubmissionID(r.URL.Path), Service: "format", Team: "Writers", Count: 1, Estimate: estimate, Target: 4 * time.Minute,
		Deadline: time.Now().Add(4 * time.Minute),
	})
	switch {
	case vwverdict.IsNotRun(err) || err == nil && answer.Outcome == vwplace.OutcomeRefused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil || answer.Outcome != vwplace.OutcomeCompleted:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// startDrainable starts an entry that is the only control member and has rules but no worker. Its first service runs
// best-effort jobs.
func startDrainable(t *testing.T, log *slog.Logger) *vwprocess.Entry {
	t.Helper()
	files, err := vwstore.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	settings := vwentry.DefaultSettings()
	settings.Process, settings.DataCentre = "entry-1", "north"
	process, err := vwprocess.StartEntry(t.Context(), vwprocess.EntryConfig{
		Cluster: "c", Settings: settings, LinkAddress: loopback, CallersAddress: loopback, OperatorsAddress: loopback, DrainDelay: drainDelay,
		Services: func(process *vwprocess.Entry) []vwprocess.Service {
			return []vwprocess.Service{{Address: loopback, Handler: bestEffortHandler{process}}}
		},
		Keys: makeKeys(t, "c", "entry-1"), Member: &vwprocess.MemberConfig{Files: files}, Log: log,
	})
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	eventually(func() bool { return process.Entry().Ready(t.Context()) == nil })
	_, err = process.Control().Propose(t.Context(), vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "1", Text: []byte(drainRules)}})
	require.NoError(t, err)
	eventually(func() bool { return process.Entry().Version(t.Context()) == 1 })
	return process
}

// call is a request of a client and what became of it.
type call struct {
	status     int
	body       string
	retryAfter string
	took       time.Duration
	err        error
}

// post sends a request over a connection of its own.
func post(t *testing.T, url, body, estimate string) call {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return call{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Estimate", estimate)
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return call{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return call{response.StatusCode, string(text), response.Header.Get("Retry-After"), time.Since(started), errors.Join(err, response.Body.Close())}
}

// Guards against requests that a stopping entry cannot end within the bound of its stop and whose connections it closed
// without an answer.
func TestRequestsAreAnsweredBeforeTheStopEnds(t *testing.T) {
	var log lockedBuffer
	process := startDrainable(t, slog.New(slog.NewTextHandler(&log, nil)))
	callers, service := "http://"+process.CallersAddress(), "http://"+process.ServiceAddresses()[0]
	urls := map[string]struct{ url, body string }{
		"best-effort job":    {service + "/waits", ""},
		"unrecorded request": {callers + "/Requests", unrecordedRequest},
		"recorded request":   {callers + "/Requests", `{"ID":"` + string(vwid.MakeSubmissionID()) + `",` + unrecordedRequest[1:]},
		"job":                {callers + "/Jobs", job},
	}
	group, answers := vwgroup.Make(context.Background()), map[string]*call{}
	for name, c := range urls {
		answer := &call{}
		answers[name] = answer
		group.Run(func(context.Context) { *answer = post(t, c.url, c.body, "1ms") })
	}
	eventually(func() bool { return process.Entry().Gauges().Active.Load() == int64(len(urls)) })
	bounded, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	stopped := process.Stop(bounded)
	process.Kill()
	require.NoError(t, group.Wait())
	for name, answer := range answers {
		require.NoError(t, answer.err, name)
		require.Equal(t, http.StatusServiceUnavailable, answer.status, "%s: nothing of it has run\n%s", name, answer.body)
	}
	require.NoError(t, stopped)
	require.Contains(t, log.String(), `msg="drain begins"`)
	require.Contains(t, log.String(), `msg="drain has ended" requests=0 "given up"=4`)
}

// Guards against a job that a stopping entry accepts although it cannot end within the bound of the stop.
func TestJobsThatCannotEndAreRefusedDuringTheDrain(t *testing.T) {
	process := startDrainable(t, slog.New(slog.DiscardHandler))
	service := "http://" + process.ServiceAddresses()[0]
	bounded, cancel := context.WithTimeout(context.Background(), stopBound)
	defer cancel()
	group := vwgroup.Make(context.Background())
	group.Go(func(context.Context) error { return process.Stop(bounded) })
	eventually(process.IsStopping)
	answer := post(t, service+"/long", "", "3s")
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusServiceUnavailable, answer.status)
	require.Less(t, answer.took, drainDelay)
	require.NoError(t, group.Wait())
}

// Guards against callers that wait without end, or whose connections are closed, because the entry has lost its registration
// while their requests have no record by which another entry could take them over, whether or not the process stops
// meanwhile.
func TestRequestsOfALostEntryAreAnswered(t *testing.T) {
	for name, stops := range map[string]bool{"runs on": false, "stops meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			process := startDrainable(t, slog.New(slog.DiscardHandler))
			urls := map[string]struct{ url, body string }{
				"request":         {"http://" + process.CallersAddress() + "/Requests", unrecordedRequest},
				"best-effort job": {"http://" + process.ServiceAddresses()[0] + "/waits", ""},
			}
			group, answers := vwgroup.Make(context.Background()), map[string]*call{}
			for name, c := range urls {
				answer := &call{}
				answers[name] = answer
				group.Run(func(context.Context) { *answer = post(t, c.url, c.body, "1ms") })
			}
			eventually(func() bool { return process.Entry().Gauges().Active.Load() == int64(len(urls)) })
			lost := process.Entry()
			expire := vwstate.Command{Expire: &vwstate.Expire{Incarnations: []vwid.Incarnation{lost.Incarnation()}}}
			_, err := process.Control().Propose(t.Context(), expire)
			require.NoError(t, err)
			<-lost.RegistrationLost()
			if !stops {
				eventually(func() bool { return process.Entry() != lost })
			}
			bounded, cancel := context.WithTimeout(context.Background(), 2*stopBound)
			defer cancel()
			stopped := process.Stop(bounded)
			process.Kill()
			require.NoError(t, group.Wait())
			for name, answer := range answers {
				require.NoError(t, answer.err, name)
				require.Equal(t, http.StatusServiceUnavailable, answer.status, "%s: nothing of it has run\n%s", name, answer.body)
			}
			require.NoError(t, stopped)
		})
	}
}
