package vwagent_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// fakeAgent records the requests that the handler passes on.
type fakeAgent struct {
	announced *vwagent.Announcement
	left      bool
	// rejected counts the rejected announcements.
	rejected int
	err      error
}

func (f *fakeAgent) Announce(_ context.Context, announcement vwagent.Announcement) error {
	f.announced = &announcement
	return f.err
}

func (f *fakeAgent) Leave(context.Context) error {
	f.left = true
	return f.err
}

func (f *fakeAgent) RejectAnnouncement(string, error) {
	f.rejected++
}

// Guards against a wrong announcement that is rejected without a problem document stating the cause.
func TestHandler(t *testing.T) {
	good := `{"Service":"pedidos","Address":"127.0.0.1:80","Slots":8}`
	cases := map[string]struct {
		method, path, body string
		err                error
		status             int
		code               string
	}{
		"announced":      {"POST", "/Announce", good, nil, http.StatusNoContent, ""},
		"left":           {"POST", "/Leave", "", nil, http.StatusNoContent, ""},
		"not JSON":       {"POST", "/Announce", "x", nil, http.StatusBadRequest, vwapi.CodeMalformed},
		"empty":          {"POST", "/Announce", "", nil, http.StatusBadRequest, vwapi.CodeMalformed},
		"unknown field":  {"POST", "/Announce", `{"Slot":8}`, nil, http.StatusBadRequest, vwapi.CodeMalformed},
		"too large":      {"POST", "/Announce", `{"Service":"` + strings.Repeat("x", 20<<10) + `"}`, nil, http.StatusRequestEntityTooLarge, vwapi.CodeTooLarge},
		"invalid":        {"POST", "/Announce", good, trace.BadParameter("Slots"), http.StatusUnprocessableEntity, vwapi.CodeInvalid},
		"agent stops":    {"POST", "/Leave", "", vwverdict.Errorf(vwverdict.NotRun, "stopped"), http.StatusServiceUnavailable, vwapi.CodeStopping},
		"wrong method":   {"GET", "/Announce", "", nil, http.StatusMethodNotAllowed, vwapi.CodeUnknownMethod},
		"unknown path":   {"POST", "/announce", good, nil, http.StatusNotFound, vwapi.CodeUnknownRoute},
		"trailing slash": {"POST", "/Leave/", "", nil, http.StatusNotFound, vwapi.CodeUnknownRoute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			agent := &fakeAgent{err: c.err}
			recorder := httptest.NewRecorder()
			vwagent.Handler(agent).ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			require.Equal(t, c.status, recorder.Code, recorder.Body.String())
			if c.code == "" {
				require.True(t, agent.left || agent.announced.Slots == 8)
				return
			}
			require.Equal(t, vwapi.ProblemType, recorder.Header().Get("Content-Type"))
			var problem vwapi.Problem
			require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
			require.Equal(t, c.code, problem.Code)
			require.Equal(t, vwverdict.NotRun, problem.Verdict)
			require.NotEmpty(t, problem.Detail)
			announced := c.path == "/Announce" && c.method == "POST"
			require.Equal(t, announced, agent.rejected == 1, "the operator must see a rejected announcement")
		})
	}
}

// Guards against invalid announcements that reach the control state.
func TestAnnounceIsChecked(t *testing.T) {
	withAgent(t, func(t *testing.T, f *fixture, _, _ *fakeEntry) {
		for name, wrong := range map[string]vwagent.Announcement{
			"no service":     {Address: "127.0.0.1:80", Slots: 8},
			"no slots":       {Service: "pedidos", Address: "127.0.0.1:80"},
			"too many slots": {Service: "pedidos", Address: "127.0.0.1:80", Slots: 65},
			"no address":     {Service: "pedidos", Slots: 8},
		} {
			require.True(t, trace.IsBadParameter(f.agent.Announce(t.Context(), wrong)), name)
		}
	})
}

// Guards against a startup error that does not name the invalid setting.
func TestSettingsCheck(t *testing.T) {
	base := vwagent.Settings{Cluster: "c", Process: "p", DataCentre: "a", Entries: []string{"e"}}
	checked, err := base.Check()
	require.NoError(t, err)
	require.Equal(t, 8, checked.Slots)
	require.Equal(t, 8, checked.MaxEntries)
	cases := map[string]func(s *vwagent.Settings){
		"Process":    func(s *vwagent.Settings) { s.Process = "" },
		"Entries":    func(s *vwagent.Settings) { s.Entries = nil },
		"MaxEntries": func(s *vwagent.Settings) { s.MaxEntries = -1 },
		"Slots":      func(s *vwagent.Settings) { s.Slots = 65 },
		"OverCommit": func(s *vwagent.Settings) { s.OverCommit = 9 },
		"MaxRun":     func(s *vwagent.Settings) { s.MaxRun = -1 },
		"AckTimeout": func(s *vwagent.Settings) { s.AckTimeout = -1 },
		"Tombstones": func(s *vwagent.Settings) { s.Tombstones = -1 },
		"MaxRecords": func(s *vwagent.Settings) { s.MaxRecords = 1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			wrong := base
			change(&wrong)
			_, err := wrong.Check()
			require.True(t, trace.IsBadParameter(err))
			require.ErrorContains(t, err, name)
		})
	}
}
