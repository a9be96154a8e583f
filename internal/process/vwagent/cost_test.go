package vwagent_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwbackend"
	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwlinktest"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwagent"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwgroup"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// traffic counts the messages and bytes of links in both directions.
type traffic struct{ messages, bytes atomic.Int64 }

func (c *traffic) count(envelope *vwmessage.Envelope) {
	frame, _ := vwlink.AppendFrame(nil, envelope)
	c.messages.Add(1)
	c.bytes.Add(int64(len(frame)))
}

// countingEndpoint counts the traffic of its links.
type countingEndpoint struct {
	vwagent.Endpoint
	traffic *traffic
}

func (e countingEndpoint) Dial(ctx context.Context, address string) (vwlink.Conn, error) {
	conn, err := e.Endpoint.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, e.traffic}, nil
}

type countingConn struct {
	vwlink.Conn
	traffic *traffic
}

func (c countingConn) Send(ctx context.Context, envelope vwmessage.Envelope) error {
	c.traffic.count(&envelope)
	return c.Conn.Send(ctx, envelope)
}

func (c countingConn) Receive(ctx context.Context) (vwmessage.Envelope, error) {
	envelope, err := c.Conn.Receive(ctx)
	if err == nil {
		c.traffic.count(&envelope)
	}
	return envelope, err
}

// Guards against idle traffic above the target of 21 KB a second for a daemon's control-plane work on eight
// links, also when lease replies list many more entries than the agent has links.
func TestIdleTraffic(t *testing.T) {
	for _, named := range []int{8, 24, 64} {
		t.Run(fmt.Sprint(named), func(t *testing.T) { checkIdleTraffic(t, named) })
	}
}

func checkIdleTraffic(t *testing.T, named int) {
	const links, seconds = 8, 60
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			network: vwlinktest.MakeNetwork(time.Millisecond), backend: &fakeBackend{},
			entries: vwgroup.Make(t.Context()), process: vwgroup.Make(t.Context()), ended: make(chan error, 1),
		}
		settings := vwagent.Settings{Cluster: "c", Process: "agent", DataCentre: "a"}
		var addresses []vwmessage.EntryAddress
		var entries []*fakeEntry
		for i := range named {
			e := f.addEntry(fmt.Sprintf("192.0.2.%d:4433", i))
			entries = append(entries, e)
			if i < links {
				settings.Entries = append(settings.Entries, e.address)
			}
			addresses = append(addresses, vwmessage.EntryAddress{
				Incarnation: e.incarnation, Process: vwid.Process(fmt.Sprint("entry-", i)), DataCentre: "a", Address: e.address,
			})
		}
		for _, e := range entries {
			e.lease.Entries = addresses
		}
		var sum traffic
		agent, err := vwagent.Make(vwagent.Options{
			Settings: settings, Backend: f.backend, MakeLease: vwagent.MakeConfigLease,
			MakeEndpoint: func(hello vwmessage.Hello) (vwagent.Endpoint, error) {
				return countingEndpoint{f.network.MakeEndpoint("agent", hello), &sum}, nil
			},
		})
		require.NoError(t, err)
		f.agent = agent
		f.process.Run(func(ctx context.Context) { f.ended <- agent.Run(ctx) })
		f.startAnnouncing(t)
		advance(5 * time.Second)
		messages, bytes := sum.messages.Load(), sum.bytes.Load()
		advance(seconds * time.Second)
		perLink := func(total int64) float64 { return float64(total) / links / seconds }
		messagesPerLink, bytesPerLink := perLink(sum.messages.Load()-messages), perLink(sum.bytes.Load()-bytes)
		t.Logf("an idle link takes %.1f messages and %.0f bytes a second", messagesPerLink, bytesPerLink)
		require.Less(t, bytesPerLink*links, 21_000.0)
		f.close(t)
	})
}

// benchConn is a link end without a network: the benchmark sends starts through in and counts the results.
type benchConn struct {
	in      chan vwmessage.Envelope
	results chan struct{}
	credits chan int
	done    chan struct{}
}

func (c *benchConn) Peer() vwlink.Peer {
	return vwlink.Peer{Process: "e1", Incarnation: "e1-1", Role: string(vwstate.RoleEntry), DataCentre: "a"}
}

