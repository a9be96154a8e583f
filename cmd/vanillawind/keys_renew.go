package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
)

const keysRenewHelp = `Replaces the certificates that are due for renewal, or all of them with --all. Running processes read a
replaced file at their next handshake.`

func makeKeysRenew() *cobra.Command {
	all := false
	cmd := makeKeysCommand("renew", "Renew certificates", keysRenewHelp, cobra.NoArgs,
		func(command vwkeys.Command, _ []string) error { return command.Renew(all) })
	cmd.Flags().BoolVar(&all, "all", false, "renew all certificates, due or not")
	return cmd
}
