package vwhistory_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// rulesWith returns a change to the rules of the fixture with more lines.
func rulesWith(id string, lines ...string) string {
	text := strings.ReplaceAll(rules+strings.Join(append(lines, ""), "\n"), "\n", `\n`)
	return `{"ChangeID":"` + id + `","Base":1,"By":"Ana","Text":"` + strings.ReplaceAll(text, `"`, `\"`) + `"}`
}

func (s *site) get(at, call string) int { return s.do(request{at: at, call: call}).Code }

func (s *site) send(at, call, body string) int {
	return s.do(request{at: at, call: call, body: body}).Code
}

func (s *site) expect(code string, at, call, body string) vwapi.Problem {
	problem := decodeProblem(s.t, s.do(request{at: at, call: call, body: body}).Body.Bytes())
	require.Equal(s.t, code, problem.Code, "%+v", problem)
	return problem
}

// longJob returns a job with one task that runs for some milliseconds.
func longJob(name, millis string) string {
	return `{"ID":"<` + name + `>","Service":"pedidos","Team":"Stands","Tasks":[{"ID":"a","Payload":` + millis + `}]}`
}

// manyTasks returns a job with an id and some short tasks.
func manyTasks(name string, count int) string {
	return strings.Replace(makeManyTasks(count), "{", `{"ID":"<`+name+`>",`, 1)
}

// loseWorkerDuring makes a request whose first worker is lost while it runs, and checks the status and
// the number of starts.
func (s *site) loseWorkerDuring(body string, status, starts int) {
	killing := s.killLater()
	before := len(s.cluster.record.all())
	require.Equal(s.t, status, s.send("callers", "POST /Requests", body))
	_ = killing.Wait()
	require.Len(s.t, s.cluster.record.all(), before+starts)
	s.reviveAll()
}

// loseWorkerQuietly is loseWorkerDuring without a transcript. It returns the number of starts.
func (s *site) loseWorkerQuietly(body string) int {
	killing := s.killLater()
	before := len(s.cluster.record.all())
	s.cluster.entries[0].call(s.t.Context(), false, http.MethodPost, "/Requests", json.RawMessage(body))
	_ = killing.Wait()
	defer s.reviveAll()
	return len(s.cluster.record.all()) - before
}

// killLater kills the backend server of the next start.
func (s *site) killLater() *vwgroup.Group {
	killing := vwgroup.Make(context.Background())
	before := len(s.cluster.record.all())
	killing.Run(func(context.Context) {
		time.Sleep(time.Second)
		if starts := s.cluster.record.all(); len(starts) > before {
			s.cluster.agents[starts[before].worker].backend.kill()
		}
	})
	return killing
}

// killEachStart kills the backend server of each start after half a second, until the group that it returns is stopped.
// Another one is in its place after a second.
func (s *site) killEachStart() *vwgroup.Group {
	killing := vwgroup.Make(s.t.Context())
	killed := len(s.cluster.record.all())
	killing.Run(func(ctx context.Context) {
		for vwgroup.Sleep(ctx, 50*time.Millisecond) == nil {
			for _, start := range s.cluster.record.all()[killed:] {
				killed++
				backend := s.cluster.agents[start.worker].backend
				killing.Run(func(ctx context.Context) {
					_ = vwgroup.Sleep(ctx, 500*time.Millisecond)
					backend.kill()
					_ = vwgroup.Sleep(ctx, time.Second)
					backend.revive()
				})
			}
		}
	})
	return killing
}

func (s *site) reviveAll() {
	for _, a := range s.cluster.agents {
		a.backend.kill()
		a.backend.revive()
	}
	time.Sleep(5 * time.Second)
}

