package main

import (
	"github.com/spf13/cobra"

	"vanillawind.example/vanillawind/internal/process/vwkeys"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const keysIssueHelp = `Makes a file with certificate and key for each process. The names are those of Process in the settings.
It refuses to replace an existing file; "keys renew" does that.`

func makeKeysIssue() *cobra.Command {
	return makeKeysCommand("issue PROCESS...", "Make the certificates of processes", keysIssueHelp, cobra.MinimumNArgs(1),
		func(command vwkeys.Command, args []string) error {
			processes := make([]vwid.Process, len(args))
			for i, arg := range args {
				processes[i] = vwid.Process(arg)
			}
			return command.Issue(processes...)
		})
}
