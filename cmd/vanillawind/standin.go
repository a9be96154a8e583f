package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwstandin"
)

const standInHelp = `Runs a stand-in backend server for trials: it announces itself to an agent, runs tasks that say in their
payload how long they take, such as {"RunMillis": 50, "Echo": 1}, and keeps a record of every start at
/Starts.`

func makeStandIn() *cobra.Command {
	var command vwstandin.Command
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in backend server",
		Long:    standInHelp,
		Example: "  vanillawind standin --agent http://127.0.0.1:7303 --service muotoilu",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			command.Out, command.Log = cmd.OutOrStdout(), cmd.ErrOrStderr()
			return command.Run(cmd.Context())
		},
	}
	config := &command.Config
	cmd.Flags().StringVar((*string)(&config.Worker), "worker", "standin", "name in the record")
	cmd.Flags().StringVar((*string)(&config.DataCentre), "data-centre", "", "data centre in the record")
	cmd.Flags().StringVar((*string)(&config.Service), "service", "", "service that it offers")
	cmd.Flags().IntVar(&config.Slots, "slots", 8, "slots that it announces")
	cmd.Flags().StringVar(&config.Agent, "agent", "", "base URL for announcements to the agent")
	cmd.Flags().StringVar(&config.Listen, "listen", "127.0.0.1:0", "address for tasks")
	_ = cmd.MarkFlagRequired("service")
	return cmd
}
