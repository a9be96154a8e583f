package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwloadtest"
)

const loadTestHelp = `Sends the load of a scenario file to running entries, whether or not earlier answers have arrived, and checks
the answers against the records of stand-in backend servers. The exit code is 3 when a promise or target
was not kept. docs/operator/loadtest.md describes scenarios and reports.`

func makeLoadTest() *cobra.Command {
	var command vwloadtest.Command
	cmd := &cobra.Command{
		Use:     "loadtest FILE",
		Short:   "Send a planned load and check the promises",
		Long:    loadTestHelp,
		Example: "  vanillawind loadtest examples/loadtest.toml --report-json report.json --report-html report.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			command.Scenario, command.Out, command.Log = args[0], cmd.OutOrStdout(), cmd.ErrOrStderr()
			return command.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&command.Output.JSON, "report-json", "", "file for the report as JSON")
	cmd.Flags().StringVar(&command.Output.HTML, "report-html", "", "file for the report as a page with charts")
	return cmd
}