// sessions are whole sessions on one cluster. Their transcripts are golden files.
var sessions = map[string]func(*site){
	"caller": func(s *site) {
		s.send("callers", "POST /Jobs", goodJob)
		s.send("callers", "POST /Jobs", goodJob)
		s.send("callers 1", "POST /Jobs", goodJob)
		s.get("callers 1", "GET /Jobs/<KNOWN>?WaitSeconds=1")
		s.send("callers", "POST /Jobs?Wait=false", longJob("LONG", "3000"))
		s.get("callers", "GET /Jobs/<LONG>")
		s.get("callers", "GET /Jobs/<LONG>?WaitSeconds=0.5")
		s.send("callers 1", "POST /Jobs?Wait=false", longJob("LONG", "3000"))
		s.get("callers", "GET /Jobs/<LONG>?WaitSeconds=60")
		s.send("callers", "POST /Requests", `{"Service":"pedidos","Team":"Stands","Idempotent":true,"Payload":20}`)
		s.send("callers", "POST /Requests", `{"ID":"<ONCE>","Service":"pedidos","Team":"Stands","Payload":20}`)
		s.send("callers 1", "POST /Requests", `{"ID":"<ONCE>","Service":"pedidos","Team":"Stands","Payload":20}`)
	},
	"cancellation": func(s *site) {
		s.send("callers", "POST /Jobs?Wait=false", longJob("LONG", "30000"))
		s.send("callers 1", "POST /Jobs?Wait=false", longJob("OTHER", "30000"))
		time.Sleep(time.Second)
		require.Equal(s.t, http.StatusNoContent, s.get("callers", "DELETE /Jobs/<LONG>"))
		require.Equal(s.t, http.StatusNoContent, s.get("callers", "DELETE /Jobs/<OTHER>"))
		s.get("callers", "DELETE /Jobs/<LONG>")
		s.expect(vwapi.CodeCancelled, "callers", "GET /Jobs/<LONG>?WaitSeconds=1", "")
		s.expect(vwapi.CodeCancelled, "callers 1", "GET /Jobs/<LONG>?WaitSeconds=1", "")
		s.expect(vwapi.CodeCancelled, "callers 1", "POST /Jobs", longJob("OTHER", "30000"))
	},
	"operator": func(s *site) {
		for _, path := range []string{"/healthz", "/readyz", "/Status", "/Workers", "/Rules", "/DataCentres"} {
			s.get("operators", "GET "+path)
		}
		s.send("operators", "POST /DataCentres/Manta/Out", `{"ChangeID":"out-1","By":"Ana, platform: power works"}`)
		s.send("operators 1", "POST /DataCentres/Manta/Out", `{"ChangeID":"out-1","By":"Ana, platform: power works"}`)
		s.get("operators", "GET /DataCentres")
		s.get("operators 1", "GET /Rules")
		s.send("operators", "POST /DataCentres/Manta/In", `{"ChangeID":"in-1","By":"Ana, platform"}`)
		s.expect(vwapi.CodeConflict, "operators", "PUT /Rules", rulesWith("late"))
		text := strings.Replace(rulesWith("weight", "Share.pedidos.Stands = { Weight = 3 } # Ana, platform"), `"Base":1`, `"Base":3`, 1)
		s.send("operators", "PUT /Rules", text)
		s.send("operators 1", "PUT /Rules", text)
	},
	"backend_server": func(s *site) {
		announcement := `{"Service":"pedidos","Address":"http://127.0.0.1:9","Slots":4}`
		s.send("agent", "POST /Announce", announcement)
		s.send("agent", "POST /Leave", "")
		s.cluster.setLeft(s.cluster.agents[0], true)
		time.Sleep(4 * time.Second)
		s.get("operators", "GET /Workers")
		s.cluster.setLeft(s.cluster.agents[0], false)
		s.send("agent", "POST /Announce", announcement)
		time.Sleep(4 * time.Second)
		s.get("operators", "GET /Workers")
	},
	"agent_stopping": func(s *site) {
		s.cluster.setLeft(s.cluster.agents[0], true)
		agent := s.cluster.agents[0].current()
		stopping := vwgroup.Make(context.Background())
		stopping.Run(func(ctx context.Context) { _ = agent.Stop(ctx) })
		_ = stopping.Wait()
		s.expect(vwapi.CodeStopping, "agent", "POST /Announce", `{"Service":"pedidos","Address":"http://127.0.0.1:9","Slots":4}`)
		s.expect(vwapi.CodeStopping, "agent", "POST /Leave", "")
	},
	"limits": func(s *site) {
		s.send("operators", "PUT /Rules", rulesWith("limits",
			`Limit.pedidos.Stands = { QueueLength = 6 } # Ana, platform`, `Out.Guayaquil = {} # Ana`, `Out.Manta = {} # Ana`))
		time.Sleep(2 * time.Second)
		s.expect(vwapi.CodeNeverRuns, "callers", "POST /Jobs", manyTasks("MANY", 7))
		s.send("callers", "POST /Jobs?Wait=false", manyTasks("FIRST", 5))
		s.expect(vwapi.CodeQueueFull, "callers", "POST /Jobs", manyTasks("SECOND", 2))
		s.expect(vwapi.CodeQueueFull, "callers", "GET /Jobs/<SECOND>", "")
		s.expect(vwapi.CodeDeadline, "callers", "POST /Jobs", strings.Replace(longJob("LATE", "20"), `"Tasks"`, `"TimeoutMillis":5000,"Tasks"`, 1))
	},
	"rate": func(s *site) {
		s.send("operators", "PUT /Rules", rulesWith("rate", `Limit.pedidos.Stands = { Rate = 4 } # Ana, platform`))
		time.Sleep(2 * time.Second)
		s.send("callers", "POST /Jobs", manyTasks("FIRST", 4))
		s.expect(vwapi.CodeRateLimited, "callers", "POST /Jobs", manyTasks("SECOND", 4))
		s.expect(vwapi.CodeRateLimited, "callers", "GET /Jobs/<SECOND>", "")
		time.Sleep(10 * time.Second)
		s.send("callers", "POST /Jobs", manyTasks("SECOND", 4))
	},
	"failed_task": func(s *site) {
		s.expect(vwapi.CodeTaskFailed, "callers", "POST /Jobs", longJob("FAILED", `"no number"`))
		s.expect(vwapi.CodeTaskFailed, "callers 1", "POST /Jobs", longJob("FAILED", `"no number"`))
		s.expect(vwapi.CodeTaskFailed, "callers", "POST /Requests", `{"ID":"<ONCE>","Service":"pedidos","Team":"Stands","Payload":"no number"}`)
		s.expect(vwapi.CodeTaskFailed, "callers 1", "POST /Requests", `{"ID":"<ONCE>","Service":"pedidos","Team":"Stands","Payload":"no number"}`)
	},
	"lost_worker": func(s *site) {
		s.send("callers", "POST /Jobs?Wait=false", longJob("LONG", "30000"))
		time.Sleep(time.Second)
		for _, a := range s.cluster.agents {
			a.backend.kill()
		}
		s.expect(vwapi.CodeWorkerLost, "callers", "GET /Jobs/<LONG>?WaitSeconds=5", "")
	},
	"partly_failed": func(s *site) {
		body := `{"Service":"pedidos","Team":"Stands","Tasks":[{"ID":"a","Payload":20},{"ID":"b","Payload":"no number"},{"ID":"c","Payload":20000}]}`
		s.expect(vwapi.CodeTaskFailed, "callers", "POST /Jobs", body)
	},
	"retention": func(s *site) {
		s.send("callers", "POST /Jobs", longJob("DONE", "20"))
		s.send("callers", "POST /Requests", `{"ID":"<ONCE>","Service":"pedidos","Team":"Stands","Payload":20}`)
		time.Sleep(4 * time.Minute)
		require.Equal(s.t, http.StatusOK, s.get("callers 1", "GET /Jobs/<DONE>"+"?WaitSeconds=1"))
		time.Sleep(2 * time.Minute)
		s.expect(vwapi.CodeAnswerGone, "callers", "GET /Jobs/<DONE>", "")
		time.Sleep(time.Second)
		s.expect(vwapi.CodeUnknownJob, "callers", "GET /Jobs/<DONE>", "")
		s.expect(vwapi.CodeUnknownJob, "callers 1", "DELETE /Jobs/<DONE>", "")
		s.expect(vwapi.CodeTooOld, "callers", "POST /Jobs", longJob("DONE", "20"))
		s.expect(vwapi.CodeTooOld, "callers 1", "POST /Requests", `{"ID":"<ONCE>","Service":"pedidos","Team":"Stands","Payload":20}`)
		require.Len(s.t, s.cluster.record.all(), 2, "something ran again after the retention")
	},
	"retry_budget": func(s *site) {
		s.loseWorkerDuring(`{"Service":"pedidos","Team":"Stands","Idempotent":true,"Payload":3000}`, http.StatusOK, 2)
		s.loseWorkerDuring(`{"Service":"pedidos","Team":"Stands","Payload":3000}`, http.StatusBadGateway, 1)
		s.send("operators", "PUT /Rules", rulesWith("none", `RetryBudget.pedidos.Stands = { Ratio = 0, PerSecond = 0 } # Ana, platform`))
		time.Sleep(2 * time.Second)
		used := 0
		for used < 200 && s.loseWorkerQuietly(`{"Service":"pedidos","Team":"Stands","Idempotent":true,"Payload":3000}`) == 2 {
			used++
		}
		require.LessOrEqual(s.t, used, 100, "the budget has no end")
		s.loseWorkerDuring(`{"Service":"pedidos","Team":"Stands","Idempotent":true,"Payload":3000}`, http.StatusBadGateway, 1)
	},
	"deadly_request": func(s *site) {
		killing := s.killEachStart()
		before := len(s.cluster.record.all())
		status := s.send("callers", "POST /Requests", `{"Service":"pedidos","Team":"Stands","Idempotent":true,"TimeoutMillis":20000,"Payload":3000}`)
		_ = killing.Stop()
		require.Equal(s.t, 2, len(s.cluster.record.all())-before, "a request under which two workers were lost was started again")
		require.Equal(s.t, http.StatusBadGateway, status)
	},
	"lost_entry": func(s *site) {
		s.send("callers 1", "POST /Jobs?Wait=false", longJob("LONG", "20000"))
		time.Sleep(time.Second)
		s.expect(vwapi.CodeStillRunning, "callers", "GET /Jobs/<LONG>", "")
		s.cluster.killEntry(s.cluster.entries[1], nil)
		time.Sleep(6 * time.Second)
		s.expect(vwapi.CodeOwnerLost, "callers", "GET /Jobs/<LONG>", "")
		s.expect(vwapi.CodeOwnerLost, "callers", "DELETE /Jobs/<LONG>", "")
		s.send("callers", "POST /Jobs", longJob("LONG", "20000"))
	},
	"lost_answer": func(s *site) {
		s.send("callers 1", "POST /Jobs", longJob("LONG", "20"))
		time.Sleep(time.Second)
		s.cluster.killEntry(s.cluster.entries[1], nil)
		for _, a := range s.cluster.agents {
			s.cluster.killAgent(a)
		}
		time.Sleep(6 * time.Second)
		s.expect(vwapi.CodeAnswerGone, "callers", "POST /Jobs", longJob("LONG", "20"))
	},
	"no_control": func(s *site) {
		_, control := s.cluster.entries[0].current()
		control.Cut(true)
		s.expect(vwapi.CodeUnavailable, "callers", "POST /Jobs", goodJob)
		s.expect(vwapi.CodeUnavailable, "callers", "GET /Jobs/<KNOWN>", "")
		s.expect(vwapi.CodeUnavailable, "callers", "DELETE /Jobs/<KNOWN>", "")
		for _, path := range []string{"/Rules", "/Workers", "/DataCentres"} {
			s.expect(vwapi.CodeUnavailable, "operators", "GET "+path, "")
		}
		s.expect(vwapi.CodeUnavailable, "operators", "PUT /Rules", rulesWith("cut"))
		s.expect(vwapi.CodeUnavailable, "operators", "POST /DataCentres/Manta/Out", `{"ChangeID":"c","By":"Ana"}`)
		time.Sleep(3 * time.Second)
		s.get("operators", "GET /readyz")
		s.expect(vwapi.CodeUnavailable, "callers", "POST /Requests", `{"Service":"pedidos","Team":"Stands","Payload":20}`)
	},
	"stopping": func(s *site) {
		s.send("callers", "POST /Jobs?Wait=false", longJob("LONG", "3000"))
		entry, _ := s.cluster.entries[0].current()
		stopping := vwgroup.Make(context.Background())
		stopping.Run(func(ctx context.Context) { _ = entry.Drain(ctx) })
		time.Sleep(time.Second)
		s.get("operators", "GET /readyz")
		s.get("operators", "GET /Status")
		s.expect(vwapi.CodeStopping, "callers", "POST /Jobs", goodJob)
		s.expect(vwapi.CodeStopping, "callers", "POST /Requests", `{"Service":"pedidos","Team":"Stands","Payload":20}`)
		require.Equal(s.t, http.StatusOK, s.get("callers", "GET /Jobs/<LONG>?WaitSeconds=60"))
		_ = stopping.Wait()
		entry.Kill()
		s.expect(vwapi.CodeUnavailable, "operators", "GET /Status", "")
	},
}
