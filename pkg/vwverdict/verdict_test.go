package vwverdict_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func ExampleOf() {
	err := trace.Wrap(vwverdict.Errorf(vwverdict.NotRun, "queue is full"))
	fmt.Println(vwverdict.Of(err))
	fmt.Println(vwverdict.Of(errors.New("connection reset")))
	// Output:
	// NotRun
	// MayHaveRun
}

// An unmarked or mixed verdict must never permit a retry.
func TestJoin(t *testing.T) {
	cases := map[string]struct{ a, b, want vwverdict.Verdict }{
		"both not run":      {vwverdict.NotRun, vwverdict.NotRun, vwverdict.NotRun},
		"both ran":          {vwverdict.Ran, vwverdict.Ran, vwverdict.Ran},
		"one ran":           {vwverdict.NotRun, vwverdict.Ran, vwverdict.MayHaveRun},
		"one is not known":  {vwverdict.MayHaveRun, vwverdict.Ran, vwverdict.MayHaveRun},
		"unknown and unrun": {vwverdict.NotRun, vwverdict.MayHaveRun, vwverdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.a.Join(c.b))
			require.Equal(t, c.want, c.b.Join(c.a))
		})
	}
}

// A text that repeats the verdict of an inner call contradicts the verdict beside it.
func TestReason(t *testing.T) {
	inner := vwverdict.Errorf(vwverdict.MayHaveRun, "no answer")
	require.Equal(t, "no answer", vwverdict.Reason(trace.Wrap(vwverdict.Wrap(vwverdict.NotRun, inner))))
	require.Equal(t, "plain", vwverdict.Reason(errors.New("plain")))
}
