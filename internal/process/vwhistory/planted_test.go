package vwhistory_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwcontroltest"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// A history whose control misbehaves must be reported, or the checks would prove nothing.
func TestHistoriesFindPlantedFaults(t *testing.T) {
	cases := map[string]struct {
		fault vwcontroltest.Fault
		want  string
	}{
		"two owners":  {vwcontroltest.Fault{TwoOwners: true}, "started twice"},
		"stale lease": {vwcontroltest.Fault{StaleLease: true}, "into outage"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				found, _ := runPlantedHistory(t, seed, c.fault)
				if strings.Contains(strings.Join(found, "\n"), c.want) {
					return
				}
			}
			require.Fail(t, "no history shows the planted fault")
		})
	}
}

// Each check must report a record that breaks its promise, and nothing in one that keeps it.
func TestViolations(t *testing.T) {
	begun := time.Unix(1000, 0)
	one := start{submission: "s", task: "0", dataCentre: "Manta", worker: 1, at: begun}
	two := start{submission: "s", task: "0", dataCentre: "Manta", worker: 2, at: begun.Add(time.Second)}
	out := func(after time.Duration) []outage {
		return []outage{{dataCentre: "Manta", from: begun.Add(-after), to: begun.Add(time.Hour)}}
	}
	left := []outage{{worker: 1, from: begun.Add(-lateBound - time.Second), to: begun.Add(time.Hour)}}
	notRun := outcome{submission: "s", verdict: vwverdict.NotRun}
	cases := map[string]struct {
		starts   []start
		outcomes []outcome
		outages  []outage
		want     string
	}{
		"second start":          {starts: []start{one, two}, want: "started twice"},
		"partial answer":        {outcomes: []outcome{{submission: "s", complete: true, fault: "one result of two"}}, want: "not whole"},
		"false not run":         {starts: []start{one}, outcomes: []outcome{notRun}, want: "refused as not run"},
		"late in data centre":   {starts: []start{one}, outages: out(lateBound + time.Second), want: "into outage"},
		"late at leaving":       {starts: []start{one}, outages: left, want: "into outage"},
		"within the bound":      {starts: []start{one}, outages: out(lateBound)},
		"not run after start":   {starts: []start{one}, outcomes: []outcome{{submission: "s", verdict: vwverdict.NotRun, at: begun.Add(time.Second)}, {submission: "s", verdict: vwverdict.Ran}}, want: "refused as not run"},
		"true not run":          {outcomes: []outcome{notRun}},
		"not run, then run":     {starts: []start{one}, outcomes: []outcome{notRun, {submission: "s", verdict: vwverdict.Ran}}},
		"same task, other jobs": {starts: []start{one, {submission: vwid.SubmissionID("r"), task: "0", dataCentre: "Manta"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			found := violations(c.starts, c.outcomes, c.outages)
			if c.want == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0], c.want)
		})
	}
}
