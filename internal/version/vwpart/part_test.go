package vwpart

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
)

func makeLines(count int) []string {
	lines := make([]string, 0, count)
	for number := range count {
		lines = append(lines, fmt.Sprintf("Route.r%d = { Host = \"host%d.example\", Prefix = \"/p%d/\", Service = \"s\" } # test\n", number, number*7919%1000, number*104729))
	}
	return lines
}

// fetch reads what the assembly lacks of a version and returns the text and the compressed bytes.
func fetch(t require.TestingT, library *Library, assembly *Assembly, ids []vwid.RulesPart, maxBytes int) (text []byte, size int) {
	for missing := assembly.Missing(ids); len(missing) > 0; missing = assembly.Missing(ids) {
		parts := library.Read(missing, maxBytes)
		require.NotEmpty(t, parts, "a fetch that brings nothing never ends")
		for _, part := range parts {
			size += len(part.Packed)
			require.NoError(t, assembly.Add(part))
		}
	}
	return assembly.Text(ids), size
}

// Guards against a text that differs from that of control after its transfer, whatever its lines are and whatever was held
// before.
func TestTextIsTheSameAfterTheTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[a-c]{0,3}(\n|\r\n)?`)
		library, assembly := &Library{}, MakeAssembly()
		for version := range vwid.ConfigVersion(rapid.IntRange(1, 4).Draw(t, "versions")) {
			want := []byte(strings.Join(rapid.SliceOfN(line, 0, 400).Draw(t, "lines"), ""))
			ids := library.Update(vwstate.Config{Version: version + 1, Text: want})
			got, _ := fetch(t, library, assembly, ids, rapid.IntRange(1, 5000).Draw(t, "bytes"))
			require.True(t, bytes.Equal(want, got))
			assembly.Keep(ids)
		}
	})
}

// Guards against a change of one route that costs as much as all routes.
func TestChangeCostsThePartsThatItTouches(t *testing.T) {
	changes := map[string]func(lines []string) []string{
		"one line changed": func(lines []string) []string {
			lines[2000] = "Route.changed = {} # test\n"
			return lines
		},
		"one line less": func(lines []string) []string { return append(lines[:2000], lines[2001:]...) },
		"one line more, at the start": func(lines []string) []string {
			return append([]string{"Edition.platform = { Number = 2 } # test\n"}, lines...)
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			library, assembly := &Library{}, MakeAssembly()
			lines := makeLines(4245)
			_, whole := fetch(t, library, assembly, library.Update(vwstate.Config{Version: 1, Text: []byte(strings.Join(lines, ""))}), 1<<20)
			want := strings.Join(change(lines), "")
			text, changed := fetch(t, library, assembly, library.Update(vwstate.Config{Version: 2, Text: []byte(want)}), 1<<20)
			require.Equal(t, want, string(text))
			require.Less(t, changed, whole/20)
		})
	}
}

// Guards against parts so large that one of them holds up a slow link, and so many that their ids do.
func TestSizeOfParts(t *testing.T) {
	text := strings.Join(makeLines(4245), "")
	parts := Cut([]byte(text))
	require.Less(t, len(parts)*idBytes, len(text)/100)
	for _, part := range parts {
		require.LessOrEqual(t, len(part.Text), maxPartBytes)
	}
	long := strings.Repeat("x", 2*maxPartBytes)
	require.Len(t, Cut([]byte("a\n"+long+"\nb\n")), 3, "a longer line is a part of its own")
	require.Empty(t, Cut(nil))
}

// Guards against an answer that exceeds what the fetching process asked for.
func TestAnswersAreBounded(t *testing.T) {
	library := &Library{}
	ids := library.Update(vwstate.Config{Version: 1, Text: []byte(strings.Join(makeLines(4245), ""))})
	require.Len(t, library.Read(ids, 1), 1, "one part in any case")
	size := 0
	for _, part := range library.Read(ids, 10_000) {
		size += len(part.Packed)
	}
	require.LessOrEqual(t, size, 10_000)
	require.Empty(t, library.Read([]vwid.RulesPart{"unknown"}, 10_000))
	require.False(t, library.Knows([]vwid.RulesPart{"unknown"}))
	require.True(t, library.Knows([]vwid.RulesPart{"unknown", ids[3]}))
}

// Guards against a damaged or malformed part that becomes part of the rules.
func TestForeignPartsAreRefused(t *testing.T) {
	library, assembly := &Library{}, MakeAssembly()
	ids := library.Update(vwstate.Config{Version: 1, Text: []byte("a\n")})
	part := library.Read(ids, 1)[0]
	for name, refused := range map[string]vwstate.RulesPart{
		"another id":   {ID: "another", Packed: part.Packed},
		"not packed":   {ID: part.ID, Packed: []byte("a\n")},
		"no content":   {ID: part.ID},
		"half of it":   {ID: part.ID, Packed: part.Packed[:len(part.Packed)/2]},
		"another part": {ID: part.ID, Packed: library.Read(library.Update(vwstate.Config{Version: 2, Text: []byte("b\n")}), 1)[0].Packed},
	} {
		require.Error(t, assembly.Add(refused), name)
	}
	require.Equal(t, ids, assembly.Missing(ids))
}
