package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
)

const keysShowHelp = `Lists the certificates of the folder with the end of their validity, and says of each whether peers accept it.`

func makeKeysShow() *cobra.Command {
	return makeKeysCommand("show", "List the certificates", keysShowHelp, cobra.NoArgs,
		func(command vwkeys.Command, _ []string) error { return command.Show() })
}
