package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwapi"
)

const jobID = "01890a5d-ac96-774b-bcce-b302099a8057"

// answers are what the stand-in entry answers, by method and path.
type answers map[string]struct {
	status int
	body   string
}

func (a answers) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	answer, known := a[request.Method+" "+request.URL.RequestURI()]
	if !known {
		answer.status, answer.body = http.StatusTeapot, request.Method+" "+request.URL.RequestURI()+" is not in the table"
	}
	w.Header().Set("Content-Type", "application/json")
	if answer.status >= http.StatusBadRequest {
		w.Header().Set("Content-Type", vwapi.ProblemType)
	}
	w.WriteHeader(answer.status)
	_, _ = io.WriteString(w, answer.body)
}

func problemBody(verdict, code, more string) string {
	return `{"type":"about:blank","title":"Title","detail":"details","Code":"` + code + `","Verdict":"` + verdict + `"` + more + `}`
}

var changeID = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-4[0-9a-f-]{21}`)

// Scripts tell what has run by the exit code, and people by the text; neither may change unseen.
func TestCalls(t *testing.T) {
	const (
		whole = `{"ID":"` + jobID + `","State":"Complete","Results":[{"ID":"1","Result":{"Line":"Salo 2025"}},{"ID":"2","Result":7}]}`
		post  = "POST /Jobs"
		get   = "GET /Jobs/" + jobID
		rules = `{"Version":12,"By":"Aino","Text":"Service.muotoilu = {} # Aino\nTeam.gradu = {} # Aino\n"}`
	)
	failed := problemBody("Ran", vwapi.CodeTaskFailed, `,"FailedTasks":[{"ID":"2","Verdict":"Ran","Message":"status 500"}]`)
	cases := map[string]struct {
		args    string
		answers answers
		exit    int
	}{
		"submit":             {"submit testdata/job.json", answers{post: {200, whole}}, vwcommand.ExitFine},
		"submit_json":        {"submit --json testdata/job.json", answers{post: {200, whole}}, vwcommand.ExitFine},
		"submit_start":       {"submit --wait=false testdata/job.json", answers{post + "?Wait=false": {202, `{"ID":"` + jobID + `","State":"Running"}`}}, vwcommand.ExitFine},
		"submit_bad_file":    {"submit testdata/bad_rules.toml", nil, vwcommand.ExitRefused},
		"submit_no_file":     {"submit testdata/missing.json", nil, vwcommand.ExitFailed},
		"submit_not_run":     {"submit testdata/job.json", answers{post: {422, problemBody("NotRun", vwapi.CodeNeverRuns, "")}}, vwcommand.ExitRefused},
		"submit_may_run":     {"submit testdata/job.json", answers{post: {502, problemBody("MayHaveRun", vwapi.CodeWorkerLost, "")}}, vwcommand.ExitMayHaveRun},
		"submit_ran":         {"submit testdata/job.json", answers{post: {502, failed}}, vwcommand.ExitRan},
		"submit_ran_json":    {"submit --json testdata/job.json", answers{post: {502, failed}}, vwcommand.ExitRan},
		"submit_bad_address": {"submit --entry 10.0.0.1 testdata/job.json", nil, vwcommand.ExitUsage},
		"job":                {"job " + jobID, answers{get: {200, whole}}, vwcommand.ExitFine},
		"job_wait":           {"job --wait " + jobID, answers{get + "?WaitSeconds=15.000": {200, whole}}, vwcommand.ExitFine},
		"job_running":        {"job " + jobID, answers{get: {202, `{"ID":"` + jobID + `","State":"Running"}`}}, vwcommand.ExitFine},
		"job_unknown":        {"job " + jobID, answers{get: {404, problemBody("MayHaveRun", vwapi.CodeUnknownJob, "")}}, vwcommand.ExitMayHaveRun},
		"cancel":             {"cancel " + jobID, answers{"DELETE /Jobs/" + jobID: {204, ""}}, vwcommand.ExitFine},
		"rules_show":         {"rules show", answers{"GET /Rules": {200, rules}}, vwcommand.ExitFine},
		"rules_apply":        {"rules apply --by Aino testdata/changed_rules.toml", answers{"GET /Rules": {200, rules}, "PUT /Rules": {200, `{"Version":13}`}}, vwcommand.ExitFine},
		"rules_apply_late":   {"rules apply --by Aino --base 11 testdata/changed_rules.toml", answers{"GET /Rules": {200, rules}, "PUT /Rules": {409, problemBody("NotRun", vwapi.CodeConflict, "")}}, vwcommand.ExitRefused},
		"rules_apply_bad":    {"rules apply --by Aino testdata/bad_rules.toml", nil, vwcommand.ExitRefused},
		"rules_apply_no_by":  {"rules apply testdata/changed_rules.toml", nil, vwcommand.ExitUsage},
		"datacentre_out":     {"datacentre out Turku --by Aino --change-id 7", answers{"POST /DataCentres/Turku/Out": {200, `{"Version":14}`}}, vwcommand.ExitFine},
		"datacentre_in":      {"datacentre in Turku --by Aino --json", answers{"POST /DataCentres/Turku/In": {200, `{"Version":15}`}}, vwcommand.ExitFine},
		"datacentre_list":    {"datacentre list", answers{"GET /DataCentres": {200, `[{"Name":"Helsinki"},{"Name":"Turku","Out":true}]`}}, vwcommand.ExitFine},
		"workers":            {"workers", answers{"GET /Workers": {200, `[{"Process":"a1","DataCentre":"Turku","Rack":"r1","Service":"muotoilu","Slots":8}]`}}, vwcommand.ExitFine},
		"workers_failed":     {"workers", answers{"GET /Workers": {500, problemBody("MayHaveRun", vwapi.CodeInvalid, "")}}, vwcommand.ExitFailed},
		"status":             {"status", answers{"GET /Status": {200, `{"Process":"e1","DataCentre":"Turku","Version":3,"LeaseFresh":true,"Workers":9,"Entries":3,"Waiting":2,"Jobs":1}`}}, vwcommand.ExitFine},
		"status_failed":      {"status", answers{"GET /Status": {500, problemBody("MayHaveRun", vwapi.CodeInvalid, "")}}, vwcommand.ExitFailed},
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/calls"))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.answers)
			defer server.Close()
			args := strings.Fields(c.args)
			switch {
			case strings.Contains(c.args, "--entry"):
			case args[0] == "submit" || args[0] == "job" || args[0] == "cancel":
				args = append(args, "--entry", server.URL)
			default:
				args = append(args, "--operators", server.URL)
			}
			var stdout, stderr bytes.Buffer
			require.Equal(t, c.exit, run(t.Context(), args, &stdout, &stderr), "%s%s", &stdout, &stderr)
			text := "stdout:\n" + stdout.String() + "stderr:\n" + stderr.String()
			text = strings.ReplaceAll(changeID.ReplaceAllString(text, "CHANGE"), server.URL, "ADDRESS")
			golden.Assert(t, name, []byte(text))
		})
	}
}
