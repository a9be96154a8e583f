package vwhistory_test

import (
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
)

const pagePath = "../../../docs/openapi.yaml"

// commonCodes are the codes that every operation can answer with.
var commonCodes = []string{vwapi.CodeUnknownContent, vwapi.CodeUnknownMethod, vwapi.CodeUnknownRoute}

// page is docs/openapi.yaml and what the tests have observed of it.
type page struct {
	document *openapi3.T
	mu       sync.Mutex
	codes    map[string]bool
	answered map[string]bool
}

func loadPage(t *testing.T) *page {
	document, err := openapi3.NewLoader().LoadFromFile(pagePath)
	require.NoError(t, err)
	require.NoError(t, document.Validate(t.Context()))
	return &page{document: document, codes: map[string]bool{}, answered: map[string]bool{}}
}

// operations calls visit for each operation with its method and path.
func (p *page) operations(visit func(method, path string, operation *openapi3.Operation)) {
	for path, item := range p.document.Paths.Map() {
		for method, operation := range item.Operations() {
			visit(method, path, operation)
		}
	}
}

var pathParameter = regexp.MustCompile(`\{\w+\}`)

// find returns the operation of a call and its name, nil when the page has none.
func (p *page) find(method, path string) (operation *openapi3.Operation, name string) {
	path, _, _ = strings.Cut(path, "?")
	p.operations(func(m, template string, candidate *openapi3.Operation) {
		pattern := "^" + pathParameter.ReplaceAllString(template, "[^/]+") + "$"
		if m == method && regexp.MustCompile(pattern).MatchString(path) {
			operation, name = candidate, m+" "+template
		}
	})
	return operation, name
}

func codesOf(operation *openapi3.Operation) []string {
	listed, _ := operation.Extensions["x-codes"].([]any)
	var codes []string
	for _, code := range listed {
		codes = append(codes, fmt.Sprint(code))
	}
	return codes
}

// check returns how an answer differs from the page, and remembers it as observed.
func (p *page) check(method, path string, answer *httptest.ResponseRecorder) error {
	media, _, _ := mime.ParseMediaType(answer.Header().Get("Content-Type"))
	operation, name := p.find(method, path)
	code := ""
	if media == vwapi.ProblemType {
		var problem vwapi.Problem
		if err := json.Unmarshal(answer.Body.Bytes(), &problem); err != nil {
			return err
		}
		if code = problem.Code; problem.Status != answer.Code || vwapi.StatusOf(code) != answer.Code {
			return fmt.Errorf("code %s and status %d in an answer with status %d", code, problem.Status, answer.Code)
		}
	}
	p.note(name, code)
	if slices.Contains(commonCodes, code) {
		return p.visit("Problem", answer.Body.Bytes())
	}
	if operation == nil {
		return fmt.Errorf("%s %s is not in the page", method, path)
	}
	if code != "" && !slices.Contains(codesOf(operation), code) {
		return fmt.Errorf("%s answers with code %s, which the page does not list", name, code)
	}
	return checkResponse(operation, media, answer)
}

func (p *page) note(name, code string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.codes[code] = true
	p.answered[name] = true
}

func checkResponse(operation *openapi3.Operation, media string, answer *httptest.ResponseRecorder) error {
	response := operation.Responses.Value(strconv.Itoa(answer.Code))
	if response == nil {
		return fmt.Errorf("status %d is not in the page", answer.Code)
	}
	if len(response.Value.Content) == 0 || strings.HasPrefix(media, "text/") {
		return nil
	}
	content := response.Value.Content.Get(media)
	if content == nil {
		return fmt.Errorf("content %s is not in the page", media)
	}
	return visitJSON(content.Schema, answer.Body.Bytes())
}

func (p *page) visit(schema string, body []byte) error {
	return visitJSON(p.document.Components.Schemas[schema], body)
}

func visitJSON(schema *openapi3.SchemaRef, body []byte) error {
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		return err
	}
	return schema.Value.VisitJSON(value)
}

// hasTag reports whether an operation belongs to one of the interfaces.
func hasTag(operation *openapi3.Operation, tag string) bool {
	return slices.Contains(operation.Tags, tag)
}

// statusesOf returns the statuses that the codes of an operation have.
func statusesOf(operation *openapi3.Operation) map[string]bool {
	statuses := map[string]bool{}
	for _, code := range codesOf(operation) {
		statuses[strconv.Itoa(vwapi.StatusOf(code))] = true
	}
	return statuses
}

func isSuccess(status string) bool {
	number, err := strconv.Atoi(status)
	return err != nil || number < http.StatusMultipleChoices
}
