package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwlog"
)

const followHelp = `Shows what the logs of many processes tell about one request, in the order of their times: the lines that name
its id, marked with ">", and what the processes that took part in it noted about themselves around that time.

Times are those of each process's own clock.`

func makeFollow() *cobra.Command {
	margin := vwlog.DefaultMargin
	cmd := &cobra.Command{
		Use:     "follow ID FILE...",
		Short:   "Show what logs tell about one request",
		Long:    followHelp,
		Example: "  vanillawind follow 5c0e7a21d94b36f8 edge-*.jsonl side-*.jsonl core-*.jsonl",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			command := vwlog.Follow{ID: args[0], Paths: args[1:], Margin: margin, Out: cmd.OutOrStdout(), Warnings: cmd.ErrOrStderr()}
			return command.Run()
		},
	}
	cmd.Flags().DurationVar(&margin, "margin", margin, "how long before and after the request to show changes of the processes")
	return cmd
}
