package vwhistory_test

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/gin-gonic/gin"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/process/vwmetrics"
	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwstandin"
	"vanillawind.example/vanillawind/pkg/vwapi"
)

func decodeProblem(t *testing.T, body []byte) vwapi.Problem {
	var problem vwapi.Problem
	require.NoError(t, json.Unmarshal(body, &problem), "%s", body)
	return problem
}

// The page, the code and the answers of running processes must say the same, bad input must be refused
// without any effect, and what goes over HTTP must not change unseen.
func TestInterfaces(t *testing.T) {
	p := loadPage(t)
	ran := 0
	t.Run("page", func(t *testing.T) { checkPage(t, p) })
	t.Run("input", func(t *testing.T) {
		for name, c := range badInputs {
			t.Run(name, func(t *testing.T) {
				runSite(t, p, "input/"+name, func(s *site) { s.refuse(c) })
				ran++
			})
		}
	})
	t.Run("sessions", func(t *testing.T) {
		for name, run := range sessions {
			t.Run(name, func(t *testing.T) {
				runSite(t, p, "sessions/"+name, run)
				ran++
			})
		}
	})
	if ran < len(badInputs)+len(sessions) {
		return // A filter selected some of the cases.
	}
	for _, code := range vwapi.Codes() {
		require.True(t, p.codes[code], "no case makes an answer with code %s", code)
	}
	p.operations(func(method, path string, operation *openapi3.Operation) {
		if !hasTag(operation, "BackendServer") && !strings.HasPrefix(path, "/debug") && path != "/metrics" { // These show the state of the Go runtime.
			require.True(t, p.answered[method+" "+path], "no case calls %s %s", method, path)
		}
	})
}

// runSite runs a case on a cluster of its own under the fake clock, and compares its transcript.
func runSite(t *testing.T, p *page, name string, run func(*site)) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, p)
		defer s.cluster.stop()
		run(s)
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, s.transcript.Bytes())
	})
}

// checkPage compares the page with the code where no process needs to run.
func checkPage(t *testing.T, p *page) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, p)
		defer s.cluster.stop()
		entry, _ := s.cluster.entries[0].current()
		routers := map[string]any{
			"Callers": entry.CallersHandler(), "Operators": vwprocess.MakeEntryOperatorsHandler(entry, vwmetrics.Make()),
			"Agent": vwagent.Handler(s.cluster.agents[0].current()),
		}
		for tag, router := range routers {
			require.ElementsMatch(t, routesOf(router.(*gin.Engine)), routesWithTag(p, tag))
		}
	})
	p.operations(func(method, path string, operation *openapi3.Operation) {
		statuses := statusesOf(operation)
		for status := range operation.Responses.Map() {
			require.True(t, statuses[status] || isSuccess(status) || path == "/readyz", "%s %s: no code has status %s", method, path, status)
		}
		for status := range statuses {
			require.NotNil(t, operation.Responses.Value(status), "%s %s: status %s", method, path, status)
		}
	})
	var codes []string
	for _, code := range p.document.Components.Schemas["Code"].Value.Enum {
		codes = append(codes, code.(string))
	}
	require.Equal(t, vwapi.Codes(), codes)
	checkFields(t, p)
}

var routeParameter = strings.NewReplacer(":ID", "{ID}", ":Name", "{Name}", ":Action", "{Action}", "*Name", "{Name}")

func routesOf(router *gin.Engine) []string {
	var routes []string
	for _, route := range router.Routes() {
		routes = append(routes, route.Method+" "+routeParameter.Replace(route.Path))
	}
	return routes
}

func routesWithTag(p *page, tag string) []string {
	var routes []string
	p.operations(func(method, path string, operation *openapi3.Operation) {
		if hasTag(operation, tag) {
			routes = append(routes, method+" "+path)
		}
	})
	return routes
}

// bodies are the types of the JSON bodies by the names of their schemas.
var bodies = map[string]any{
	"Submission": vwapi.Submission{}, "Task": vwapi.Task{}, "Request": vwapi.Request{}, "Answer": vwapi.Answer{},
	"Result": vwapi.Result{}, "RequestAnswer": vwapi.RequestAnswer{}, "Problem": vwapi.Problem{},
	"TaskFailure": vwapi.TaskFailure{}, "Rules": vwapi.Rules{}, "RulesChange": vwapi.RulesChange{},
	"RulesChanged": vwapi.RulesChanged{}, "Status": vwapi.Status{}, "Worker": vwapi.Worker{},
	"DataCentre": vwapi.DataCentre{}, "DataCentreOrder": vwapi.DataCentreOrder{}, "Announcement": vwagent.Announcement{},
}

// checkFields compares the names, the kinds and the presence of the fields of all bodies.
func checkFields(t *testing.T, p *page) {
	for name, schema := range p.document.Components.Schemas {
		if schema.Value.Type.Is("object") {
			require.Contains(t, bodies, name)
		}
	}
	for name, body := range bodies {
		schema := p.document.Components.Schemas[name].Value
		kind := reflect.TypeOf(body)
		require.Equal(t, kind.NumField(), len(schema.Properties), name)
		for i := range kind.NumField() {
			field := kind.Field(i)
			tag, options, _ := strings.Cut(field.Tag.Get("json"), ",")
			if tag == "" {
				tag = field.Name
			}
			property := schema.Properties[tag]
			require.NotNil(t, property, "%s.%s", name, tag)
			require.Equal(t, !strings.Contains(options, "omitempty"), slices.Contains(schema.Required, tag), "%s.%s is required", name, tag)
			require.Equal(t, kindOf(field.Type), property.Value.Type.Slice(), "%s.%s", name, tag)
		}
	}
	require.Equal(t, reflect.TypeFor[vwagent.Announcement]().NumField(), reflect.TypeFor[vwstandin.Announcement]().NumField())
}

func kindOf(kind reflect.Type) []string {
	switch {
	case kind == reflect.TypeFor[json.RawMessage]():
		return nil
	case kind.Name() == "Verdict" || kind.Kind() == reflect.String:
		return []string{"string"}
	case kind.Kind() == reflect.Bool:
		return []string{"boolean"}
	case kind.Kind() == reflect.Slice:
		return []string{"array"}
	}
	return []string{"integer"}
}
