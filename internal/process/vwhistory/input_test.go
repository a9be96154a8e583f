package vwhistory_test

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const (
	goodTasks = `"Tasks":[{"ID":"a","Payload":50},{"ID":"b","Payload":30}]`
	goodJob   = `{"ID":"<KNOWN>","Service":"pedidos","Team":"Stands",` + goodTasks + `}`
	jobStart  = `{"Service":"pedidos","Team":"Stands",`
	change    = `{"ChangeID":"c","Base":1,"By":"Ana","Text":`
)

// badInput is a call that must be refused without any effect.
type badInput struct {
	request
	code string
}

func post(body, code string) badInput {
	return badInput{request{at: "callers", call: "POST /Jobs", body: body}, code}
}

func postRequest(body, code string) badInput {
	return badInput{request{at: "callers", call: "POST /Requests", body: body}, code}
}

func call(at, call, body, code string) badInput {
	return badInput{request{at: at, call: call, body: body}, code}
}

func postAs(contentType string) badInput {
	return badInput{request{at: "callers", call: "POST /Jobs", body: goodJob, header: http.Header{"Content-Type": {contentType}}}, vwapi.CodeUnknownContent}
}

func makeManyTasks(count int) string {
	var body strings.Builder
	body.WriteString(jobStart + `"Tasks":[`)
	for i := range count {
		_, _ = fmt.Fprintf(&body, `{"ID":"%d","Payload":1},`, i)
	}
	return strings.TrimSuffix(body.String(), ",") + "]}"
}

var settings = makeSettings()

