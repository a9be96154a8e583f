package main

import (
	"context"

	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const rulesShowHelp = `Writes the rules that are in force, as a file for "rules apply". The version and the last author go to
the standard error.`

func makeRulesShow() *cobra.Command {
	return addOperatorFlags(&cobra.Command{
		Use:     "show",
		Short:   "Write the rules that are in force",
		Long:    rulesShowHelp,
		Example: "  vanillawind rules show > rules.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withOperator(cmd, func(ctx context.Context, operator vwcommand.Operator) error {
				return operator.ShowRules(ctx)
			})
		},
	})
}
