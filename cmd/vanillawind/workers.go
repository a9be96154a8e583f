package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const workersHelp = `Lists the workers that are registered: those whose agent has a lease and whose backend server announces
itself. A worker that is missing here gets no tasks.`

func makeWorkers() *cobra.Command {
	return addOperatorFlags(&cobra.Command{
		Use:   "workers",
		Short: "List the registered workers",
		Long:  workersHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
				return operator.ListWorkers(ctx)
			})
		},
	})
}