var badInputs = map[string]badInput{
	"empty_body":            post("", vwapi.CodeMalformed),
	"no_json":               post("Service=pedidos", vwapi.CodeMalformed),
	"ends_early":            post(goodJob[:len(goodJob)-4], vwapi.CodeMalformed),
	"trailing":              post(jobStart+goodTasks+"}{}", vwapi.CodeMalformed),
	"array":                 post("[]", vwapi.CodeMalformed),
	"unknown_field":         post(jobStart+`"Prio":1,`+goodTasks+"}", vwapi.CodeMalformed),
	"other_case":            post(strings.Replace(goodJob, "Team", "team", 1), vwapi.CodeMalformed),
	"duplicate_field":       post(jobStart+`"Team":"Kits",`+goodTasks+"}", vwapi.CodeMalformed),
	"wrong_type":            post(jobStart+`"TimeoutMillis":"5s",`+goodTasks+"}", vwapi.CodeMalformed),
	"tasks_no_array":        post(jobStart+`"Tasks":null}`, vwapi.CodeMalformed),
	"task_unknown_field":    post(jobStart+`"Tasks":[{"ID":"a","Payload":1,"Extra":2}]}`, vwapi.CodeMalformed),
	"task_duplicate_field":  post(jobStart+`"Tasks":[{"ID":"a","Payload":1,"Payload":2}]}`, vwapi.CodeMalformed),
	"task_twice":            post(jobStart+`"Tasks":[{"ID":"a","Payload":1},{"ID":"a","Payload":2}]}`, vwapi.CodeInvalid),
	"task_without_id":       post(jobStart+`"Tasks":[{"Payload":1}]}`, vwapi.CodeInvalid),
	"task_long_id":          post(jobStart+`"Tasks":[{"ID":"`+strings.Repeat("x", 257)+`","Payload":1}]}`, vwapi.CodeInvalid),
	"task_without_payload":  post(jobStart+`"Tasks":[{"ID":"a"}]}`, vwapi.CodeInvalid),
	"task_negative_run":     post(jobStart+`"Tasks":[{"ID":"a","Payload":1,"DeclaredRunMillis":-1}]}`, vwapi.CodeInvalid),
	"task_long_timeout":     post(jobStart+`"Tasks":[{"ID":"a","Payload":1,"TimeoutMillis":300001}]}`, vwapi.CodeInvalid),
	"no_tasks":              post(jobStart+`"Tasks":[]}`, vwapi.CodeInvalid),
	"tasks_missing":         post(`{"Service":"pedidos","Team":"Stands"}`, vwapi.CodeInvalid),
	"service_missing":       post(`{"Team":"Stands",`+goodTasks+"}", vwapi.CodeInvalid),
	"team_missing":          post(`{"Service":"pedidos",`+goodTasks+"}", vwapi.CodeInvalid),
	"service_long":          post(`{"Service":"`+strings.Repeat("x", 257)+`","Team":"Stands",`+goodTasks+"}", vwapi.CodeInvalid),
	"negative_timeout":      post(jobStart+`"TimeoutMillis":-1,`+goodTasks+"}", vwapi.CodeInvalid),
	"unknown_service":       post(`{"Service":"pedido","Team":"Stands",`+goodTasks+"}", vwapi.CodeNeverRuns),
	"unknown_team":          post(`{"Service":"pedidos","Team":"Stand",`+goodTasks+"}", vwapi.CodeNeverRuns),
	"declared_past_timeout": post(jobStart+`"TimeoutMillis":1000,"Tasks":[{"ID":"a","DeclaredRunMillis":2000,"Payload":1}]}`, vwapi.CodeDeadline),
	"wrong_id":              post(strings.Replace(goodJob, "<KNOWN>", "job-1", 1), vwapi.CodeInvalid),
	"id_version_4":          post(strings.Replace(goodJob, "<KNOWN>", "6fa459ea-ee8a-4ca4-894e-db77e160355e", 1), vwapi.CodeInvalid),
	"id_upper_case":         post(strings.Replace(goodJob, "<KNOWN>", "01890A5D-AC96-774B-BCCE-B302099A8057", 1), vwapi.CodeInvalid),
	"id_too_old":            post(strings.Replace(goodJob, "KNOWN", "OLD", 1), vwapi.CodeTooOld),
	"id_from_the_future":    post(strings.Replace(goodJob, "KNOWN", "FUTURE", 1), vwapi.CodeTooNew),
	"other_body":            post(strings.Replace(goodJob, "50", "51", 1), vwapi.CodeConflict),
	"other_team":            post(strings.Replace(goodJob, "Stands", "Kits", 1), vwapi.CodeConflict),
	"too_many_tasks":        post(makeManyTasks(settings.MaxTasks+1), vwapi.CodeTooLarge),
	"payload_too_large":     post(jobStart+`"Tasks":[{"ID":"a","Payload":"`+strings.Repeat("x", int(settings.MaxPayload))+`"}]}`, vwapi.CodeTooLarge),
	"body_too_large":        post(jobStart+`"Tasks":[`+strings.Repeat(" ", int(settings.MaxBody))+"]}", vwapi.CodeTooLarge),
	"form_content":          postAs("application/x-www-form-urlencoded"),
	"broken_content_type":   postAs("application/json; charset"),
	"wait_word":             call("callers", "POST /Jobs?Wait=no", goodJob, vwapi.CodeInvalid),
	"wait_other_case":       call("callers", "POST /Jobs?wait=false", goodJob, vwapi.CodeInvalid),
	"wait_twice":            call("callers", "POST /Jobs?Wait=false&Wait=true", goodJob, vwapi.CodeInvalid),
	"request_empty":         postRequest("", vwapi.CodeMalformed),
	"request_duplicate":     postRequest(`{"Service":"pedidos","Team":"Stands","Payload":1,"Payload":2}`, vwapi.CodeMalformed),
	"request_unknown":       postRequest(`{"Service":"pedidos","Team":"Stands","Payload":1,"Tasks":[]}`, vwapi.CodeMalformed),
	"request_no_payload":    postRequest(`{"Service":"pedidos","Team":"Stands"}`, vwapi.CodeInvalid),
	"request_never_runs":    postRequest(`{"Service":"pedido","Team":"Stands","Payload":1}`, vwapi.CodeNeverRuns),
	"request_other_body":    postRequest(`{"ID":"<KNOWN>","Service":"pedidos","Team":"Stands","Payload":1}`, vwapi.CodeConflict),
	"request_too_old":       postRequest(`{"ID":"<OLD>","Service":"pedidos","Team":"Stands","Payload":1}`, vwapi.CodeTooOld),
	"job_wrong_id":          call("callers", "GET /Jobs/1", "", vwapi.CodeInvalid),
	"job_unknown":           call("callers", "GET /Jobs/<OTHER>", "", vwapi.CodeUnknownJob),
	"job_wait_word":         call("callers", "GET /Jobs/<KNOWN>?WaitSeconds=soon", "", vwapi.CodeInvalid),
	"job_wait_nan":          call("callers", "GET /Jobs/<KNOWN>?WaitSeconds=NaN", "", vwapi.CodeInvalid),
	"job_wait_long":         call("callers", "GET /Jobs/<KNOWN>?WaitSeconds=61", "", vwapi.CodeInvalid),
	"job_wait_unknown":      call("callers", "GET /Jobs/<KNOWN>?Wait=true", "", vwapi.CodeInvalid),
	"cancel_wrong_id":       call("callers", "DELETE /Jobs/1", "", vwapi.CodeInvalid),
	"cancel_unknown":        call("callers", "DELETE /Jobs/<OTHER>", "", vwapi.CodeUnknownJob),
	"unknown_route":         call("callers", "POST /Job", goodJob, vwapi.CodeUnknownRoute),
	"trailing_slash":        call("callers", "POST /Jobs/", goodJob, vwapi.CodeUnknownRoute),
	"operators_route":       call("callers", "GET /Rules", "", vwapi.CodeUnknownRoute),
	"unknown_method":        call("callers", "PUT /Jobs", goodJob, vwapi.CodeUnknownMethod),
	"operator_route":        call("operators", "GET /Rule", "", vwapi.CodeUnknownRoute),
	"operator_method":       call("operators", "DELETE /Rules", "", vwapi.CodeUnknownMethod),
	"rules_malformed":       call("operators", "PUT /Rules", "{", vwapi.CodeMalformed),
	"rules_duplicate":       call("operators", "PUT /Rules", change+`"","Text":""}`, vwapi.CodeMalformed),
	"rules_no_by":           call("operators", "PUT /Rules", `{"ChangeID":"c","Base":1,"Text":""}`, vwapi.CodeInvalid),
	"rules_long_change_id":  call("operators", "PUT /Rules", `{"ChangeID":"`+strings.Repeat("c", 257)+`","Base":1,"By":"Ana","Text":""}`, vwapi.CodeInvalid),
	"rules_negative_base":   call("operators", "PUT /Rules", `{"ChangeID":"c","Base":-1,"By":"Ana","Text":""}`, vwapi.CodeMalformed),
	"rules_faults":          call("operators", "PUT /Rules", change+`"Team.a = {}\nShare.x.y = 1 # Ana\n"}`, vwapi.CodeInvalid),
	"rules_late":            call("operators", "PUT /Rules", `{"ChangeID":"c","Base":0,"By":"Ana","Text":""}`, vwapi.CodeConflict),
	"rules_too_large":       call("operators", "PUT /Rules", change+`"`+strings.Repeat("#", 1<<20+1)+`"}`, vwapi.CodeTooLarge),
	"rules_form":            {request{at: "operators", call: "PUT /Rules", body: "x", header: http.Header{"Content-Type": {"text/plain"}}}, vwapi.CodeUnknownContent},
	"centre_unknown":        call("operators", "POST /DataCentres/Quito/Out", `{"ChangeID":"c","By":"Ana"}`, vwapi.CodeInvalid),
	"centre_action":         call("operators", "POST /DataCentres/Manta/Off", `{"ChangeID":"c","By":"Ana"}`, vwapi.CodeInvalid),
	"centre_no_change":      call("operators", "POST /DataCentres/Manta/Out", `{"By":"Ana"}`, vwapi.CodeInvalid),
	"centre_malformed":      call("operators", "POST /DataCentres/Manta/Out", `{"By":"Ana"`, vwapi.CodeMalformed),
	"announce_malformed":    call("agent", "POST /Announce", `{"Service":"pedidos","Slots":"4"}`, vwapi.CodeMalformed),
	"announce_duplicate":    call("agent", "POST /Announce", `{"Service":"pedidos","Slots":4,"Slots":8}`, vwapi.CodeMalformed),
	"announce_no_slots":     call("agent", "POST /Announce", `{"Service":"pedidos","Address":"http://127.0.0.1:9","Slots":0}`, vwapi.CodeInvalid),
	"announce_address":      call("agent", "POST /Announce", `{"Service":"pedidos","Address":"unix:x","Slots":4}`, vwapi.CodeInvalid),
	"announce_too_large":    call("agent", "POST /Announce", `{"Service":"`+strings.Repeat("x", 16<<10)+`"}`, vwapi.CodeTooLarge),
	"agent_route":           call("agent", "POST /Announcements", "{}", vwapi.CodeUnknownRoute),
	"agent_method":          call("agent", "GET /Announce", "", vwapi.CodeUnknownMethod),
}

