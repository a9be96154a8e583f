package vwmessage_test

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func makeIncarnation() vwid.Incarnation {
	return vwid.Incarnation(uuid.NewString())
}

func makeEntries(count int) []vwmessage.EntryAddress {
	var entries []vwmessage.EntryAddress
	for i := range count {
		entries = append(entries, vwmessage.EntryAddress{
			Incarnation: makeIncarnation(), Process: vwid.Process(fmt.Sprintf("entry-%02d", i)), DataCentre: "centre-1", Address: "192.0.2.100:4433",
		})
	}
	return entries
}

// makeRules returns rules of 8 data centres and 33 teams with a share and a quota each.
func makeRules(b *testing.B) []byte {
	text := []byte("Service.muotoilu = {} # Aino Salo, board\n")
	for i := range 8 {
		text = fmt.Appendf(text, "DataCentre.centre-%d = {} # Aino Salo, board\n", i)
	}
	for i := range 33 {
		text = fmt.Appendf(text, "Team.team-%d = {} # Aino Salo, board\n", i)
		text = fmt.Appendf(text, "Share.muotoilu.team-%d = { Weight = 2 } # Onni Laine, operations\n", i)
		text = fmt.Appendf(text, "Quota.muotoilu.team-%d = { Slots = 100 } # Onni Laine, operations\n", i)
	}
	_, err := vwrule.Parse("rules.toml", text)
	require.NoError(b, err)
	return text
}

// BenchmarkSize measures the encoded size of messages, with their envelope, and the time to encode them.
func BenchmarkSize(b *testing.B) {
	id := vwid.MakeSubmissionID()
	teams := func(count int) []vwmessage.TeamDemand {
		var all []vwmessage.TeamDemand
		for i := range count {
			all = append(all, vwmessage.TeamDemand{Team: vwid.Team(fmt.Sprintf("team-%02d", i)), Waiting: 900, OldestMilliseconds: 250})
		}
		return all
	}
	relayed := func(count int) []vwid.Incarnation {
		var all []vwid.Incarnation
		for range count {
			all = append(all, makeIncarnation())
		}
		return all
	}
	reply := func(entries int, rules []byte) *vwmessage.LeaseReply {
		return &vwmessage.LeaseReply{Version: 400_000, RemainingMilliseconds: 1999, Rules: rules, Entries: makeEntries(entries)}
	}
	bodies := []struct {
		name string
		body vwmessage.Body
	}{
		{"Ping", &vwmessage.Ping{}},
		{"Start/payload=0", &vwmessage.Start{SubmissionID: id, Epoch: 1, Service: "muotoilu", Team: "team-01", Tasks: []vwmessage.StartTask{{TaskID: "task-100", TimeoutMilliseconds: 1000}}}},
		{"Result/payload=0", &vwmessage.Result{SubmissionID: id, Epoch: 1, TaskID: "task-100", RunMicroseconds: 250_000}},
		{"Credit", &vwmessage.Credit{Service: "muotoilu", Count: 1}},
		{"Demand/teams=1", &vwmessage.Demand{Service: "muotoilu", Teams: teams(1)}},
		{"Demand/teams=33", &vwmessage.Demand{Service: "muotoilu", Teams: teams(33)}},
		{"Acknowledge", &vwmessage.Acknowledge{SubmissionID: id, Epoch: 1}},
		{"LeaseRequest/agent", &vwmessage.LeaseRequest{Incarnation: makeIncarnation(), Held: 400_000}},
		{"LeaseRequest/relayed=90", &vwmessage.LeaseRequest{Incarnation: makeIncarnation(), Held: 400_000, Relayed: relayed(90)}},
		{"LeaseRequest/relayed=730", &vwmessage.LeaseRequest{Incarnation: makeIncarnation(), Held: 400_000, Relayed: relayed(730)}},
		{"LeaseReply/entries=0", reply(0, nil)},
		{"LeaseReply/entries=8", reply(8, nil)},
		{"LeaseReply/entries=24", reply(24, nil)},
		{"LeaseReply/entries=8,rules", reply(8, makeRules(b))},
		{"LeaseReply/entries=24,rules", reply(24, makeRules(b))},
	}
	for _, c := range bodies {
		b.Run(c.name, func(b *testing.B) {
			var size int
			for b.Loop() {
				envelope, err := vwmessage.Seal(c.body, 1000, false)
				require.NoError(b, err)
				data, err := envelope.MarshalMsg(nil)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}
