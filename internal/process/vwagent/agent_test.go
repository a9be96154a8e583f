package vwagent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

const rulesOut = "DataCentre.a = {} # test\nOut.a = {} # test\n"

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is an agent with its network, backend server and entries.
type fixture struct {
	network   *vwlinktest.Network
	backend   *fakeBackend
	agent     *vwagent.Agent
	entries   *vwgroup.Group
	process   *vwgroup.Group
	announcer *vwgroup.Group
	ended     chan error
	hellos    []vwmessage.Hello
}

// advance lets d pass and then waits until all goroutines are blocked, so that the test may read all state.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func announcement() vwagent.Announcement {
	return vwagent.Announcement{Service: "pedidos", Address: "127.0.0.1:80", Slots: 8}
}

// withAgent runs check against an agent that announces a backend server and knows the entries e1 and e2.
func withAgent(t *testing.T, check func(t *testing.T, f *fixture, e1, e2 *fakeEntry)) {
	withOptions(t, func(*vwagent.Options) {}, check)
}

func withOptions(t *testing.T, change func(*vwagent.Options), check func(t *testing.T, f *fixture, e1, e2 *fakeEntry)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			network: vwlinktest.MakeNetwork(time.Millisecond),
			backend: &fakeBackend{runTime: 100 * time.Millisecond},
			entries: vwgroup.Make(t.Context()),
			process: vwgroup.Make(t.Context()),
			ended:   make(chan error, 1),
		}
		e1, e2 := f.addEntry("e1"), f.addEntry("e2")
		options := vwagent.Options{
			Settings: vwagent.Settings{
				Cluster: "c", Process: "agent", DataCentre: "a", Entries: []string{"e1", "e2"}, OverCommit: -1,
				// The tests start tasks without reporting demand, so every idle slot is granted at once.
				Standing: 8,
			},
			Backend:   f.backend,
			MakeLease: vwagent.MakeConfigLease,
			MakeEndpoint: func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
				f.hellos = append(f.hellos, hello)
				return f.network.MakeEndpoint("agent", hello), nil
			},
		}
		change(&options)
		agent, err := vwagent.Make(options)
		require.NoError(t, err)
		f.agent = agent
		f.process.Run(func(ctx context.Context) { f.ended <- agent.Run(ctx) })
		f.startAnnouncing(t)
		advance(time.Second)
		check(t, f, e1, e2)
		begun, found := firstDuplicate(f.backend.started())
		require.False(t, found, "task %v started twice", begun)
		f.close(t)
	})
}

// startAnnouncing announces the backend server every second until stopAnnouncing.
func (f *fixture) startAnnouncing(t *testing.T) {
	f.announcer = vwgroup.Make(t.Context())
	f.announcer.Run(func(ctx context.Context) { keepAnnouncing(ctx, f.agent) })
}

func keepAnnouncing(ctx context.Context, agent *vwagent.Agent) {
	for ctx.Err() == nil {
		_ = agent.Announce(ctx, announcement())
		timer := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

func (f *fixture) stopAnnouncing(t *testing.T) {
	require.NoError(t, f.announcer.Stop())
}

func (f *fixture) close(t *testing.T) {
	require.NoError(t, f.announcer.Stop())
	require.NoError(t, f.process.Stop())
	require.NoError(t, f.network.Close())
	require.NoError(t, f.entries.Stop())
}

// Guards against a break in the path of a task: announcement, registration, lease, credits, start and result.
func TestTaskRuns(t *testing.T) {
	withAgent(t, func(t *testing.T, _ *fixture, e1, e2 *fakeEntry) {
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits(), "not all idle slots were granted")
		require.NotEmpty(t, e1.registers)
		require.Equal(t, vwid.Service("pedidos"), e1.registers[0].Service)
		require.Equal(t, 8, e1.registers[0].Slots)
		submission := vwid.MakeSubmissionID()
		e1.start(t, submission, 1, "t1")
		advance(time.Second)
		result := e1.result(t, submission, "t1")
		require.NotNil(t, result)
		require.Equal(t, vwverdict.Ran, result.Verdict)
		require.Equal(t, "result of t1", string(result.Payload))
		require.Equal(t, int64(100_000), result.RunMicroseconds)
		require.Equal(t, 8, e1.heldCredits()+e2.heldCredits(), "the freed slot was not granted again")
	})
}
