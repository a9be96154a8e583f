package vwdemo_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"vanillawind.example/vanillawind/internal/process/vwdemo"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against a demo that does not end, and against its own checks failing: a job of 900 tasks must
// be answered whole, the same through another entry, and each task must start once.
func TestDemoOnce(t *testing.T) {
	var out bytes.Buffer
	command := vwdemo.Command{Config: vwdemo.DefaultConfig(), Out: &out, Once: true}
	require.NoError(t, command.Run(context.Background()), "%s", &out)
	require.Contains(t, out.String(), "recorded 901 starts")
	require.Contains(t, out.String(), "0 tasks started twice")
	// Without --json curl declares another type of body, which an entry refuses.
	require.Regexp(t, `curl -s http://127\.0\.0\.1:\d+/Requests --json `, out.String())
}

// An interrupt must end the demo gracefully, whenever it comes.
func TestDemoInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	require.Error(t, vwdemo.Command{Config: vwdemo.DefaultConfig(), Out: &out}.Run(ctx))
}
