package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const rulesDiffHelp = `Shows the rules that differ between two files: "+" for an added rule, "-" for a removed one and "~" for
a changed one. Order and spacing do not matter. The exit code is 0 whether or not the files differ.`

func makeRulesDiff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff OLD NEW",
		Short:   "Show the rules that differ between two files",
		Long:    rulesDiffHelp,
		Example: "  vanillawind rules diff rules.toml rules-new.toml",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return vwcommand.DiffRules(outputOf(cmd), args[0], args[1])
		},
	}
}
