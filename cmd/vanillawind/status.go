package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const statusHelp = `Shows how each of the named entries fares: the version of the rules that it applies, whether it has a
configuration lease (without one it starts nothing), the workers and entries that it has links to, its
waiting tasks and its running jobs. The exit code is 1 when one of them does not answer.`

func makeStatus() *cobra.Command {
	return addOperatorFlags(&cobra.Command{
		Use:     "status",
		Short:   "Show how the entries fare",
		Long:    statusHelp,
		Example: "  vanillawind status --operators http://10.1.0.12:7301 --operators http://10.2.0.12:7301",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := limit(cmd)
			defer cancel()
			return vwcommand.ShowStatus(ctx, outputOf(cmd), operatorSettings(cmd))
		},
	})
}
