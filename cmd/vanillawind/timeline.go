package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwevent"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const timelineHelp = `Merges the event logs of several processes into one time line. The offsets between their clocks are
estimated from the messages that they exchanged.`

func makeTimeline() *cobra.Command {
	submission, format := "", ""
	cmd := &cobra.Command{
		Use:     "timeline FILE...",
		Short:   "Merge the event logs of processes",
		Long:    timelineHelp,
		Example: "  vanillawind timeline --submission 0191f0c2-0000-7000-8000-000000000000 *.jsonl",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			command := vwevent.Command{
				Paths: args, Format: vwevent.Format(format), Submission: vwid.SubmissionID(submission),
				Out: cmd.OutOrStdout(), Warnings: cmd.ErrOrStderr(),
			}
			return command.Run()
		},
	}
	cmd.Flags().StringVar(&submission, "submission", "", "show only the events of one submission")
	cmd.Flags().StringVar(&format, "format", string(vwevent.FormatText), "text, or trace for a trace viewer")
	return cmd
}
