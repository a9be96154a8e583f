package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/version/vwstate"
)

const controlHelp = `Runs a control member that is not part of an entry. Members keep the rules, the registrations and the
owners of submissions in a replicated log under their data directories.`

func makeControl() *cobra.Command {
	return makeRole(vwstate.RoleControl, "control", "Run a control member alone", controlHelp)
}
