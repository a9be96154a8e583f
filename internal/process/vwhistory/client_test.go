package vwhistory_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// roundTripper takes HTTP requests to the entries without sockets. A host is the address of an entry,
// and that with ".operators" its operators' address.
type roundTripper struct{ cluster *cluster }

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, e := range r.cluster.entries {
		entry, _ := e.current()
		if address, _, _ := strings.Cut(request.URL.Host, "."); address != e.address || entry == nil {
			continue
		}
		handler := entry.CallersHandler()
		if strings.HasSuffix(request.URL.Host, ".operators") {
			handler = entry.OperatorsHandler()
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		if err := request.Context().Err(); err != nil {
			return nil, err
		}
		return answer.Result(), nil
	}
	return nil, errors.New("no such entry")
}

func (s *site) settings(suffix string) vwclient.Settings {
	settings := vwclient.Settings{Transport: roundTripper{s.cluster}, AttemptTimeout: 8 * time.Second}
	for _, e := range s.cluster.entries {
		settings.Entries = append(settings.Entries, "http://"+e.address+suffix)
	}
	return settings
}

// The client must get the whole answer of a job over lost entries, cut control and lost answers, and no
// task may start twice on the way.
func TestClientOverFaults(t *testing.T) {
	cases := map[string]func(*site){
		"lost entry":        func(s *site) { s.cluster.killEntry(s.cluster.entries[0], nil) },
		"other lost entry":  func(s *site) { s.cluster.killEntry(s.cluster.entries[1], nil) },
		"isolated entry":    func(s *site) { s.cluster.network.Isolate(s.cluster.entries[0].address, true) },
		"lost answers":      func(s *site) { s.controls(func(i int) bool { return i == 0 }, true, false) },
		"cut control":       func(s *site) { s.controls(func(int) bool { return true }, false, true) },
		"silent connection": func(s *site) { s.cluster.network.SilenceOpen("entry-0", "agent-0") },
		"restarted entry": func(s *site) {
			s.cluster.killEntry(s.cluster.entries[0], nil)
			s.cluster.startEntry(s.cluster.entries[0])
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSite(t, loadPage(t))
				defer s.cluster.stop()
				client, err := vwclient.Make(s.settings(""))
				require.NoError(t, err)
				job := s.goodJob()
				for i := range 20 {
					job.Tasks = append(job.Tasks, vwapi.Task{ID: vwid.TaskID(rune('c' + i)), Payload: []byte("700")})
				}
				faulting := vwgroup.Make(context.Background())
				faulting.Run(func(context.Context) {
					time.Sleep(800 * time.Millisecond)
					fault(s)
					// Longer than the idle timeout of a link: the network of the tests drops what is sent in between,
					// and no transport loses messages on a connection that goes on.
					time.Sleep(3 * time.Second)
					s.controls(func(int) bool { return true }, false, false)
					s.cluster.network.Isolate(s.cluster.entries[0].address, false)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				answer, err := client.Submit(ctx, job)
				require.NoError(t, faulting.Wait())
				require.NoError(t, err)
				require.Len(t, answer.Results, len(job.Tasks))
				again, err := client.Answer(ctx, job.ID)
				require.True(t, err == nil || vwclient.HasCode(err, vwapi.CodeOwnerLost), "%v", err)
				require.True(t, err != nil || len(again.Results) == len(job.Tasks))
				require.Empty(t, findDuplicates(s.cluster.record.all()))
			})
		})
	}
}

// controls cuts the chosen entries off from control or makes control's answers to them get lost, and
// mends the others.
func (s *site) controls(chosen func(int) bool, lose, cut bool) {
	for i, e := range s.cluster.entries {
		if _, control := e.current(); control != nil {
			control.LoseAnswers(lose && chosen(i))
			control.Cut(cut && chosen(i))
		}
	}
}

// An operator's change whose answers are lost must be made once, however often it is sent.
func TestOperatorClientOverLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, loadPage(t))
		defer s.cluster.stop()
		operator, err := vwclient.MakeOperator(s.settings(".operators"))
		require.NoError(t, err)
		before, err := operator.Rules(t.Context())
		require.NoError(t, err)
		s.controls(func(int) bool { return true }, true, false)
		mending := vwgroup.Make(context.Background())
		mending.Run(func(context.Context) {
			time.Sleep(12 * time.Second)
			s.controls(func(int) bool { return true }, false, false)
		})
		change := vwapi.RulesChange{Base: before.Version, Text: rules + "Out.Manta = {} # Ana\n", By: "Ana"}
		changed, err := operator.ChangeRules(t.Context(), change)
		require.NoError(t, mending.Wait())
		require.NoError(t, err)
		require.Equal(t, before.Version+1, changed.Version)
		after, err := operator.Rules(t.Context())
		require.NoError(t, err)
		require.Equal(t, before.Version+1, after.Version)
	})
}
