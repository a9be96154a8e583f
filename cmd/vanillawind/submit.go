package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const submitHelp = `Sends the submission in FILE to an entry, waits, and writes the whole answer. FILE holds one JSON
document; "-" reads it from the standard input:

  {"Service": "muotoilu", "Team": "gradu", "TimeoutMillis": 60000, "Tasks": [
    {"ID": "1", "Payload": {"Style": "APA"}},
    {"ID": "2", "Payload": {"Style": "MLA"}}]}

The answer has the result of every task in the order of the tasks, or the job has failed; there are no
partial answers. Attempts that fail are repeated, also at other entries, under one submission id, so that
no task starts twice. The id is written before the first attempt. To try again after exit code 4, put it
into FILE as "ID". docs/user/submissions.md describes every field.`

func makeSubmit() *cobra.Command {
	wait := true
	cmd := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job and wait for its answer",
		Long:  submitHelp,
		Example: `  vanillawind submit job.json
  vanillawind submit --wait=false --json job.json
  vanillawind submit --entry http://10.1.0.12:7300 --entry http://10.2.0.12:7300 - < job.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withCaller(cmd, func(ctx context.Context, caller vwcommand.Caller) error {
				return caller.Submit(ctx, args[0], cmd.InOrStdin(), wait)
			})
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", true, "wait for the answer; without it the job is only started")
	return addCallerFlags(cmd)
}
