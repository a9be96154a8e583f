package vwrule

import (
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// declared is the beginning of files whose rules use names.
const declared = `Service.muotoilu = {} # Aino Salo
Team.gradu = {} # Aino Salo
Team.kurssit = {} # Aino Salo
DataCentre.keskus = {} # Onni Laine
DataCentre.satama = {} # Onni Laine
`

// Each fault must be reported with its position and a remedy, and none may hide another.
func TestParseFaults(t *testing.T) {
	cases := map[string]string{
		"several_at_once": declared + "Share.muotoilu.grado = { Weight = 0 }\nQuota.muotoilu.gradu = {} # x\n" +
			"Limit.muotoilu.gradu = { Rate = 0, Speed = 1, InFlight = \"many\" } # x\nShrae.a = {} # x\n",
		"syntax":               "Team.gradu = { # Aino\nShare.muotoilu.gradu = { Weight = 2, Weight = 3 } # x\n[Share]\nTeam.b = 3 # x\n= 1\n",
		"unknown_names":        declared + "Share.muotoilo.gradu = { Weight = 1 } # x\nOut.satam = {} # x\nQuota.muotoilu.zzzzzz = { Slots = 1 } # x\n",
		"nothing_declared":     "Out.keskus = {} # x\nShare.muotoilu.gradu = { Weight = 1 } # x\n",
		"duplicate":            declared + "Out.keskus = {} # x\nOut.keskus = {} # y\nTeam.gradu = {} # z\n",
		"contradictory":        declared + "Deadline.muotoilu.All = { Maximum = \"1s\" } # x\nDeadline.muotoilu.gradu = { Default = \"2s\" } # x\n",
		"quota_over_in_flight": declared + "Quota.muotoilu.gradu = { Slots = 40 } # x\nLimit.muotoilu.All = { InFlight = 20 } # x\n",
		"impossible": declared + "Priority.All.All = { Level = 10 } # x\nDeadline.All.All = { Maximum = \"1h\" } # x\n" +
			"Limit.All.All = { QueueBytes = \"64MB\", QueueLength = 1.5 } # x\nRetryBudget.All.All = { Ratio = nan, PerSecond = -1 } # x\n",
		"key_shape":            declared + "Share.muotoilu = { Weight = 1 } # x\nShare.All.gradu = { Weight = 1 } # x\nTeam.All = {} # x\nOut.All = {} # x\nTeam.\"a b\" = {} # x\n",
		"column_in_characters": "DataCentre.x = {} # Päivi\n\"Päivi\".x = {} # x\nTeam.x = { Ä = 1 }\nTeam.\"ääkkönen\" = {} #\n",
		"not_utf_8":            "Team.gradu = {} # \xff\n",
		"carriage_return":      "Team.gradu = {} # Aino\r",
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/faults"))
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			rules, err := Parse("rules.toml", []byte(text))
			require.Nil(t, rules)
			require.True(t, IsErrRules(err))
			lines := make([]string, 0, len(FaultsOf(err)))
			for _, fault := range FaultsOf(err) {
				lines = append(lines, fault.String())
			}
			golden.Assert(t, name, []byte(strings.Join(lines, "\n")+"\n"))
		})
	}
}

// A text beyond the bound would be sent to every process at each change.
func TestParseRefusesOversizedText(t *testing.T) {
	_, err := Parse("rules.toml", make([]byte, MaxText+1))
	require.True(t, IsErrRules(err))
}

