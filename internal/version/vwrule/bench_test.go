package vwrule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// makeLargeText returns a file of the target size: 8 data centres, and for 33 teams a rule of every kind at
// each of four services.
func makeLargeText() []byte {
	var text []byte
	for i := range 8 {
		text = fmt.Appendf(text, "DataCentre.centre-%d = {} # Aino Salo, board\n", i)
	}
	for t := range 33 {
		text = fmt.Appendf(text, "Team.team-%d = {} # Aino Salo, board\n", t)
	}
	for s := range 4 {
		text = fmt.Appendf(text, "Service.service-%d = {} # Aino Salo, board\n", s)
		for t := range 33 {
			for _, k := range kinds {
				if k.isPolicy() {
					f := k.fields()[0]
					text = fmt.Appendf(text, "%s.service-%d.team-%d = { %s = %s } # Onni Laine, operations\n", k, s, t, f.name, f.example)
				}
			}
		}
	}
	return text
}

// A file of the target size must stay far below the bound, which counts for every process at each change.
func TestLargeTextIsAccepted(t *testing.T) {
	text := makeLargeText()
	t.Logf("%d bytes", len(text))
	require.Less(t, len(text), int(MaxText)/2)
	_, err := Parse("rules.toml", text)
	require.NoError(t, err)
}

func BenchmarkParse(b *testing.B) {
	text := makeLargeText()
	b.ReportAllocs()
	for b.Loop() {
		_, err := Parse("rules.toml", text)
		require.NoError(b, err)
	}
}

func BenchmarkTeam(b *testing.B) {
	rules, err := Parse("rules.toml", makeLargeText())
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		rules.Team(vwid.Service("service-3"), vwid.Team("team-32"))
	}
}
