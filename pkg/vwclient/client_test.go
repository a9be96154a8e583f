package vwclient_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	id      vwid.SubmissionID = "01890a5d-ac96-774b-bcce-b302099a8057"
	whole                     = `{"ID":"` + string(id) + `","State":"Complete","Results":[{"ID":"a","Result":1},{"ID":"b","Result":2}]}`
	running                   = `{"ID":"` + string(id) + `","State":"Running"}`
	single                    = `{"ID":"` + string(id) + `","Result":1}`
)

func makeSubmission() vwapi.Submission {
	return vwapi.Submission{ID: id, Service: "pedidos", Team: "Stands", Tasks: []vwapi.Task{
		{ID: "a", Payload: json.RawMessage(`1`)}, {ID: "b", Payload: json.RawMessage(`2`)},
	}}
}

func submit(ctx context.Context, c *vwclient.Client) error {
	_, err := c.Submit(ctx, makeSubmission())
	return err
}

func answer(ctx context.Context, c *vwclient.Client) error {
	_, err := c.Answer(ctx, id)
	return err
}

func do(request vwapi.Request) func(ctx context.Context, c *vwclient.Client) error {
	request.Service, request.Team, request.Payload = "pedidos", "Stands", json.RawMessage(`1`)
	return func(ctx context.Context, c *vwclient.Client) error {
		_, err := c.Do(ctx, request)
		return err
	}
}

// A retry that the verdict does not permit runs work twice; a missing one, or a truncated answer taken
// for a whole one, loses it.
func TestRetries(t *testing.T) {
	lost := problem(http.StatusBadGateway, "MayHaveRun", vwapi.CodeOwnerLost)
	unavailable := problem(http.StatusServiceUnavailable, "NotRun", vwapi.CodeUnavailable)
	cases := map[string]struct {
		call     func(context.Context, *vwclient.Client) error
		steps    []step
		attempts int
		// want is the verdict of the error, Ran when the call must succeed.
		want vwverdict.Verdict
		code string
	}{
		"whole":                               {submit, []step{fine(whole)}, 1, vwverdict.Ran, ""},
		"not run":                             {submit, []step{unavailable, refuse, fine(whole)}, 3, vwverdict.Ran, ""},
		"dropped":                             {submit, []step{drop, lost, fine(whole)}, 3, vwverdict.Ran, ""},
		"silent":                              {submit, []step{hang, fine(whole)}, 2, vwverdict.Ran, ""},
		"body ends early":                     {submit, []step{cut(whole[:40]), cut(whole), fine(whole)}, 3, vwverdict.Ran, ""},
		"truncated without a sign":            {submit, []step{fine(whole[:len(whole)-1]), fine(whole)}, 2, vwverdict.Ran, ""},
		"too few results":                     {submit, []step{fine(`{"ID":"` + string(id) + `","State":"Complete"}`), fine(whole)}, 2, vwverdict.Ran, ""},
		"another job's answer":                {submit, []step{fine(`{"ID":"x","State":"Complete"}`), fine(whole)}, 2, vwverdict.Ran, ""},
		"page of a proxy":                     {submit, []step{respond(502, "text/html", "<p>"), fine(whole)}, 2, vwverdict.Ran, ""},
		"running":                             {submit, []step{respond(202, "application/json", running), fine(whole)}, 2, vwverdict.Ran, ""},
		"invalid":                             {submit, []step{problem(422, "NotRun", vwapi.CodeInvalid)}, 1, vwverdict.NotRun, vwapi.CodeInvalid},
		"failed":                              {submit, []step{problem(502, "MayHaveRun", vwapi.CodeTaskFailed)}, 1, vwverdict.MayHaveRun, vwapi.CodeTaskFailed},
		"refused after it may have run":       {submit, []step{drop, problem(409, "NotRun", vwapi.CodeConflict)}, 2, vwverdict.MayHaveRun, vwapi.CodeConflict},
		"wait until it has an answer":         {answer, []step{problem(202, "MayHaveRun", vwapi.CodeStillRunning), respond(202, "application/json", running), fine(whole)}, 3, vwverdict.Ran, ""},
		"wait for a job without an owner":     {answer, []step{problem(404, "MayHaveRun", vwapi.CodeUnknownJob)}, 1, vwverdict.MayHaveRun, vwapi.CodeUnknownJob},
		"request without id":                  {do(vwapi.Request{}), []step{drop}, 1, vwverdict.MayHaveRun, ""},
		"request without id, truncated":       {do(vwapi.Request{}), []step{cut(single)}, 1, vwverdict.MayHaveRun, ""},
		"request without id, refused":         {do(vwapi.Request{}), []step{refuse, unavailable, fine(single)}, 3, vwverdict.Ran, ""},
		"request without id, open refusal":    {do(vwapi.Request{}), []step{lost}, 1, vwverdict.MayHaveRun, vwapi.CodeOwnerLost},
		"request with id":                     {do(vwapi.Request{ID: id}), []step{drop, fine(single)}, 2, vwverdict.Ran, ""},
		"idempotent request":                  {do(vwapi.Request{Idempotent: true}), []step{drop, cut(single), fine(single)}, 3, vwverdict.Ran, ""},
		"idempotent request, budget is spent": {do(vwapi.Request{Idempotent: true}), []step{drop}, 11, vwverdict.MayHaveRun, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := &script{steps: c.steps}
				client, err := vwclient.Make(entries.settings())
				require.NoError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				err = c.call(ctx, client)
				require.Equal(t, c.want, vwverdict.Of(err), "%v", err)
				require.Equal(t, c.want == vwverdict.Ran, err == nil)
				require.Equal(t, c.code != "", vwclient.IsRefused(err))
				require.Equal(t, c.code != "", vwclient.HasCode(err, c.code))
				require.Len(t, entries.bodies, c.attempts)
				for i, body := range entries.bodies[1:] {
					if entries.paths[i+1] == entries.paths[0] {
						require.Equal(t, entries.bodies[0], body, "another body was sent under the same id")
					}
				}
			})
		})
	}
}

