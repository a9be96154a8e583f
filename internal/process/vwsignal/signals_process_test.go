package vwsignal

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// signalledVariable makes the test binary run the process of TestInterruptWhileTerminationIsHandled.
const signalledVariable = "VANILLAWIND_TEST_SIGNALLED"

// runSignalled gets SIGTERM, and SIGINT while that is handled. It ends by itself only if the interrupt has no effect.
func runSignalled() {
	ctx := Receive(context.Background())
	FromContext(ctx).Handle(func(received os.Signal) {
		if received == syscall.SIGTERM {
			_ = syscall.Kill(os.Getpid(), syscall.SIGINT)
		}
	})
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-ctx.Done()
	time.Sleep(2 * time.Second)
	os.Exit(0)
}

// Guards against an interrupt that has no effect because it arrives while the first signal is handled.
func TestInterruptWhileTerminationIsHandled(t *testing.T) {
	if os.Getenv(signalledVariable) != "" {
		runSignalled()
	}
	command := exec.Command(os.Args[0], "-test.run", t.Name())
	command.Env = append(os.Environ(), signalledVariable+"=1")
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit, "%s", output)
	require.Equal(t, syscall.SIGINT, exit.Sys().(syscall.WaitStatus).Signal(), "%s", output)
}
