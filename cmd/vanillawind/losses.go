package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwlog"
)

const lossesHelp = `Shows from the logs of entries where the work of a span of time went: how many jobs were answered in time, late or when
the answer was of no use any more, refused at once or after a wait, given up, failed or cancelled. There is one table each by team,
by cause, by entry and by time.

"follow" shows one of these jobs.`

func makeLosses() *cobra.Command {
	return &cobra.Command{
		Use:     "losses FILE...",
		Short:   "Show which jobs were lost, and why",
		Long:    lossesHelp,
		Example: "  vanillawind losses edge-*.jsonl",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			command := vwlog.Losses{Paths: args, Out: cmd.OutOrStdout(), Warnings: cmd.ErrOrStderr()}
			return command.Run()
		},
	}
}
