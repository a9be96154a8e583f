package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const agentHelp = `Runs the agent beside a backend server: it takes the server's announcements, owns its slots and the
records of started tasks, and delivers results to the entries.`

func makeAgent() *cobra.Command {
	return makeRole(vwstate.RoleAgent, "agent", "Run the agent beside a backend server", agentHelp)
}
