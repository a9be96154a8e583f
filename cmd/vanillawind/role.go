package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const roleHelp = `

It logs lines of JSON to standard error. SIGTERM or an interrupt begins a graceful shutdown within
Timeouts.Stop; a second signal ends the process at once. "vanillawind settings check FILE" checks the
settings without starting anything.`

// makeRole returns the command of a server role.
func makeRole(role vwstate.Role, use, short, long string) *cobra.Command {
	command := vwprocess.Command{Role: role}
	cmd := &cobra.Command{
		Use:     use,
		Short:   short,
		Long:    long + roleHelp,
		Example: "  vanillawind " + use + " --settings /etc/vanillawind/" + use + ".toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			command.Log = cmd.ErrOrStderr()
			return command.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&command.SettingsFile, "settings", "", "settings file of the process")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}
