package main

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const keysAuthorityHelp = `Makes the certificate authority of a cluster. It refuses to replace one, because every certificate that the
existing one issued would become useless; with --keep an existing one stays and the command succeeds. With --all-users
as well, one whose key is missing or damaged is replaced, since no process could start with it.

With --all-users every user of the machine may read the key. It is for processes that issue their own certificates
and run as users who are not known when the keys are made.`

func makeKeysAuthority() *cobra.Command {
	cluster, from, keep, allUsers := "", "", false, false
	cmd := makeKeysCommand("authority", "Make the authority of a cluster", keysAuthorityHelp, cobra.NoArgs,
		func(command vwkeys.Command, _ []string) error {
			if allUsers {
				command.Access = vwkeys.AllUsers
			}
			return makeAuthority(command, vwid.Cluster(cluster), from, keep)
		})
	cmd.Flags().StringVar(&cluster, "cluster", "", "name of the cluster, as in the settings")
	cmd.Flags().StringVar(&from, "from", "", "first day of its validity, like 2026-01-31, where clocks of processes may be far behind (default an hour ago)")
	cmd.Flags().BoolVar(&keep, "keep", false, "leave an existing authority as it is")
	cmd.Flags().BoolVar(&allUsers, "all-users", false, "let every user read the key")
	_ = cmd.MarkFlagRequired("cluster")
	return cmd
}

func makeAuthority(command vwkeys.Command, cluster vwid.Cluster, from string, keep bool) error {
	first := vwkeys.DefaultFirstDay()
	if from != "" {
		date, err := time.Parse(time.DateOnly, from)
		if err != nil {
			return trace.BadParameter("--from must be a day like 2026-01-31, not %q", from)
		}
		first = date
	}
	if keep {
		return command.KeepAuthority(cluster, first)
	}
	return command.MakeAuthorityFrom(cluster, first)
}
