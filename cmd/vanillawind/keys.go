package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
)

const keysHelp = `Processes authenticate each other by certificates of the cluster's own authority. These commands keep the
files in one folder; docs/operator/keys.md says which of them each process needs.`

func makeKeys() *cobra.Command {
	return makeGroup("keys", "Make and renew the certificates of processes", keysHelp,
		makeKeysAuthority(), makeKeysIssue(), makeKeysShow(), makeKeysRenew())
}

// makeKeysCommand returns a command on the folder of its flag.
func makeKeysCommand(use, short, long string, args cobra.PositionalArgs, run func(vwkeys.Command, []string) error) *cobra.Command {
	folder := ""
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  args,
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(vwkeys.Command{Folder: vwkeys.Folder(folder), Out: cmd.OutOrStdout()}, args)
		},
	}
	cmd.Flags().StringVar(&folder, "folder", "keys", "folder of the key files")
	return cmd
}