// Effective values must come from the most specific rule that sets the field, field by field.
func TestTeam(t *testing.T) {
	rules, err := Parse("rules.toml", []byte(declared+`
# Rules for everyone come first.
Limit.All.All = { Rate = 1000, QueueLength = 5_000 } # x
Limit.muotoilu.All = { Rate = 500 } # x
Limit.muotoilu.gradu = { QueueBytes = "1MiB" } # x
Share.muotoilu.gradu = { Weight = 3 } # x
Deadline.muotoilu.kurssit = { Maximum = "2s" } # x
Out.satama = {} # x`))
	require.NoError(t, err)
	common := DefaultPolicy()
	common.Limits.Rate, common.Limits.QueueLength = 1000, 5000
	inService := common
	inService.Limits.Rate = 500
	gradu := inService
	gradu.Limits.QueueBytes, gradu.Weight = vwunit.MiB, 3
	kurssit := inService
	kurssit.Deadlines = Deadlines{Default: 2 * time.Second, Maximum: 2 * time.Second}
	cases := map[string]struct {
		service vwid.Service
		team    vwid.Team
		want    TeamPolicy
	}{
		"team at the service":  {"muotoilu", "gradu", gradu},
		"shorter maximum":      {"muotoilu", "kurssit", kurssit},
		"unknown team":         {"muotoilu", "muu", inService},
		"unknown service":      {"muu", "gradu", common},
		"names that mean all":  {All, All, common},
		"empty names":          {"", "", common},
		"service for all team": {"muotoilu", All, inService},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, rules.Team(c.service, c.team))
		})
	}
	require.True(t, rules.IsOut("satama"))
	require.False(t, rules.IsOut("keskus"))
	require.Equal(t, []vwid.Team{"gradu", "kurssit"}, rules.Teams())
	require.Equal(t, []vwid.DataCentre{"keskus", "satama"}, rules.DataCentres())
	require.False(t, rules.AllowsTeam("muu"))
	require.True(t, rules.AllowsService("muotoilu"))
	require.Zero(t, testing.AllocsPerRun(100, func() { rules.Team("muotoilu", "gradu") }))
}

// Version 0 of the configuration has an empty text and must let every team work.
func TestEmptyTextPermitsEverything(t *testing.T) {
	rules, err := Parse("rules.toml", nil)
	require.NoError(t, err)
	require.Equal(t, Empty(), rules)
	require.True(t, rules.AllowsTeam("any") && rules.AllowsService("any") && rules.AllowsDataCentre("any"))
	require.False(t, rules.IsOut("any"))
	require.Equal(t, 1, rules.Team("any", "any").Weight)
	require.Empty(t, rules.Services())
}

// A deadline beyond control's retention would let a task outlive the record that prevents a second start.
func TestMaxDeadlineIsWithinRetention(t *testing.T) {
	require.LessOrEqual(t, MaxDeadline, vwstate.SubmissionRetention)
}

// Entries together must not admit less than the rule allows, nor turn a limit into none.
func TestPerEntry(t *testing.T) {
	policy := DefaultPolicy()
	policy.Quota, policy.Limits.InFlight, policy.Limits.Rate = 10, 2, 9
	part := policy.PerEntry(3)
	require.Equal(t, 4, part.Quota)
	require.Equal(t, 1, part.Limits.InFlight)
	require.InDelta(t, 3, part.Limits.Rate, 1e-9)
	require.Zero(t, DefaultPolicy().PerEntry(3).Quota)
	require.Equal(t, policy, policy.PerEntry(0))
}

// Parse must not panic, and an accepted text must be TOML and survive taking a data centre out and in.
func FuzzParse(f *testing.F) {
	f.Add([]byte(declared + "Out.keskus = {} # x\r\n"))
	f.Add([]byte(declared + "Limit.muotoilu.gradu = { QueueBytes = '''1MiB''', Rate = 1e3 } # x"))
	f.Add([]byte("Team.a = { A.B = [1, {}] } # x\n\"Team\".'b' = {}#y\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		rules, err := Parse("rules.toml", text)
		if err != nil {
			require.NotEmpty(t, FaultsOf(err))
			return
		}
		require.NoError(t, toml.Unmarshal(text, new(map[string]any)))
		require.Empty(t, Diff(rules, rules))
		checkEdits(t, text, rules)
	})
}
