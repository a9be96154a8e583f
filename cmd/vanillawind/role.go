package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwprocess"
	"vanillawind.example/vanillawind/internal/process/vwsignal"
	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const roleHelp = `

It logs lines of JSON to standard error. SIGTERM or an interrupt begins a graceful shutdown within
Timeouts.Stop. An interrupt during the shutdown ends the process at once; other signals do not shorten it.
SIGHUP changes nothing, since the settings are read at the start only. "vanillawind settings check FILE"
checks the settings without starting anything.`

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
			command.Signals = vwsignal.FromContext(cmd.Context())
			return command.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&command.SettingsFile, "settings", "", "settings file of the process")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}
