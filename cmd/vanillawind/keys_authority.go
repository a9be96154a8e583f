package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const keysAuthorityHelp = `Makes the certificate authority of a cluster. It refuses to replace one, because every certificate that the
existing one issued would become useless.`

func makeKeysAuthority() *cobra.Command {
	cluster := ""
	cmd := makeKeysCommand("authority", "Make the authority of a cluster", keysAuthorityHelp, cobra.NoArgs,
		func(command vwkeys.Command, _ []string) error { return command.MakeAuthority(vwid.Cluster(cluster)) })
	cmd.Flags().StringVar(&cluster, "cluster", "", "name of the cluster, as in the settings")
	_ = cmd.MarkFlagRequired("cluster")
	return cmd
}
