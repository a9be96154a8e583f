package vwentry

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwlink"
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/internal/process/vwdispatch"
	"vanillawind.example/vanillawind/internal/version/vwlease"
	"vanillawind.example/vanillawind/pkg/vwid"
)

// BenchmarkRelay measures one round of lease renewals by 90 agents at an entry: decoding the request, relaying
// the lease and encoding the reply, without the network.
func BenchmarkRelay(b *testing.B) {
	const agents = 90
	for name, c := range map[string]struct {
		entries int
		held    bool
	}{"8": {8, false}, "24": {24, false}, "24,held": {24, true}} {
		b.Run("entries="+name, func(b *testing.B) {
			e := makeLeased(b, c.entries)
			var digest uint64
			if c.held {
				digest = e.entries.Digest
			}
			var requests []vwmessage.Envelope
			for range agents {
				incarnation := vwid.Incarnation(uuid.NewString())
				e.agents[incarnation] = &agentState{Worker: vwdispatch.Worker{Incarnation: incarnation}}
				envelope, err := vwmessage.Seal(&vwmessage.LeaseRequest{Incarnation: incarnation, Held: 1, EntriesDigest: digest}, 1, false)
				require.NoError(b, err)
				requests = append(requests, envelope)
			}
			bytes := 0
			reply := func(body vwmessage.Body, err error) {
				require.NoError(b, err)
				envelope, err := vwmessage.Seal(body, 1, true)
				require.NoError(b, err)
				frame, err := vwlink.AppendFrame(nil, &envelope)
				require.NoError(b, err)
				bytes += len(frame)
			}
			b.ReportAllocs()
			rounds := 0
			for b.Loop() {
				rounds++
				for i := range requests {
					body, err := vwmessage.Open(requests[i])
					require.NoError(b, err)
					request, ok := body.(*vwmessage.LeaseRequest)
					require.True(b, ok)
					e.relayLease(request, reply)
				}
			}
			b.ReportMetric(float64(bytes)/float64(rounds)/agents, "reply-B/agent")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds)/agents, "ns/agent")
		})
	}
}

// makeLeased returns an entry that is not started and holds a lease of one hour with a list of count entries.
func makeLeased(b *testing.B, count int) *Entry {
	e := Make(DefaultSettings(), "i", vwcontroltest.Make(time.Millisecond).Client(), nil, slog.New(slog.DiscardHandler))
	b.Cleanup(func() { require.NoError(b, e.group.Stop()) })
	e.holder = vwlease.Make(time.Hour, renewInterval)
	reply := &vwmessage.LeaseReply{Version: 1, RemainingMilliseconds: time.Hour.Milliseconds(), Rules: []byte("# x\n")}
	for i := range count {
		reply.Entries = append(reply.Entries, vwmessage.EntryAddress{
			Incarnation: vwid.Incarnation(uuid.NewString()), Process: vwid.Process(fmt.Sprintf("entry-%02d", i)),
			DataCentre: "centre-1", Address: "192.0.2.100:4433",
		})
	}
	reply.EntriesDigest = vwmessage.MakeEntryList(reply.Entries, nil).Digest
	e.handleLeaseReply(vwlease.Request{Sent: time.Now()}, reply)
	require.True(b, e.holder.IsFresh(time.Now()))
	return e
}
