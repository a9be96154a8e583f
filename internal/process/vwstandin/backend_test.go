package vwstandin

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwgroup"
)

func post(ctx context.Context, handler http.Handler, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Submission-Id", "s")
	request.Header.Set("Task-Id", "t")
	request.Header.Set("Epoch", "7")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// A load test compares answers, run times and records, so each must be what the payload asked for.
func TestBackendRunsTasks(t *testing.T) {
	cases := map[string]struct {
		behaviour Behaviour
		path      string
		body      string
		timeout   time.Duration
		status    int
		answer    string
		outcome   Outcome
		took      time.Duration
	}{
		"echo":            {body: `{"RunMillis":50,"Echo":{"A":1},"Tag":"g"}`, status: 200, answer: `{"A":1}`, outcome: OutcomeDone, took: 50 * time.Millisecond},
		"no payload":      {status: 200, answer: `null`, outcome: OutcomeDone},
		"failure":         {body: `{"RunMillis":5,"Fail":true}`, status: 500, answer: `"failed on request"`, outcome: OutcomeFailed, took: 5 * time.Millisecond},
		"not JSON":        {body: `{`, status: 400, outcome: OutcomeFailed},
		"other service":   {path: "/Tasks/pedidos", status: 404, outcome: OutcomeFailed, answer: `"unknown service"`},
		"fails all":       {behaviour: Behaviour{Mode: ModeFail}, body: `{"RunMillis":50}`, status: 500, answer: `"failed on request"`, outcome: OutcomeFailed},
		"slow":            {behaviour: Behaviour{Mode: ModeSlow, ExtraMillis: 20}, body: `{"RunMillis":50}`, status: 200, answer: `null`, outcome: OutcomeDone, took: 70 * time.Millisecond},
		"hangs":           {behaviour: Behaviour{Mode: ModeHang}, timeout: time.Minute, status: 503, outcome: OutcomeAborted, took: time.Minute},
		"caller gives up": {body: `{"RunMillis":5000}`, timeout: time.Second, status: 503, outcome: OutcomeAborted, took: time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := MakeBackend(Config{Worker: "w1", DataCentre: "north", Service: "muotoilu"})
				if test.behaviour.Mode != "" {
					require.NoError(t, backend.SetBehaviour(test.behaviour))
				}
				ctx := t.Context()
				if test.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.timeout)
					defer cancel()
				}
				if test.path == "" {
					test.path = "/Tasks/muotoilu"
				}
				response := post(ctx, backend, test.path, test.body)
				require.Equal(t, test.status, response.Code)
				if test.answer != "" {
					require.Equal(t, test.answer, response.Body.String())
				}
				starts := backend.Starts().Starts
				require.Len(t, starts, 1)
				require.Equal(t, test.outcome, starts[0].Outcome)
				require.Equal(t, test.took, starts[0].EndedAt.Sub(starts[0].At))
				require.EqualValues(t, 7, starts[0].Epoch)
				require.Equal(t, strings.Contains(test.body, "Tag"), starts[0].Tag == "g")
			})
		})
	}
}

// A server that leaves must tell its agent, stop announcing and finish its tasks.
func TestServerAnnouncesAndLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &fakeAgent{seen: map[string]int{}}
		server := makeServer(t.Context(), Config{Service: "muotoilu", Agent: "http://agent", Transport: agent}, "http://me")
		server.group.Run(server.announce)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 3, agent.seen["/Announce"])
		require.Equal(t, `{"Service":"muotoilu","Address":"http://me","Slots":0}`, agent.last)
		require.NoError(t, server.Leave(t.Context()))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Equal(t, map[string]int{"/Announce": 3, "/Leave": 1}, agent.seen)
		server.Return()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 4, agent.seen["/Announce"])
		require.NoError(t, server.Kill())
	})
}

type fakeAgent struct {
	seen map[string]int
	last string
}

func (a *fakeAgent) RoundTrip(request *http.Request) (*http.Response, error) {
	body := new(strings.Builder)
	_ = request.Write(body)
	a.seen[request.URL.Path]++
	a.last = body.String()[strings.Index(body.String(), "{"):]
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: request}, nil
}

// A stop must not interrupt a running task.
func TestServerStopsGracefully(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := makeServer(t.Context(), Config{Worker: "w1", Service: "muotoilu"}, "http://me")
		pipes := make(pipeListener)
		server.group.Run(func(context.Context) { _ = server.http.Serve(pipes) })
		client := http.Client{Transport: &http.Transport{DialContext: pipes.dial, DisableKeepAlives: true}}
		group := vwgroup.Make(t.Context())
		status := 0
		group.Go(func(context.Context) error {
			response, err := client.Post("http://me/Tasks/muotoilu", "application/json", strings.NewReader(`{"RunMillis":700}`))
			if err != nil {
				return err
			}
			status = response.StatusCode
			return response.Body.Close()
		})
		synctest.Wait()
		require.NoError(t, server.Stop(t.Context()))
		require.NoError(t, group.Wait())
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, OutcomeDone, server.Starts().Starts[0].Outcome)
	})
}

// pipeListener accepts in-memory connections, which the fake clock can wait for.
type pipeListener chan net.Conn

func (l pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l <- far
	return near, nil
}

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error {
	close(l)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
