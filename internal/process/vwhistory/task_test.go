package vwhistory_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// Backend servers are written by others after the page: the call of a task must be what it says, and
// each answer must mean what it says.
func TestTaskCall(t *testing.T) {
	p := loadPage(t)
	var transcript strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		operation, name := p.find(request.Method, request.URL.Path)
		if operation == nil || !hasTag(operation, "BackendServer") {
			t.Errorf("%s %s is not in the page", request.Method, request.URL.Path)
			return
		}
		body, _ := io.ReadAll(request.Body)
		lines := []string{"> " + request.Method + " " + request.URL.Path}
		for _, parameter := range operation.Parameters {
			if request.Header.Get(parameter.Value.Name) == "" {
				t.Errorf("%s lacks header %s", name, parameter.Value.Name)
			}
			lines = appendHeaders(lines, request.Header, parameter.Value.Name)
		}
		lines = append(appendHeaders(lines, request.Header, "Content-Type"), string(body))
		_, _ = fmt.Fprintln(&transcript, strings.Join(lines, "\n"))
		if strings.Contains(string(body), "fail") {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write(body)
	}))
	defer server.Close()
	address, err := vwbackend.ParseAddress(server.URL)
	require.NoError(t, err)
	client, err := vwbackend.Make(vwbackend.Settings{})
	require.NoError(t, err)
	defer client.Close()
	for _, payload := range []string{`{"Kit":7}`, `"fail"`} {
		result, err := client.Run(t.Context(), vwbackend.Task{
			Address: address, Service: service, SubmissionID: "01890a5d-ac96-774b-bcce-b302099a8057", TaskID: "a", Epoch: 2, Payload: []byte(payload),
		})
		_, _ = fmt.Fprintf(&transcript, "< result %s, verdict %s, error %v\n\n", result, vwverdict.Of(err), err)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/sessions")).Assert(t, "task", []byte(transcript.String()))
}
