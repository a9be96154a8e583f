// Command vanillawind dispatches sub-second tasks. Every role and every tool is a subcommand.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code. An interrupt or a request to terminate ends
// the command's context; a second one ends the process at once.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Without a handler the next signal takes its default effect.
	context.AfterFunc(ctx, stop)
	err := execute(ctx, args, stdout, stderr)
	if err == nil {
		return vwcommand.ExitFine
	}
	_, _ = fmt.Fprintln(stderr, "vanillawind:", vwcommand.Message(err))
	if vwcommand.IsErrUsage(err) {
		_, _ = fmt.Fprintln(stderr, "Add --help for the usage.")
	}
	return vwcommand.ExitCode(err)
}
