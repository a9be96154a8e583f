package vwrule

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// checkEdits takes each data centre out and brings it in again and requires every other byte to stay.
func checkEdits(t *testing.T, text []byte, rules *Rules) {
	t.Helper()
	for _, dataCentre := range rules.DataCentres() {
		if rules.IsOut(dataCentre) || len(text) > int(MaxText)/2 {
			continue
		}
		out, err := TakeOut(text, dataCentre, "Onni Laine")
		require.NoError(t, err)
		require.True(t, bytes.HasPrefix(out, text))
		changed, err := Parse("rules.toml", out)
		require.NoError(t, err)
		require.True(t, changed.IsOut(dataCentre))
		require.Equal(t, []string{"+ Out." + string(dataCentre) + " = {} # Onni Laine"}, Diff(rules, changed))
		in, err := BringIn(out, dataCentre)
		require.NoError(t, err)
		require.Equal(t, string(text), string(in[:len(text)]))
		require.Empty(t, strings.TrimSpace(string(in[len(text):])))
	}
}

// An edit must change one line only, whatever the line endings and whether the last line ends.
func TestEdits(t *testing.T) {
	cases := map[string]string{
		"line feeds":          declared,
		"carriage returns":    strings.ReplaceAll(declared, "\n", "\r\n"),
		"last line not ended": strings.TrimSuffix(declared, "\n"),
		"other is out":        "DataCentre.a = {} # x\n  Out.a   = {  }# x\n\n# end\nDataCentre.b = {} # x\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			rules, err := Parse("rules.toml", []byte(text))
			require.NoError(t, err)
			checkEdits(t, []byte(text), rules)
		})
	}
}

// A repeated command must not add a second line or remove another one.
func TestEditsAreIdempotent(t *testing.T) {
	out, err := TakeOut([]byte(declared), "satama", "Onni Laine")
	require.NoError(t, err)
	again, err := TakeOut(out, "satama", "Aino Salo")
	require.NoError(t, err)
	require.Equal(t, out, again)
	in, err := BringIn([]byte(declared), "satama")
	require.NoError(t, err)
	require.Equal(t, declared, string(in))
}

// An edit that cannot be made must not return a text.
func TestEditsRefuse(t *testing.T) {
	_, err := TakeOut([]byte(declared), "satama", "Onni\nLaine")
	require.True(t, trace.IsBadParameter(err))
	_, err = TakeOut([]byte(declared), "satama", " ")
	require.True(t, trace.IsBadParameter(err))
	_, err = TakeOut([]byte(declared), "satma", "Onni Laine")
	require.True(t, trace.IsNotFound(err))
	_, err = BringIn([]byte("Out.x"), "x")
	require.True(t, IsErrRules(err))
}

// Operators review this text before they apply a change.
func TestDiff(t *testing.T) {
	older, err := Parse("old.toml", []byte(declared+`Share.muotoilu.gradu = { Weight = 1 } # Aino Salo
Limit.muotoilu.All = { Rate = 5, InFlight = 9 } # Aino Salo
Priority.muotoilu.gradu = { Level = 6 } # Aino Salo
Out.satama = {} # Onni Laine
`))
	require.NoError(t, err)
	newer, err := Parse("new.toml", []byte(`Limit.muotoilu.All = { InFlight = 9, Rate = 5 } # Aino Salo
Share.muotoilu.gradu = { Weight = 2 } # Onni Laine
Priority.muotoilu.gradu = { Level = 6 } # the board
Deadline.All.All = { Maximum = "10s" } # Aino Salo
`+declared))
	require.NoError(t, err)
	goldie.New(t).Assert(t, "diff", []byte(strings.Join(Diff(older, newer), "\n")+"\n"))
}
