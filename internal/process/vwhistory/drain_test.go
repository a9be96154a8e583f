package vwhistory_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// drainTime is how long the stopping entry of these tests may take to answer, and runMillis how long each task runs.
const (
	drainTime = time.Second
	runMillis = 3000
)

// calls makes calls to entries in the background and keeps the answers by name.
type calls struct {
	group   *vwgroup.Group
	answers map[string]*timedAnswer
}

type timedAnswer struct {
	*httptest.ResponseRecorder
	at time.Time
}

func (c *calls) make(name string, e *entryProcess, method, path string, body any) {
	answer := &timedAnswer{}
	c.answers[name] = answer
	c.group.Run(func(ctx context.Context) {
		answer.ResponseRecorder = e.call(ctx, false, method, path, body)
		answer.at = time.Now()
	})
}

// Guards against calls of the product's own interfaces that a stopping entry leaves without an answer, and against tasks
// of a submission that are aborted or start twice because their entry stops: another entry must deliver the answer.
func TestStoppingEntryAnswersAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(2, 2, slog.New(slog.DiscardHandler))
		change := vwstate.Command{ChangeRules: &vwstate.ChangeRules{ChangeID: "first", Text: []byte(rules), By: "Ana"}}
		_, err := c.control.Client().Propose(t.Context(), change)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)

		stopping, other := c.entries[0], c.entries[1]
		task := vwapi.Task{ID: "a", Payload: json.RawMessage("3000")}
		recorded := vwapi.Submission{ID: vwid.MakeSubmissionID(), Service: service, Team: team, Tasks: []vwapi.Task{task, {ID: "b", Payload: task.Payload}}}
		elsewhere := vwapi.Submission{ID: vwid.MakeSubmissionID(), Service: service, Team: team, Tasks: []vwapi.Task{task}}
		made := calls{group: vwgroup.Make(context.Background()), answers: map[string]*timedAnswer{}}
		made.make("job", stopping, http.MethodPost, "/Jobs", recorded)
		made.make("request", stopping, http.MethodPost, "/Requests", vwapi.Request{Service: service, Team: team, Payload: task.Payload})
		made.make("owner", other, http.MethodPost, "/Jobs", elsewhere)
		time.Sleep(500 * time.Millisecond)
		made.make("joined", stopping, http.MethodGet, "/Jobs/"+string(elsewhere.ID)+"?WaitSeconds=60", nil)
		time.Sleep(100 * time.Millisecond)

		answerBy := time.Now().Add(drainTime)
		entry, _ := stopping.current()
		entry.AnswerBy(answerBy)
		late := vwapi.Task{ID: "a", Payload: task.Payload, DeclaredRunMillis: runMillis}
		answer := stopping.call(t.Context(), false, http.MethodPost, "/Jobs", vwapi.Submission{Service: service, Team: team, Tasks: []vwapi.Task{late}})
		require.Equal(t, http.StatusServiceUnavailable, answer.Code, "a job that cannot end in time is refused at once\n%s", answer.Body)
		require.NoError(t, entry.Drain(t.Context()))
		_ = made.group.Wait()
		for name, status := range map[string]int{"job": http.StatusBadGateway, "request": http.StatusBadGateway, "joined": http.StatusAccepted} {
			answer := made.answers[name]
			require.Equal(t, status, answer.Code, "%s: %s", name, answer.Body)
			require.WithinDuration(t, answerBy, answer.at, 50*time.Millisecond, name)
		}
		require.Equal(t, http.StatusOK, made.answers["owner"].Code)

		require.NoError(t, entry.Stop(t.Context()))
		require.Equal(t, http.StatusOK, other.call(t.Context(), false, http.MethodPost, "/Jobs", recorded).Code)
		starts := map[vwid.TaskID]int{}
		for _, start := range c.record.all() {
			if start.submission == recorded.ID {
				starts[start.task]++
			}
		}
		require.Equal(t, map[vwid.TaskID]int{"a": 1, "b": 1}, starts)
		c.stop()
	})
}
