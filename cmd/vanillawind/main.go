// Command vanillawind dispatches sub-second tasks. Every role and every tool is a subcommand.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/internal/process/vwsignal"
)

func main() {
	os.Exit(run(vwsignal.Receive(context.Background()), os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
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
