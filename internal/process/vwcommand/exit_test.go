package vwcommand

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwloadtest"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

func callError(verdict vwverdict.Verdict, err error) error {
	return trace.Wrap(vwverdict.Wrap(verdict, err))
}

// A script must be able to tell a refusal, which changed nothing, from a failure.
func TestExitCode(t *testing.T) {
	cases := map[string]struct {
		err  error
		want int
	}{
		"none":             {nil, ExitFine},
		"other":            {errors.New("no route"), ExitFailed},
		"usage":            {trace.Wrap(ErrUsage{Err: errors.New("unknown flag")}), ExitUsage},
		"refused":          {trace.Wrap(ErrRefused{Message: "2 faults"}), ExitRefused},
		"refused rules":    {trace.Wrap(vwrule.ErrRules{}), ExitRefused},
		"broken promise":   {trace.Wrap(vwloadtest.ErrBroken{Checks: 1}), ExitRefused},
		"refused settings": {trace.Wrap(vwsettings.ErrSettings{}), ExitRefused},
		"refused call":     {callError(vwverdict.NotRun, &vwclient.ErrRefused{Problem: &vwapi.Problem{}}), ExitRefused},
		"open refusal":     {callError(vwverdict.MayHaveRun, &vwclient.ErrRefused{Problem: &vwapi.Problem{}}), ExitMayHaveRun},
		"failed task":      {callError(vwverdict.Ran, &vwclient.ErrRefused{Problem: &vwapi.Problem{}}), ExitRan},
		"no entry":         {callError(vwverdict.NotRun, &vwclient.ErrUnanswered{Err: errors.New("refused")}), ExitFailed},
		"lost answer":      {callError(vwverdict.MayHaveRun, &vwclient.ErrUnanswered{Err: errors.New("reset")}), ExitMayHaveRun},
		"failed read":      {readError(callError(vwverdict.MayHaveRun, &vwclient.ErrUnanswered{Err: errors.New("reset")})), ExitFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, ExitCode(c.err))
			require.Equal(t, c.want == ExitUsage, IsErrUsage(c.err))
			require.Equal(t, c.want == ExitRefused, IsErrRefused(c.err))
		})
	}
}
