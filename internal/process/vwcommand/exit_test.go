package vwcommand

import (
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"vanillawind.example/vanillawind/internal/process/vwloadtest"
	"vanillawind.example/vanillawind/internal/process/vwsettings"
	"vanillawind.example/vanillawind/internal/version/vwrule"
)

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
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, ExitCode(c.err))
			require.Equal(t, c.want == ExitUsage, IsErrUsage(c.err))
			require.Equal(t, c.want == ExitRefused, IsErrRefused(c.err))
		})
	}
}
