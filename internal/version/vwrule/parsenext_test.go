package vwrule

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// routeLines returns the lines of a text with many routes, beginning with a declaration.
func routeLines(count int) []string {
	lines := []string{"Service.s = {} # test", "DataCentre.a = {} # test"}
	for number := range count {
		lines = append(lines, fmt.Sprintf("Route.r%d = { Host = \"host%d.example\", Prefix = \"/p%d/\", Service = \"s\", Timeout = \"1.5s\" } # test", number, number%7, number))
	}
	return lines
}

// requireSameRules requires equal rules. Fields hold functions, so that each rule is compared by its text and positions.
func requireSameRules(t require.TestingT, want, got *Rules) {
	require.Len(t, got.rules, len(want.rules))
	for at, r := range want.rules {
		require.Equal(t, r.String(), got.rules[at].String())
		require.Equal(t, []int{r.line, r.column}, []int{got.rules[at].line, got.rules[at].column})
		require.Equal(t, r.text, got.rules[at].text)
	}
	require.Equal(t, want.services, got.services)
	require.Equal(t, want.teams, got.teams)
	require.Equal(t, want.dataCentres, got.dataCentres)
	require.Equal(t, want.out, got.out)
	require.Equal(t, want.policies, got.policies)
	require.Equal(t, want.editions, got.editions)
	require.Equal(t, want.backends, got.backends)
	require.Equal(t, want.intake, got.intake)
	require.Equal(t, want.routes, got.routes)
}

// Guards against rules that depend on the version that was in force before, and against faults that are reported at another
// line or not at all.
func TestParseNextReturnsWhatParseReturns(t *testing.T) {
	lines := append(routeLines(12),
		"", "# a comment", "Team.gradu = {} # test", "Share.s.gradu = { Weight = 3 } # test", "Limit.s.gradu = { InFlight = 4 } # test",
		"Quota.s.gradu = { Slots = 9 } # test", "Out.a = {} # test", "Edition.x = { Number = 3 } # test", "Route.r1 = { Host = \"other.example\" } # test",
		"Out.b = {} # test", "Service.s = { # test", "Backend.s = { GuardsCapacity = true } # test", "  Service.s = {}  # test", "\xff", "Deadline.s.All = { Maximum = \"30s\" }",
	)
	rapid.Check(t, func(t *rapid.T) {
		ending := rapid.SampledFrom([]string{"\n", "\r\n"})
		draw := func(name string) []byte {
			drawn := rapid.SliceOfN(rapid.SampledFrom(lines), 0, 20).Draw(t, name)
			return []byte(strings.Join(append([]string{lines[0], lines[1]}, drawn...), ending.Draw(t, name+" ending")))
		}
		earlier, err := Parse("earlier", draw("earlier"))
		if err != nil {
			earlier, err = Parse("earlier", []byte(strings.Join(routeLines(6), "\n")))
			require.NoError(t, err)
		}
		text := draw("text")
		want, wantErr := Parse("rules", text)
		got, gotErr := ParseNext("rules", text, earlier)
		if wantErr != nil {
			require.Error(t, gotErr)
			require.Equal(t, wantErr.Error(), gotErr.Error())
			return
		}
		require.NoError(t, gotErr)
		requireSameRules(t, want, got)
	})
}

// BenchmarkParseOfOneChange measures what an entry does for a changed route of thousands, and for the whole text.
func BenchmarkParseOfOneChange(b *testing.B) {
	before := routeLines(4245)
	earlier, err := Parse("rules", []byte(strings.Join(before, "\n")))
	require.NoError(b, err)
	changed := bytes.Replace([]byte(strings.Join(before, "\n")), []byte("/p2000/"), []byte("/changed/"), 1)
	for name, known := range map[string]*Rules{"one change": earlier, "whole text": Empty()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, err := ParseNext("rules", changed, known)
				require.NoError(b, err)
			}
		})
	}
}
