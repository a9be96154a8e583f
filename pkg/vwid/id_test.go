package vwid_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// An id of another version carries no time, and a second spelling of an id would make a second job.
func TestSubmissionTime(t *testing.T) {
	id := vwid.MakeSubmissionID()
	cases := map[string]struct {
		id   vwid.SubmissionID
		fine bool
	}{
		"canonical":  {id, true},
		"upper case": {vwid.SubmissionID(strings.ToUpper(string(id))), false},
		"urn":        {"urn:uuid:" + id, false},
		"braces":     {"{" + id + "}", false},
		"no dashes":  {vwid.SubmissionID(strings.ReplaceAll(string(id), "-", "")), false},
		"version 4":  {vwid.SubmissionID(uuid.NewString()), false},
		"empty":      {"", false},
		"text":       {"job-1", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := vwid.SubmissionTime(c.id)
			require.Equal(t, c.fine, err == nil, "%v", err)
		})
	}
}

// After a clock was set back, ids must carry the time of now, or control refuses them as from the future.
func TestMakeSubmissionIDAt(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_123).UTC()
	for _, want := range []time.Time{at.Add(time.Hour), at} {
		id := vwid.MakeSubmissionIDAt(want)
		got, err := vwid.SubmissionTime(id)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.NotEqual(t, id, vwid.MakeSubmissionIDAt(want))
	}
}