// A retry must use another entry and come after a pause: at least as long as the entry asked, longer
// each time, and never past the deadline of the context.
func TestPauses(t *testing.T) {
	cases := map[string]struct {
		step       step
		timeout    time.Duration
		first      time.Duration
		attempts   int
		unanswered bool
	}{
		"retry after":              {busy("7"), 20 * time.Second, 7 * time.Second, 3, false},
		"retry after the deadline": {busy("30"), 20 * time.Second, 0, 1, false},
		"growing":                  {refuse, 3 * time.Second, 25 * time.Millisecond, 6, true},
		"no deadline":              {busy("100"), 0, 100 * time.Second, 3, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entries := &script{steps: []step{c.step}}
				client, err := vwclient.Make(entries.settings())
				require.NoError(t, err)
				ctx, began := t.Context(), time.Now()
				if c.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.timeout)
					defer cancel()
				}
				err = submit(ctx, client)
				require.True(t, vwclient.IsNotRun(err), "%v", err)
				require.Equal(t, c.unanswered, vwclient.IsUnanswered(err))
				require.LessOrEqual(t, time.Since(began), max(c.timeout, 5*time.Minute))
				require.InDelta(t, c.attempts, len(entries.times), 1)
				for i := range entries.times[1:] {
					require.GreaterOrEqual(t, entries.times[i+1].Sub(entries.times[i]), c.first)
					require.NotEqual(t, entries.hosts[i], entries.hosts[i+1])
				}
			})
		})
	}
}

// A connection that breaks in the middle of an answer must not make a short answer, however the body's
// length is told.
func TestBrokenConnection(t *testing.T) {
	cases := map[string]func(http.ResponseWriter){
		"length":  func(w http.ResponseWriter) { w.Header().Set("Content-Length", "100") },
		"chunked": func(http.ResponseWriter) {},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				prepare(w)
				_, _ = w.Write([]byte(single))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			client, err := vwclient.Make(vwclient.Settings{Entries: []string{server.URL}})
			require.NoError(t, err)
			err = do(vwapi.Request{})(t.Context(), client)
			require.True(t, vwclient.IsUnanswered(err), "%v", err)
			require.True(t, vwclient.IsMayHaveRun(err))
		})
	}
}

// An address that refuses the connection proves that nothing has run.
func TestRefusedConnection(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client, err := vwclient.Make(vwclient.Settings{Entries: []string{server.URL}, FirstPause: time.Hour, MaxPause: time.Hour})
	require.NoError(t, err)
	err = do(vwapi.Request{})(t.Context(), client)
	require.True(t, vwclient.IsNotRun(err), "%v", err)
}

// Wrong settings must be found before the first call.
func TestSettings(t *testing.T) {
	for name, entries := range map[string][]string{"none": nil, "no scheme": {"10.0.0.1:8080"}, "other scheme": {"ftp://10.0.0.1"}} {
		t.Run(name, func(t *testing.T) {
			_, err := vwclient.Make(vwclient.Settings{Entries: entries})
			require.Error(t, err)
			_, err = vwclient.MakeOperator(vwclient.Settings{Entries: entries})
			require.Error(t, err)
		})
	}
}

// An answer beyond the limit must end the call instead of filling the memory attempt after attempt.
func TestTooLarge(t *testing.T) {
	entries := &script{steps: []step{fine(whole)}}
	settings := entries.settings()
	settings.MaxAnswer = 10
	client, err := vwclient.Make(settings)
	require.NoError(t, err)
	err = submit(t.Context(), client)
	require.True(t, vwclient.IsTooLarge(err), "%v", err)
	require.True(t, vwclient.IsMayHaveRun(err))
	require.Len(t, entries.bodies, 1)
}
