package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const dataCentreInHelp = `Brings a data centre back into service. Its workers get tasks within seconds. One that is in service
already stays so, and the version does not change.`

func makeDataCentreIn() *cobra.Command {
	return addChangeFlags(&cobra.Command{
		Use:     "in NAME",
		Short:   "Bring a data centre back into service",
		Long:    dataCentreInHelp,
		Example: `  vanillawind datacentre in Guayaquil --by "Ana, platform"`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
				return operator.BringIn(ctx, vwid.DataCentre(args[0]), changeOf(cmd))
			})
		},
	})
}
