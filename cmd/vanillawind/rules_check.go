package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const rulesCheckHelp = `Reads a rules file by the code that the servers use, and reports every fault of it at once, each with
file, line, column and what to write instead. It contacts no server and changes nothing.`

func makeRulesCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a rules file and report every fault",
		Long:    rulesCheckHelp,
		Example: "  vanillawind rules check examples/viitepaja/rules.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return vwcommand.CheckRules(outputOf(cmd), args[0])
		},
	}
}
