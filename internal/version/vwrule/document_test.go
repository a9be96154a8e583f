package vwrule

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Operators copy from the page, so its examples must be accepted and its tables complete.
func TestDocument(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operator/rules.md")
	require.NoError(t, err)
	blocks := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	require.Len(t, blocks, 5)
	for _, block := range blocks {
		_, err := Parse("rules.md", []byte(block[1]))
		require.NoError(t, err)
	}
	for _, f := range fields {
		require.Contains(t, string(page), "| `"+string(f.kind)+"` | `"+f.name+"` |")
	}
	for _, k := range kinds {
		require.True(t, k.isPolicy() || strings.Contains(string(page), "| `"+string(k)+"."), k)
	}
}

// A suggestion that is refused itself would send operators in circles.
func TestSuggestedExamplesAreAccepted(t *testing.T) {
	const names = "Service.Service = {} # x\nTeam.Team = {} # x\nDataCentre.Name = {} # x\n"
	for _, k := range kinds {
		text := names + k.example()
		if k == KindDataCentre {
			text = k.example()
		}
		_, err := Parse(string(k), []byte(text))
		require.NoError(t, err)
	}
	for _, f := range fields {
		line := string(f.kind) + ".All.All = { " + f.name + " = " + f.example + " } # x"
		if f.kind.isDetail() {
			line = strings.Replace(f.kind.example(), "{ ", "{ "+f.name+" = "+f.example+", ", 1)
			line = strings.Replace(line, ", "+f.name+" = "+f.example, "", 1)
		}
		_, err := Parse(f.name, []byte(names+line))
		require.NoError(t, err)
	}
}
