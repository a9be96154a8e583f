package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const cancelHelp = `Stops a job: tasks that have not started never will, and running ones are aborted. Whoever waits for the
job gets the failure Cancelled, with the verdict that holds for its tasks. A job that has ended keeps its
answer. It is safe to cancel twice.`

func makeCancel() *cobra.Command {
	return addCallerFlags(&cobra.Command{
		Use:     "cancel ID",
		Short:   "Cancel a job",
		Long:    cancelHelp,
		Example: "  vanillawind cancel 01890a5d-ac96-774b-bcce-b302099a8057",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withCaller(cmd, func(ctx context.Context, caller vwcommand.Caller) error {
				return caller.Cancel(ctx, vwid.SubmissionID(args[0]))
			})
		},
	})
}