func (c *benchConn) Send(_ context.Context, envelope vwmessage.Envelope) error {
	var answer vwmessage.Body
	switch envelope.Kind {
	case vwmessage.KindResult:
		c.results <- struct{}{}
	case vwmessage.KindCredit:
		var credit vwmessage.Credit
		if _, err := credit.UnmarshalMsg(envelope.Body); err != nil {
			return err
		}
		c.credits <- credit.Count
	case vwmessage.KindRegister:
		outcome := vwstate.Outcome{}
		encoded, _ := outcome.MarshalMsg(nil)
		answer = &vwmessage.Outcome{Outcome: encoded}
	case vwmessage.KindLeaseRequest:
		answer = &vwmessage.LeaseReply{Version: 1, RemainingMilliseconds: 2000}
	}
	if answer != nil {
		reply, err := vwmessage.Seal(answer, envelope.Call, true)
		if err != nil {
			return err
		}
		c.in <- reply
	}
	return nil
}

func (c *benchConn) Receive(context.Context) (vwmessage.Envelope, error) {
	select {
	case envelope := <-c.in:
		return envelope, nil
	case <-c.done:
		return vwmessage.Envelope{}, vwlink.ErrClosed
	}
}

func (c *benchConn) Close() error { return nil }

type benchEndpoint struct{ conn *benchConn }

func (e benchEndpoint) Dial(ctx context.Context, _ string) (vwlink.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return e.conn, nil
}

func (e benchEndpoint) Close() error { return nil }

// instantBackend answers at once.
type instantBackend struct{}

func (instantBackend) Run(context.Context, vwbackend.Task) ([]byte, error) {
	return []byte(`{"Result":1}`), nil
}

// BenchmarkTask measures a task through the agent, from the encoded start to the encoded result, including its
// share of credits and acknowledgements and excluding the network and the backend server.
func BenchmarkTask(b *testing.B) {
	conn := &benchConn{
		in: make(chan vwmessage.Envelope, 1024), results: make(chan struct{}, 1024), credits: make(chan int, 1024), done: make(chan struct{}),
	}
	agent, err := vwagent.Make(vwagent.Options{
		Settings:     vwagent.Settings{Cluster: "c", Process: "agent", DataCentre: "a", Entries: []string{"e1"}},
		Backend:      instantBackend{},
		MakeLease:    vwagent.MakeConfigLease,
		MakeEndpoint: func(vwmessage.Hello) (vwagent.Endpoint, error) { return benchEndpoint{conn}, nil },
	})
	require.NoError(b, err)
	group := vwgroup.Make(b.Context())
	group.Go(agent.Run)
	group.Run(func(ctx context.Context) { keepAnnouncing(ctx, agent) })
	b.ReportAllocs()
	driveTasks(b, conn)
	close(conn.done)
	require.NoError(b, group.Stop())
}

// driveTasks sends one start for each credit, in jobs of 900 tasks, until b.N results have arrived.
func driveTasks(b *testing.B, conn *benchConn) {
	payload := make([]byte, 200)
	demand := &vwmessage.Demand{Service: "pedidos", Teams: []vwmessage.TeamDemand{{Team: "t", Waiting: 1000}}}
	var id, previous vwid.SubmissionID
	started := false
	for sent, done := 0, 0; done < b.N; {
		select {
		case count := <-conn.credits:
			if !started {
				started = true
				b.ResetTimer()
			}
			for range min(count, b.N-sent) {
				if sent%100 == 0 {
					conn.put(b, demand)
				}
				if sent%900 == 0 {
					// All results of the previous job have arrived; those of the current one may not have.
					if previous != "" {
						conn.put(b, &vwmessage.Acknowledge{SubmissionID: previous, Epoch: 1})
					}
					previous, id = id, vwid.MakeSubmissionID()
				}
				conn.put(b, &vwmessage.Start{SubmissionID: id, Epoch: 1, Service: "pedidos", Team: "t", Tasks: []vwmessage.StartTask{
					{TaskID: vwid.TaskID(fmt.Sprint(sent)), Payload: payload},
				}})
				sent++
			}
		case <-conn.results:
			done++
		}
	}
	b.StopTimer()
}

func (c *benchConn) put(b *testing.B, body vwmessage.Body) {
	envelope, err := vwmessage.Seal(body, 0, false)
	require.NoError(b, err)
	c.in <- envelope
}
