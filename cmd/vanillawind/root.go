package main

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

// commands are the constructors of all subcommands of the root command.
var commands = []func() *cobra.Command{
	makeAgent,
	makeControl,
	makeDemo,
	makeEntry,
	makeKeys,
	makeLoadTest,
	makeRules,
	makeSettings,
	makeStandIn,
	makeTimeline,
}

const rootHelp = `vanillawind dispatches sub-second tasks where capacity is fixed and demand is bursty.

Every accepted request gets a complete answer or a truthful refusal, no work is done twice, and paid
capacity does useful work. One binary holds the three server roles and the operators' tools.

Commands write text for people, and one JSON document with --json.

Exit codes:
  0  fine
  1  failed, for example because a file or a server could not be reached
  2  wrong usage of the command line
  3  input was refused and nothing has changed, or a load test found a broken promise`

// execute runs one command line. An error before the command itself runs is one of usage.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	started := false
	root := makeRoot()
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil && !started {
		return vwcommand.ErrUsage{Err: err}
	}
	return err
}

func makeRoot() *cobra.Command {
	root := makeGroup("vanillawind", "Dispatch sub-second tasks", rootHelp)
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.PersistentFlags().Bool("json", false, "write one JSON document instead of text")
	for _, construct := range commands {
		root.AddCommand(construct())
	}
	return root
}

// makeGroup returns a command that only holds others. Without one of them it shows its help.
func makeGroup(use, short, long string, subcommands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	group.AddCommand(subcommands...)
	return group
}

// outputOf returns where and how a command writes its result.
func outputOf(cmd *cobra.Command) vwcommand.Output {
	asJSON, _ := cmd.Flags().GetBool("json")
	return vwcommand.Output{Writer: cmd.OutOrStdout(), JSON: asJSON}
}
