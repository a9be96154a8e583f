package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const jobHelp = `Writes the answer of a job, or that it still runs. Any entry can be asked. Answers are kept for five
minutes after the end of the job.

When the entry that owned the job was lost (OwnerLost), submit the job again with the same id and body:
another entry takes it over and no task starts twice.`

func makeJob() *cobra.Command {
	wait := false
	cmd := &cobra.Command{
		Use:     "job ID",
		Short:   "Show the answer or the state of a job",
		Long:    jobHelp,
		Example: "  vanillawind job --wait 01890a5d-ac96-774b-bcce-b302099a8057",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withCaller(cmd, func(ctx context.Context, caller vwcommand.Caller) error {
				return caller.Show(ctx, vwid.SubmissionID(args[0]), wait)
			})
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for the answer")
	return addCallerFlags(cmd)
}
