package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwcommand"
)

const settingsCheckHelp = `Reads a settings file as a process does at its start, and reports every unknown key and impossible
combination with its line. It does not open the files and addresses that the settings name. With --json it
shows the complete settings, defaults included.`

func makeSettingsCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and report every fault",
		Long:    settingsCheckHelp,
		Example: "  vanillawind settings check examples/viitepaja/entry.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return vwcommand.CheckSettings(outputOf(cmd), args[0])
		},
	}
}
