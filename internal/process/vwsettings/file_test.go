package vwsettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const examples = "../../../examples/settings"

func readExample(t testing.TB, role vwstate.Role) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(examples, strings.ToLower(string(role))+".toml"))
	require.NoError(t, err)
	return string(text)
}

// An example that lacks a key or shows another value would hide a default from operators.
func TestExamplesShowAllDefaults(t *testing.T) {
	for _, role := range roles {
		t.Run(string(role), func(t *testing.T) {
			text := readExample(t, role)
			s, err := Parse("example.toml", []byte(text))
			require.NoError(t, err)
			f := settingsFile{text: []byte(text), lines: map[string]int{}}
			require.NoError(t, f.index())
			defaults := Defaults(role)
			want := keysOf(&defaults)
			for i, got := range keysOf(&s) {
				_, shown := f.lines[got.path]
				require.Equal(t, got.has(role), shown, got.path)
				if !want[i].isUnset() || !got.mustSet(role) {
					require.Equal(t, want[i].value.Interface(), got.value.Interface(), got.path)
				}
			}
		})
	}
}

// Each fault must name its key and line, and none may hide another.
func TestParseFaults(t *testing.T) {
	entry, agent, control := readExample(t, vwstate.RoleEntry), readExample(t, vwstate.RoleAgent), readExample(t, vwstate.RoleControl)
	cases := map[string]string{
		"nothing":        "",
		"unknown_role":   strings.Replace(entry, `"Entry"`, `"Entrance"`, 1),
		"only_role":      `Role = "Agent"`,
		"syntax":         "Role = \"Entry\"\nCluster = example\n",
		"wrong_type":     strings.Replace(entry, "TasksPerJob = 1000", `TasksPerJob = "many"`, 1),
		"wrong_duration": strings.Replace(entry, `Lease = "2s"`, `Lease = "2"`, 1),
		"wrong_bytes":    strings.Replace(entry, `"8MiB"`, `"8MB"`, 1),
		"duplicate":      entry + "Level = \"Info\"\n",
		"unknown_keys":   strings.Replace(entry, "Renewal", "renewal", 1) + "Colour = \"red\"\n[Limit]\n",
		"other_role":     agent + "[Timeouts.Election]\n",
		"keys_of_entry":  strings.Replace(agent, "[Addresses]", "[Addresses]\nLink = \"10.0.0.1:1\"\nCallers = \"0.0.0.0:7300\"", 1),
		"addresses": strings.NewReplacer("0.0.0.0:7300", "127.0.0.1:7301", "10.1.0.12:7302", "0.0.0.0:7302",
			"10.2.0.11:7302", "10.2.0.11", "10.3.0.11:7302", "10.3.0.11:0").Replace(entry),
		"members":           strings.Replace(control, "10.1.0.11:7302\", ", "10.2.0.11:7302\", ", 1),
		"member_no_data":    strings.Replace(entry, "10.1.0.12", "10.1.0.11", 1),
		"too_many_members":  strings.Replace(entry, `ControlMembers = [`, `ControlMembers = ["a:1", "b:1", "c:1", "d:1", "e:1", `, 1),
		"limits":            strings.NewReplacer("2000000", "10", `"8MiB"`, `"9MiB"`, `"1GiB"`, `"1MiB"`, "= 10000", "= 0").Replace(entry),
		"slots":             strings.Replace(agent, "BackendConnections = 64", "BackendConnections = 4", 1),
		"timeouts":          strings.NewReplacer(`"2s"`, `"3s"`, `"500ms"`, `"1600ms"`, `"4s"`, `"2s"`, `"1s"`, `"450ms"`).Replace(control),
		"election_too_long": strings.Replace(control, `Election = "1s"`, `Election = "2s"`, 1),
		"names":             strings.NewReplacer(`"example"`, `"an example"`, `"north"`, `"nörth"`).Replace(entry),
		"log_level":         strings.Replace(entry, `"Info"`, `"info"`, 1),
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/faults"))
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("x.toml", []byte(text))
			require.True(t, IsErrSettings(err), "%v", err)
			lines := make([]string, 0, len(FaultsOf(err)))
			for _, fault := range FaultsOf(err) {
				lines = append(lines, fault.String())
			}
			golden.Assert(t, name, []byte(strings.Join(lines, "\n")+"\n"))
		})
	}
}

// A process must find its files whatever directory it is started in.
func TestLoadResolvesPaths(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.toml")
	text := strings.Replace(readExample(t, vwstate.RoleControl), `"keys/authority.pem"`, `"/keys/authority.pem"`, 1)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, filepath.Join(filepath.Dir(path), "data"), s.DataDirectory)
	require.Equal(t, "/keys/authority.pem", s.Keys.Authority)
	require.Empty(t, s.Log.EventFile)
	require.True(t, s.IsControlMember())
	_, err = Load(path + ".missing")
	require.Error(t, err)
	require.False(t, IsErrSettings(err))
}

// Parse must not panic, and must accept only settings that Check accepts.
func FuzzParse(f *testing.F) {
	for _, role := range roles {
		f.Add([]byte(readExample(f, role)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("x.toml", text)
		if err != nil {
			require.NotEmpty(t, FaultsOf(err))
			return
		}
		require.NoError(t, Check(s))
	})
}

// The operators' page must list each key with the default in the code.
func TestDocument(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operator/settings.md")
	require.NoError(t, err)
	for _, role := range roles {
		defaults := Defaults(role)
		for _, k := range keysOf(&defaults) {
			if !k.has(role) {
				continue
			}
			_, row, listed := strings.Cut(string(page), "| `"+k.path+"` | ")
			require.True(t, listed, k.path)
			cells := strings.SplitN(row, "|", 3)
			require.True(t, strings.Contains(cells[0], "all") || strings.Contains(cells[0], string(role)), k.path)
			if !k.isUnset() && k.path != "Role" {
				require.Equal(t, fmt.Sprint(k.value.Interface()), strings.Trim(cells[1], ` "`), k.path)
			}
		}
	}
}
