package vwid_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// An id must carry the clock of its own moment, also after the clock went back.
func TestSubmissionIDFollowsTheClock(t *testing.T) {
	before := vwid.MakeSubmissionID()
	require.NotEqual(t, before, vwid.MakeSubmissionID())
	synctest.Test(t, func(t *testing.T) {
		at, err := vwid.SubmissionTime(vwid.MakeSubmissionID())
		require.NoError(t, err)
		require.Equal(t, time.Now().UTC().Truncate(time.Millisecond), at)
	})
}
