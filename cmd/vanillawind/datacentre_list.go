package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const dataCentreListHelp = `Lists the data centres that the rules declare, and which of them are out of service.`

func makeDataCentreList() *cobra.Command {
	return addOperatorFlags(&cobra.Command{
		Use:   "list",
		Short: "List the data centres",
		Long:  dataCentreListHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
				return operator.ListDataCentres(ctx)
			})
		},
	})
}