// refuse makes a bad call between the start and the answer of a good job. The call must be refused, and
// the good job must not notice.
func (s *site) refuse(c badInput) {
	require.Equal(s.t, http.StatusAccepted, s.cluster.entries[0].call(s.t.Context(), false, http.MethodPost, "/Jobs?Wait=false", s.goodJob()).Code)
	answer := s.do(c.request)
	problem := decodeProblem(s.t, answer.Body.Bytes())
	require.Equal(s.t, c.code, problem.Code)
	if c.code != vwapi.CodeTooOld && c.code != vwapi.CodeUnknownJob {
		require.Equal(s.t, vwverdict.NotRun, problem.Verdict)
	}
	require.NotEmpty(s.t, problem.Detail)
	whole := s.cluster.entries[0].call(s.t.Context(), false, http.MethodGet, "/Jobs/"+string(s.id("KNOWN"))+"?WaitSeconds=10", nil)
	require.Equal(s.t, http.StatusOK, whole.Code)
	require.Empty(s.t, checkAnswer(s.goodJob(), whole.Body.Bytes()))
	for _, start := range s.cluster.record.all() {
		require.Equal(s.t, s.id("KNOWN"), start.submission, "a refused call started something")
	}
	require.Len(s.t, s.cluster.record.all(), 2)
}

func (s *site) goodJob() vwapi.Submission {
	return vwapi.Submission{ID: s.id("KNOWN"), Service: service, Team: team, Tasks: []vwapi.Task{
		{ID: vwid.TaskID("a"), Payload: []byte("50")}, {ID: "b", Payload: []byte("30")},
	}}
}
