package vwworker

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

// An error that is read as a rejection although the order may have been carried out would let a task run twice.
func TestErrors(t *testing.T) {
	cases := map[string]struct {
		err            error
		rejected, gone bool
	}{
		"rejected":         {ErrRejected{Reason: Late}, true, false},
		"wrapped rejected": {trace.Wrap(ErrRejected{Reason: Late}), true, false},
		"gone":             {ErrGone{errors.New("refused")}, false, true},
		"wrapped gone":     {trace.Wrap(ErrGone{errors.New("refused")}), false, true},
		"other":            {errors.New("timeout"), false, false},
		"none":             {nil, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.rejected, IsRejected(c.err, Late))
			require.False(t, IsRejected(c.err, Fenced))
			require.Equal(t, c.gone, IsGone(c.err))
		})
	}
}
