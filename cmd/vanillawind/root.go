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
	makeSubmit,
	makeJob,
	makeCancel,
	makeRules,
	makeDataCentre,
	makeWorkers,
	makeStatus,
	makeSettings,
	makeStandIn,
	makePlatform,
	makeTimeline,
	makeFollow,
	makeLosses,
}

const rootHelp = `vanillawind dispatches sub-second tasks where capacity is fixed and demand is bursty.

Every accepted request gets a complete answer or a truthful refusal, no work is done twice, and paid
capacity does useful work. One binary holds the three server roles and the operators' tools.

Commands write text for people, and one JSON document with --json.

Exit codes:
  0  fine
  1  failed, for example because a file or a server could not be reached
  2  wrong usage of the command line
  3  input was refused; nothing has run or changed (verdict NotRun),
     or a load test found a broken promise
  4  a call failed and may have run, wholly or in part (verdict MayHaveRun)
  5  a call ran and failed (verdict Ran)

After 3 it is safe to try again. After 4, try again only with the same submission id and body, or with
the same change id: no task starts twice and no change is made twice.`

// execute runs one command line. An error before the command itself runs is one of usage.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	started := false
	root := makeRoot()
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		// cobra would check these after this function, and missing or contradicting flags are an error of usage.
		if err := cmd.ValidateRequiredFlags(); err != nil {
			return err
		}
		if err := cmd.ValidateFlagGroups(); err != nil {
			return err
		}
		started = true
		return nil
	}
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
