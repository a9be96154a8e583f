package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwdemo"
)

const demoHelp = `Starts a whole cluster in one process on free ports of loopback: three entries that are control members
too, with data directories that are removed at the end, and two workers in each of three data centres with
stand-in backend servers. It runs a job of 900 tasks and a non-idempotent request through different entries,
checks them against the records of the stand-ins, and serves until it is interrupted.`

func makeDemo() *cobra.Command {
	command := vwdemo.Command{Config: vwdemo.DefaultConfig()}
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole cluster on loopback",
		Long:    demoHelp,
		Example: "  vanillawind demo --once",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			command.Out = cmd.OutOrStdout()
			return command.Run(cmd.Context())
		},
	}
	cmd.Flags().BoolVar(&command.Once, "once", false, "end after the first run")
	cmd.Flags().IntVar(&command.Config.WorkersEach, "workers", command.Config.WorkersEach, "workers in each data centre")
	cmd.Flags().IntVar(&command.Config.Slots, "slots", command.Config.Slots, "slots of each worker")
	return cmd
}
