package main

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwsignal"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/platform"
)

const platformHelp = `Runs a process on a machine of the users' platform. Its settings are the platform's file, which the environment
variable ` + vwplatform.SettingsVariable + ` names, and its key is issued at the start by the authority in the folder --keys.

It logs lines of JSON to standard output. SIGTERM begins a graceful shutdown within the platform's grace, which
further SIGTERMs do not shorten; an interrupt during the shutdown ends the process at once. SIGHUP, or a change of the
file alone, makes it read the seeds again, also during the shutdown. docs/platform.md describes the whole.`

func makePlatform() *cobra.Command {
	return makeGroup("platform", "Run on the users' platform", platformHelp,
		makePlatformRole(vwstate.RoleEntry, "entry", "Run an entry on an edge machine"),
		makePlatformRole(vwstate.RoleAgent, "agent", "Run the agent beside a worker"),
		makePlatformRole(vwstate.RoleControl, "control", "Run a control member on a core machine"),
		makePlatformCheck())
}

func makePlatformRole(role vwstate.Role, use, short string) *cobra.Command {
	command := vwplatform.Command{Role: role}
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  platformHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			command.SettingsPath = os.Getenv(vwplatform.SettingsVariable)
			if command.SettingsPath == "" {
				return trace.BadParameter("the environment variable %s must name the settings file", vwplatform.SettingsVariable)
			}
			command.Log = cmd.OutOrStdout()
			command.Signals = vwsignal.FromContext(cmd.Context())
			return command.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&command.KeysFolder, "keys", "keys", "folder with the authority's key")
	cmd.Flags().IntVar(&command.MetricsPort, "metrics-port", 0, "port for metrics and profiles (default none)")
	return cmd
}
