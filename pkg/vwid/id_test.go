package vwid_test

import (
	"strings"
	"testing"

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
