package vwevent

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A crash tears the last line and a disk may damage others; the rest must still be read.
func TestReadSkipsDamage(t *testing.T) {
	good := `{"Time":"2026-01-01T00:00:00Z","Kind":"LeaseGained","Process":"p","Incarnation":"i","Sequence":1}`
	cases := map[string]struct {
		text   string
		events int
		fault  string
	}{
		"empty":           {},
		"whole":           {text: good + "\n" + good + "\n", events: 2},
		"no last newline": {text: good, events: 1},
		"torn":            {text: good + "\n" + good[:40], events: 1, fault: "line 2: not an event"},
		"damaged middle":  {text: good + "\n\x00\x00\n\n" + good + "\n", events: 2, fault: "line 2"},
		"unknown kind":    {text: strings.Replace(good, "LeaseGained", "Other", 1), fault: "unknown kind"},
		"no task":         {text: strings.Replace(good, `LeaseGained"`, `TaskSent","SubmissionID":"s"`, 1), fault: "without a task"},
		"no process":      {text: strings.Replace(good, `"Process":"p",`, "", 1), fault: "without process"},
		"long line":       {text: strings.Repeat("x", maxLine+1) + "\n" + good, events: 1, fault: "longer than"},
		"long last line":  {text: good + "\n" + strings.Repeat("x", maxLine+1), events: 1, fault: "line 2"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			events, faults, err := Read(strings.NewReader(test.text))
			require.NoError(t, err)
			require.Len(t, events, test.events)
			if test.fault == "" {
				require.Empty(t, faults)
				return
			}
			require.Len(t, faults, 1)
			require.Contains(t, faults[0].String(), test.fault)
		})
	}
}

// Whatever a file holds, reading and merging must not panic, and causes must precede effects.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		events, _, err := Read(bytes.NewReader(text))
		require.NoError(t, err)
		for _, event := range events {
			require.NoError(t, event.Check())
		}
		timeline := Merge(events)
		require.Len(t, timeline.Entries, len(events))
		if timeline.Contradictions == 0 {
			requireCausal(t, timeline)
		}
	})
}

// requireCausal fails when an entry precedes its cause or an earlier event of its process.
func requireCausal(t require.TestingT, timeline Timeline) {
	for index, entry := range timeline.Entries {
		require.Less(t, entry.Cause, index, "%s of %s/%s", entry.Kind, entry.SubmissionID, entry.TaskID)
	}
}
