package vwentry

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/request/vwjob"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// A list of registrations that was asked for before an agent registered, or before a job was taken over, does not show that the
// agent is lost. Its tasks would fail as possibly run although the agent is there.
func TestOlderListOfRegistrationsLosesNoAgent(t *testing.T) {
	cases := map[string]struct {
		// before tells whether the agent and the job were there when the list was asked for.
		before bool
		agents int
	}{
		"asked for before": {false, 1},
		"asked for after":  {true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := Make(DefaultSettings(), "e", vwcontroltest.Make(time.Millisecond).Client(), nil, slog.New(slog.DiscardHandler))
			defer e.Kill()
			waiting := e.awaitedRegistrations()
			require.True(t, waiting.isEmpty())
			session := vwlink.MakeSession(agentConn{1}, e)
			e.openLink(session, vwstate.Registration{Incarnation: "i", Process: "agent"})
			e.closeLink(session, nil)
			taken := &recovery{pending: map[vwid.Incarnation]bool{"i": true}}
			if c.before {
				waiting = e.awaitedRegistrations()
				require.False(t, waiting.isEmpty())
			} else {
				spec := vwjob.Spec{SubmissionID: "s", Tasks: []vwjob.TaskSpec{{ID: "1"}}}
				taker, err := vwjob.Make(spec, 2)
				require.NoError(t, err)
				e.jobs["s"], e.recoveringJobs = &job{Job: taker, recovery: taken}, 1
			}
			e.handleRegistrations(waiting, vwstate.View{})
			require.Len(t, e.agents, c.agents)
			require.False(t, taken.recordsLost)
			require.True(t, taken.pending["i"])
		})
	}
}
