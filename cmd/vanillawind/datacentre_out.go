package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const dataCentreOutHelp = `Takes a data centre out of service. No task starts there later than 3 seconds after the command has
ended; tasks that run are finished. The other data centres take over what is waiting. A data centre that
is out already stays out, and the version does not change.`

func makeDataCentreOut() *cobra.Command {
	return addChangeFlags(&cobra.Command{
		Use:     "out NAME",
		Short:   "Take a data centre out of service",
		Long:    dataCentreOutHelp,
		Example: `  vanillawind datacentre out Guayaquil --by "Ana, platform: power works"`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
				return operator.TakeOut(ctx, vwid.DataCentre(args[0]), changeOf(cmd))
			})
		},
	})
}
