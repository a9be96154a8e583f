package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const entryHelp = `Runs an entry: it accepts jobs and requests of callers, queues their tasks, sends them to agents and
assembles the answers. With a DataDirectory it is a control member as well.`

func makeEntry() *cobra.Command {
	return makeRole(vwstate.RoleEntry, "entry", "Run an entry", entryHelp)
}
